/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file instance.cpp An entry instance: startup, shutdown, periodic work and messages of peers. */

#include "instance/instance.h"
#include "core/hash_func.h"
#include "instance/call_base.h"
#include "metrics/log.h"
#include <random>
#include <uv.h>

namespace cottonspool {

static constexpr uint64_t TICK_MS = 20;                                           ///< Interval of OnTick(), in milliseconds.
static constexpr Duration CALL_TICK_INTERVAL = std::chrono::milliseconds(100);    ///< Interval of Call::OnTick().
static constexpr Duration MIN_FETCH_INTERVAL = std::chrono::milliseconds(300);    ///< Least time between two fetches from peers.
static constexpr size_t UPDATES_PER_HEARTBEAT = 6;                                ///< Most members whose updates one heartbeat carries.
static constexpr Duration PROMPT_HEARTBEAT_DELAY = std::chrono::milliseconds(50); ///< Delay of a heartbeat that an event triggers.
static constexpr size_t HEARTBEATS_REMEMBERED = 64;                               ///< Heartbeats whose send times are kept to match echoes.
static constexpr size_t DRAIN_POLICY_TARGETS = 64;                                ///< Most targets evaluated by the drain policy.

/** Timer that drives OnTick(). */
struct Instance::Timer {
	uv_timer_t timer{}; ///< libuv's timer.
};

/** @return A random seed from the system. */
static uint64_t RandomSeed()
{
	std::random_device device;
	return (static_cast<uint64_t>(device()) << 32) ^ device();
}

/** @return The start time in milliseconds since the epoch, which distinguishes the starts of an instance. */
static uint64_t NewIncarnationNumber()
{
	auto now = std::chrono::system_clock::now().time_since_epoch();
	return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

Instance::Instance(uv_loop_s *loop, Settings given)
    : settings(std::move(given)), client(loop), metrics(static_cast<size_t>(this->settings.account_series)),
      traces(static_cast<size_t>(this->settings.explain_calls)),
      dispatcher(this->settings.dispatch, MakeRouter(this->settings.router, HashText(this->settings.name))),
      platform(this->client, this->settings.platform_url, this->settings.platform_call), claims(this->platform),
      poller(this->client, this->dispatcher.Targets(), this->models,
             [this](TargetNumber target, const LoadReport &report) { this->OnReport(target, report); }),
      configuration(
              this->platform, this->settings.snapshot_every,
              [](const PolicyRecord &record) -> Result<void> {
	              PolicyEngine trial({});
	              BOOST_OUTCOME_TRYV(trial.Load(record.program));
	              BOOST_OUTCOME_TRYV(trial.DryRun());
	              return outcome::success();
              },
              [this](const std::vector<std::string> &entries) { this->OnConfigurationChanged(entries); }),
      loop(loop), server(loop, this->settings.http, [this](const std::shared_ptr<HttpExchange> &exchange) { this->Handle(exchange); }),
      policy({}), membership({this->settings.name, this->settings.hall, "", NewIncarnationNumber()}, this->settings.member_timeout),
      peers(loop, [this](const PeerMessage &message, const PeerLinks::Reply &reply) { this->OnPeerMessage(message, reply); }),
      orders(this->client, this->platform, this->poller, this->settings.hall,
             this->settings.name + "#" + std::to_string(NewIncarnationNumber()), this->settings.lease),
      random(RandomSeed()), timer(std::make_unique<Timer>())
{
}

Instance::~Instance() = default;

Result<void> Instance::Start()
{
	BOOST_OUTCOME_TRY(http_port, this->server.Listen(this->settings.ip, static_cast<uint16_t>(this->settings.http_port)));
	BOOST_OUTCOME_TRY(peer_port, this->peers.Listen(this->settings.ip, static_cast<uint16_t>(this->settings.peer_port)));
	this->membership.self.address = this->settings.ip + ":" + std::to_string(peer_port);
	this->client.OnMalformed([](const HttpCall &call, const std::string &fault) {
		// Without the path, which may hold what a caller sent.
		std::string address = call.url.substr(0, call.url.find('/', std::string_view("http://").size()));
		Log(LogLevel::Warning, "answer-malformed", {{"address", address}, {"method", call.method}, {"cause", fault}});
	});
	Log(LogLevel::Info, "started",
	    {{"hall", this->settings.hall},
	     {"http", this->settings.ip + ":" + std::to_string(http_port)},
	     {"peers", this->membership.self.address}});
	this->peers.on_link_open = [this](const std::string &) { this->ScheduleHeartbeat(MonotonicNow()); };
	this->configuration.Bootstrap();
	uv_timer_init(this->loop, &this->timer->timer);
	this->timer->timer.data = this;
	uv_timer_start(
	        &this->timer->timer, [](uv_timer_t *t) { static_cast<Instance *>(t->data)->OnTick(); }, TICK_MS, TICK_MS);
	return outcome::success();
}

std::string Instance::NewNonce()
{
	char text[40];
	snprintf(text, sizeof(text), "%016llx%08x", static_cast<unsigned long long>(this->random()), static_cast<unsigned>(this->random()));
	return text;
}

bool Instance::IsConfigurationFresh() const
{
	TimePoint confirmed = this->configuration.ConfirmedAt();
	return confirmed != TimePoint{} && MonotonicNow() - confirmed <= this->settings.configuration_stale;
}

void Instance::Execute(Decisions decisions)
{
	this->executor.Execute(std::move(decisions));
}

void Instance::OnCallFinished(CallId call)
{
	this->calls.erase(call);
}

void Instance::OnConfigurationChanged(const std::vector<std::string> &entries)
{
	const ConfigurationState &state = this->configuration.State();
	this->membership.self.sequence = state.Sequence();
	this->poller.Configure(state, this->settings.name, this->settings.hall, static_cast<size_t>(this->settings.targets_watched));
	auto found = state.Policies().find("default");
	std::string program = found == state.Policies().end() ? "" : found->second.record.program;
	if (program != this->policy_program) {
		Result<void> loaded = this->policy.Load(program);
		if (!loaded) Log(LogLevel::Error, "policy-refused", {{"error", loaded.error().message}});
		this->policy_program = program;
	}
	for (uint32_t i = 0; i < this->dispatcher.Targets().Size(); i++) this->UpdateDraining(TargetNumber{i});
	Log(LogLevel::Info, "configuration",
	    {{"sequence", std::to_string(state.Sequence())}, {"targets", std::to_string(state.Targets().size())}});
	if (!entries.empty()) this->peers.Broadcast(EntriesMessage{entries});
}

void Instance::UpdateDraining(TargetNumber number)
{
	TargetTable &targets = this->dispatcher.Targets();
	const TargetState &target = targets.Get(number);
	auto record = this->configuration.State().Targets().find(target.name);
	bool draining = record != this->configuration.State().Targets().end() && record->second.record.desired_state == DesiredState::Draining;
	draining = draining || target.report.draining || this->listed_draining.contains(target.name);
	for (const std::string &incarnation : {target.report.incarnation, std::string()}) {
		draining = draining || this->membership.Draining().contains({target.name, incarnation});
	}
	if (draining == target.restrictions.draining) return;
	if (draining) targets.MarkDraining(number);
	if (!draining) targets.ClearDraining(number);
	Log(LogLevel::Info, draining ? "target-leaving" : "target-back", {{"target", target.name}});
}

void Instance::AddDrainNotice(const DrainingTarget &draining, const char *source)
{
	if (!this->membership.AddDraining(draining)) return;
	Log(LogLevel::Info, "leaving-notice", {{"target", draining.target}, {"incarnation", draining.incarnation}, {"source", source}});
	auto number = this->dispatcher.Targets().Find(draining.target);
	if (number) this->UpdateDraining(*number);
	// Broadcast a new drain notice at once; heartbeats repeat it.
	this->peers.Broadcast(HeartbeatMessage{{this->membership.self}, {draining}, std::chrono::hours(1), {}});
}

void Instance::OnReport(TargetNumber target, const LoadReport &report)
{
	Decisions decisions = this->dispatcher.OnReport(target, report, MonotonicNow());
	if (report.draining) this->AddDrainNotice({this->dispatcher.Targets().Get(target).name, report.incarnation}, "own-notice");
	this->UpdateDraining(target);
	this->Execute(std::move(decisions));
}

void Instance::OnPeerMessage(const PeerMessage &message, const PeerLinks::Reply &reply)
{
	TimePoint now = MonotonicNow();
	if (auto heartbeat = std::get_if<HeartbeatMessage>(&message)) return this->OnHeartbeat(*heartbeat, reply, now);
	if (auto fetch = std::get_if<FetchMessage>(&message)) {
		if (fetch->after < this->configuration.State().Sequence()) reply(this->configuration.MakeFetchReply(fetch->after));
		return;
	}
	if (auto snapshot = std::get_if<SnapshotMessage>(&message)) return this->configuration.OnSnapshot(snapshot->snapshot);
	if (auto entries = std::get_if<EntriesMessage>(&message)) {
		if (!this->configuration.OnEntries(entries->entries)) reply(FetchMessage{this->configuration.State().Sequence()});
	}
}

void Instance::OnHeartbeat(const HeartbeatMessage &message, const PeerLinks::Reply &reply, TimePoint now)
{
	if (message.members.empty()) return;
	bool new_member = false;
	for (const MemberInfo &member : message.members) new_member |= this->membership.OnMemberInfo(member, now);
	if (new_member) this->ScheduleHeartbeat(now);
	for (const DrainingTarget &draining : message.draining) this->AddDrainNotice(draining, "peer");
	const MemberInfo &sender = message.members.front();
	this->received_counters[sender.name] = sender.counter;
	uint64_t own_sequence = this->configuration.State().Sequence();
	if (sender.sequence > own_sequence && now >= this->next_fetch) {
		this->next_fetch = now + MIN_FETCH_INTERVAL;
		reply(FetchMessage{own_sequence});
	}
	if (sender.sequence != own_sequence) return;
	// The sender wrote this message after it had received our heartbeat. Its confirmation is thus at most confirmed_age older than that
	// heartbeat.
	for (const auto &[name, counter] : message.echoes) {
		auto sent = this->heartbeat_times.find(counter);
		if (name != this->settings.name || sent == this->heartbeat_times.end()) continue;
		this->configuration.OnConfirmed(sent->second - message.confirmed_age);
	}
}

void Instance::ScheduleHeartbeat(TimePoint now)
{
	this->next_heartbeat = std::min(this->next_heartbeat, now + PROMPT_HEARTBEAT_DELAY);
}

Duration Instance::HeartbeatInterval() const
{
	double bytes = static_cast<double>(this->heartbeat_bytes * this->peers.OpenLinks());
	return std::max(this->settings.heartbeat, FromSeconds(bytes / static_cast<double>(this->settings.peer_bytes_per_second)));
}

void Instance::Heartbeat(TimePoint now)
{
	MemberInfo &self = this->membership.self;
	self.counter++;
	self.stopping = this->stopping;
	this->heartbeat_times[self.counter] = now;
	if (this->heartbeat_times.size() > HEARTBEATS_REMEMBERED) this->heartbeat_times.erase(this->heartbeat_times.begin());
	HeartbeatMessage message;
	message.members = this->membership.NextGossip(UPDATES_PER_HEARTBEAT);
	message.draining.assign(this->membership.Draining().begin(), this->membership.Draining().end());
	TimePoint confirmed = this->configuration.ConfirmedAt();
	message.confirmed_age = confirmed == TimePoint{} ? Duration(std::chrono::hours(1)) : now - confirmed;
	message.echoes.assign(this->received_counters.begin(), this->received_counters.end());
	this->received_counters.clear();
	this->heartbeat_bytes = this->peers.Broadcast(message);
	this->membership.SetGossipPace(this->HeartbeatInterval(), this->peers.OpenLinks(), UPDATES_PER_HEARTBEAT);
	std::vector<std::string> wanted;
	for (const MemberInfo &member : this->membership.GossipPeers(now)) wanted.push_back(member.address);
	for (const std::string &seed : this->settings.seeds) {
		if (seed != self.address) wanted.push_back(seed);
	}
	this->peers.SetWanted(wanted);
}

void Instance::PollInstanceList()
{
	this->platform.ListInstances([this](Result<std::vector<ListedInstance>> list) {
		if (!list) return;
		std::set<std::string> draining;
		for (const ListedInstance &item : list.value()) {
			if (item.draining) draining.insert(item.name);
		}
		if (draining == this->listed_draining) return;
		this->listed_draining = std::move(draining);
		for (uint32_t i = 0; i < this->dispatcher.Targets().Size(); i++) this->UpdateDraining(TargetNumber{i});
	});
}

void Instance::RunDrainPolicy()
{
	TargetTable &targets = this->dispatcher.Targets();
	for (uint32_t i = 0; i < std::min<size_t>(targets.Size(), DRAIN_POLICY_TARGETS); i++) {
		const TargetState &target = targets.Get(TargetNumber{i});
		if (!target.restrictions.known || !target.restrictions.ready || target.restrictions.draining) continue;
		bool drain = this->policy.Drain({target.name, target.hall, targets.Pressure(target, MonotonicNow()), target.report.preemptions});
		if (drain) this->AddDrainNotice({target.name, target.report.incarnation}, "policy");
	}
}

void Instance::OnSecondTick(TimePoint now)
{
	this->claims.OnTick();
	this->membership.Expire(now);
	auto [rank, count] = this->membership.Rank(now);
	this->dispatcher.Targets().SetInstances(rank, count);
	this->RunDrainPolicy();
	bool is_fresh = this->IsConfigurationFresh();
	if (is_fresh != this->was_fresh)
		Log(is_fresh ? LogLevel::Info : LogLevel::Warning, is_fresh ? "configuration-fresh" : "configuration-stale");
	this->was_fresh = is_fresh;
	// Remove notices about targets that are no longer configured.
	TargetTable &targets = this->dispatcher.Targets();
	std::vector<DrainingTarget> obsolete;
	for (const DrainingTarget &draining : this->membership.Draining()) {
		auto number = targets.Find(draining.target);
		bool known = number && targets.Get(*number).restrictions.known;
		if (!known) obsolete.push_back(draining);
	}
	for (const DrainingTarget &draining : obsolete) this->membership.RemoveDraining(draining.target);
}

void Instance::OnTick()
{
	TimePoint now = MonotonicNow();
	FlushLog();
	this->Execute(this->dispatcher.OnTick(now));
	this->poller.OnTick(now, this->settings.report_poll);
	if (!this->stopping) this->orders.OnTick(this->configuration.State(), this->random(), now);
	if (now >= this->next_heartbeat) {
		this->Heartbeat(now);
		this->next_heartbeat = now + this->HeartbeatInterval();
	}
	if (now >= this->next_poll) {
		this->next_poll = now + this->settings.head_poll / 2 +
		                  Duration(static_cast<int64_t>(this->random() % static_cast<uint64_t>(this->settings.head_poll.count())));
		this->configuration.Poll();
	}
	if (now >= this->next_list) {
		this->next_list = now + this->settings.list_poll;
		this->PollInstanceList();
	}
	if (now >= this->next_second) {
		this->next_second = now + std::chrono::seconds(1);
		this->OnSecondTick(now);
	}
	if (now >= this->next_call_tick) {
		this->next_call_tick = now + CALL_TICK_INTERVAL;
		std::vector<std::shared_ptr<Call>> open_calls;
		open_calls.reserve(this->calls.size());
		for (const auto &[id, call] : this->calls) open_calls.push_back(call);
		for (const std::shared_ptr<Call> &call : open_calls) call->OnTick(now);
	}
	if (this->stopping) this->AdvanceShutdown(now);
}

void Instance::Stop()
{
	TimePoint now = MonotonicNow();
	if (this->stopping) {
		this->stop_started = now - this->settings.stop_limit - this->settings.stop_notice;
		return;
	}
	this->stopping = true;
	this->stop_started = now;
	this->orders.Resign();
	this->next_heartbeat = now;
	Log(LogLevel::Info, "stopping", {{"calls", std::to_string(this->calls.size())}});
}

void Instance::AdvanceShutdown(TimePoint now)
{
	Duration since = now - this->stop_started;
	if (this->listening && since >= this->settings.stop_notice) {
		this->server.StopListening();
		this->listening = false;
	}
	bool done = this->calls.empty() && this->claims.Unsettled() == 0 && !this->listening && this->server.Connections() == 0;
	bool time_limit_reached = since >= this->settings.stop_limit + this->settings.stop_notice;
	bool only_idle_connections = this->calls.empty() && this->claims.Unsettled() == 0 && this->server.OpenExchanges() == 0 &&
	                             since >= this->settings.stop_notice + std::chrono::seconds(2);
	if (!done && !time_limit_reached && !only_idle_connections) return;
	this->aborted_calls = this->calls.size();
	Log(LogLevel::Info, "stopped", {{"cut", std::to_string(this->aborted_calls)}});
	uv_timer_stop(&this->timer->timer);
	this->peers.Shutdown();
	this->client.Shutdown();
	FlushLog();
	uv_stop(this->loop);
}

} // namespace cottonspool
