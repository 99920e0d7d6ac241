/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file instance.cpp An entry instance: startup, shutdown, periodic work and messages of peers. */

#include "instance/instance.h"
#include "core/hash_func.h"
#include "instance/call_base.h"
#include "metrics/log.h"
#include <random>
#include <uv.h>

namespace cottonspool {

static constexpr uint64_t TICK_MS = 20;                                   ///< Interval of OnTick(), in milliseconds.
static constexpr Duration CALL_TICK = std::chrono::milliseconds(100);     ///< Interval of Call::OnTick().
static constexpr Duration FETCH_PAUSE = std::chrono::milliseconds(300);   ///< Least time between two fetches from peers.
static constexpr size_t NEWS_PER_HEARTBEAT = 6;                           ///< Most members whose updates one heartbeat carries.
static constexpr Duration HEARTBEAT_SOON = std::chrono::milliseconds(50); ///< Delay of a heartbeat that an event triggers.
static constexpr size_t HEARTBEATS_REMEMBERED = 64;                       ///< Heartbeats whose send times are kept to match echoes.
static constexpr size_t DRAIN_POLICY_TARGETS = 64;                        ///< Most targets evaluated by the drain policy.

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
static uint64_t StartNumber()
{
	auto now = std::chrono::system_clock::now().time_since_epoch();
	return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

Instance::Instance(uv_loop_s *loop, Settings given)
    : settings(std::move(given)), client(loop), metrics(static_cast<size_t>(this->settings.account_series)),
      ring(static_cast<size_t>(this->settings.explain_calls)),
      dispatcher(this->settings.dispatch, MakeRouter(this->settings.router, HashText(this->settings.name))),
      platform(this->client, this->settings.platform_url, this->settings.platform_call), claims(this->platform),
      watch(this->client, this->dispatcher.Targets(), this->models,
            [this](TargetNumber target, const LoadReport &report) { this->OnReport(target, report); }),
      configuration(
              this->platform, this->settings.snapshot_every,
              [](const PolicyRecord &record) -> Result<void> {
	              PolicyEngine trial({});
	              BOOST_OUTCOME_TRYV(trial.Load(record.program));
	              BOOST_OUTCOME_TRYV(trial.Try());
	              return outcome::success();
              },
              [this](const std::vector<std::string> &entries) { this->OnConfigurationChanged(entries); }),
      loop(loop), server(loop, this->settings.http, [this](const std::shared_ptr<HttpExchange> &exchange) { this->Handle(exchange); }),
      policy({}), membership({this->settings.name, this->settings.hall, "", StartNumber()}, this->settings.member_timeout),
      peers(loop, [this](const PeerMessage &message, const PeerLinks::Reply &reply) { this->OnPeerMessage(message, reply); }),
      orders(this->client, this->platform, this->watch, this->settings.hall, this->settings.name + "#" + std::to_string(StartNumber()),
             this->settings.lease),
      random(RandomSeed()), timer(std::make_unique<Timer>())
{
}

Instance::~Instance() = default;

Result<void> Instance::Start()
{
	BOOST_OUTCOME_TRY(http_port, this->server.Listen(this->settings.ip, static_cast<uint16_t>(this->settings.http_port)));
	BOOST_OUTCOME_TRY(peer_port, this->peers.Listen(this->settings.ip, static_cast<uint16_t>(this->settings.peer_port)));
	this->membership.self.address = this->settings.ip + ":" + std::to_string(peer_port);
	Log(LogLevel::Info, "started",
	    {{"hall", this->settings.hall},
	     {"http", this->settings.ip + ":" + std::to_string(http_port)},
	     {"peers", this->membership.self.address}});
	this->peers.on_link_open = [this](const std::string &) { this->HeartbeatSoon(MonotonicNow()); };
	this->configuration.Boot();
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

void Instance::Carry(Decisions decisions)
{
	this->carrier.Carry(std::move(decisions));
}

void Instance::OnCallOver(CallId call)
{
	this->calls.erase(call);
}

void Instance::OnConfigurationChanged(const std::vector<std::string> &entries)
{
	const ConfigurationState &state = this->configuration.State();
	this->membership.self.sequence = state.Sequence();
	this->watch.Configure(state, this->settings.name, this->settings.hall, static_cast<size_t>(this->settings.targets_watched));
	auto found = state.Policies().find("default");
	std::string program = found == state.Policies().end() ? "" : found->second.record.program;
	if (program != this->policy_program) {
		Result<void> loaded = this->policy.Load(program);
		if (!loaded) Log(LogLevel::Error, "policy-refused", {{"error", loaded.error().message}});
		this->policy_program = program;
	}
	for (uint32_t i = 0; i < this->dispatcher.Targets().Size(); i++) this->RefreshLeaving(TargetNumber{i});
	Log(LogLevel::Info, "configuration",
	    {{"sequence", std::to_string(state.Sequence())}, {"targets", std::to_string(state.Targets().size())}});
	if (!entries.empty()) this->peers.Broadcast(EntriesMessage{entries});
}

void Instance::RefreshLeaving(TargetNumber number)
{
	TargetTable &targets = this->dispatcher.Targets();
	const TargetState &target = targets.Get(number);
	auto record = this->configuration.State().Targets().find(target.name);
	bool leaving = record != this->configuration.State().Targets().end() && record->second.record.wish == TargetWish::Leaving;
	leaving = leaving || target.report.leaving || this->listed_leaving.contains(target.name);
	for (const std::string &incarnation : {target.report.incarnation, std::string()}) {
		leaving = leaving || this->membership.Leaving().contains({target.name, incarnation});
	}
	if (leaving == target.bounds.leaving) return;
	if (leaving) targets.MarkLeaving(number);
	if (!leaving) targets.ClearLeaving(number);
	Log(LogLevel::Info, leaving ? "target-leaving" : "target-back", {{"target", target.name}});
}

void Instance::NoteLeaving(const LeavingTarget &leaving, const char *source)
{
	if (!this->membership.AddLeaving(leaving)) return;
	Log(LogLevel::Info, "leaving-notice", {{"target", leaving.target}, {"incarnation", leaving.incarnation}, {"source", source}});
	auto number = this->dispatcher.Targets().Find(leaving.target);
	if (number) this->RefreshLeaving(*number);
	// Broadcast a new drain notice at once; heartbeats repeat it.
	this->peers.Broadcast(HeartbeatMessage{{this->membership.self}, {leaving}, std::chrono::hours(1), {}});
}

void Instance::OnReport(TargetNumber target, const LoadReport &report)
{
	Decisions decisions = this->dispatcher.OnReport(target, report, MonotonicNow());
	if (report.leaving) this->NoteLeaving({this->dispatcher.Targets().Get(target).name, report.incarnation}, "own-notice");
	this->RefreshLeaving(target);
	this->Carry(std::move(decisions));
}

void Instance::OnPeerMessage(const PeerMessage &message, const PeerLinks::Reply &reply)
{
	TimePoint now = MonotonicNow();
	if (auto heartbeat = std::get_if<HeartbeatMessage>(&message)) return this->OnHeartbeat(*heartbeat, reply, now);
	if (auto fetch = std::get_if<FetchMessage>(&message)) {
		if (fetch->after < this->configuration.State().Sequence()) reply(this->configuration.AnswerFetch(fetch->after));
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
	for (const MemberInfo &member : message.members) new_member |= this->membership.OnHeard(member, now);
	if (new_member) this->HeartbeatSoon(now);
	for (const LeavingTarget &leaving : message.leaving) this->NoteLeaving(leaving, "peer");
	const MemberInfo &sender = message.members.front();
	this->heard[sender.name] = sender.counter;
	uint64_t own = this->configuration.State().Sequence();
	if (sender.sequence > own && now >= this->next_fetch) {
		this->next_fetch = now + FETCH_PAUSE;
		reply(FetchMessage{own});
	}
	if (sender.sequence != own) return;
	// The sender wrote this message after it had received our heartbeat. Its confirmation is thus at most confirmed_age older than that
	// heartbeat.
	for (const auto &[name, counter] : message.echoes) {
		auto sent = this->heartbeat_times.find(counter);
		if (name != this->settings.name || sent == this->heartbeat_times.end()) continue;
		this->configuration.OnConfirmed(sent->second - message.confirmed_age);
	}
}

void Instance::HeartbeatSoon(TimePoint now)
{
	this->next_heartbeat = std::min(this->next_heartbeat, now + HEARTBEAT_SOON);
}

Duration Instance::HeartbeatPeriod() const
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
	message.members = this->membership.NextNews(NEWS_PER_HEARTBEAT);
	message.leaving.assign(this->membership.Leaving().begin(), this->membership.Leaving().end());
	TimePoint confirmed = this->configuration.ConfirmedAt();
	message.confirmed_age = confirmed == TimePoint{} ? Duration(std::chrono::hours(1)) : now - confirmed;
	message.echoes.assign(this->heard.begin(), this->heard.end());
	this->heard.clear();
	this->heartbeat_bytes = this->peers.Broadcast(message);
	this->membership.SetPace(this->HeartbeatPeriod(), this->peers.OpenLinks(), NEWS_PER_HEARTBEAT);
	std::vector<std::string> wanted;
	for (const MemberInfo &member : this->membership.LinkTargets(now)) wanted.push_back(member.address);
	for (const std::string &seed : this->settings.seeds) {
		if (seed != self.address) wanted.push_back(seed);
	}
	this->peers.SetWanted(wanted);
}

void Instance::PollList()
{
	this->platform.ListInstances([this](Result<std::vector<ListedInstance>> list) {
		if (!list) return;
		std::set<std::string> leaving;
		for (const ListedInstance &item : list.value()) {
			if (item.leaving) leaving.insert(item.name);
		}
		if (leaving == this->listed_leaving) return;
		this->listed_leaving = std::move(leaving);
		for (uint32_t i = 0; i < this->dispatcher.Targets().Size(); i++) this->RefreshLeaving(TargetNumber{i});
	});
}

void Instance::RunDrainPolicy()
{
	TargetTable &targets = this->dispatcher.Targets();
	for (uint32_t i = 0; i < std::min<size_t>(targets.Size(), DRAIN_POLICY_TARGETS); i++) {
		const TargetState &target = targets.Get(TargetNumber{i});
		if (!target.bounds.known || !target.bounds.ready || target.bounds.leaving) continue;
		bool drain = this->policy.Drain({target.name, target.hall, targets.Pressure(target, MonotonicNow()), target.report.preemptions});
		if (drain) this->NoteLeaving({target.name, target.report.incarnation}, "policy");
	}
}

void Instance::OnSecond(TimePoint now)
{
	this->claims.OnTick();
	this->membership.Expire(now);
	auto [rank, count] = this->membership.Rank(now);
	this->dispatcher.Targets().SetInstances(rank, count);
	this->RunDrainPolicy();
	bool now_fresh = this->IsConfigurationFresh();
	if (now_fresh != this->fresh)
		Log(now_fresh ? LogLevel::Info : LogLevel::Warning, now_fresh ? "configuration-fresh" : "configuration-stale");
	this->fresh = now_fresh;
	// Remove notices about targets that are no longer configured.
	TargetTable &targets = this->dispatcher.Targets();
	std::vector<LeavingTarget> old;
	for (const LeavingTarget &leaving : this->membership.Leaving()) {
		auto number = targets.Find(leaving.target);
		bool known = number && targets.Get(*number).bounds.known;
		if (!known) old.push_back(leaving);
	}
	for (const LeavingTarget &leaving : old) this->membership.RemoveLeaving(leaving.target);
}

void Instance::OnTick()
{
	TimePoint now = MonotonicNow();
	FlushLog();
	this->Carry(this->dispatcher.OnTick(now));
	this->watch.OnTick(now, this->settings.report_poll);
	if (!this->stopping) this->orders.OnTick(this->configuration.State(), this->random(), now);
	if (now >= this->next_heartbeat) {
		this->Heartbeat(now);
		this->next_heartbeat = now + this->HeartbeatPeriod();
	}
	if (now >= this->next_poll) {
		this->next_poll = now + this->settings.head_poll / 2 +
		                  Duration(static_cast<int64_t>(this->random() % static_cast<uint64_t>(this->settings.head_poll.count())));
		this->configuration.Poll();
	}
	if (now >= this->next_list) {
		this->next_list = now + this->settings.list_poll;
		this->PollList();
	}
	if (now >= this->next_second) {
		this->next_second = now + std::chrono::seconds(1);
		this->OnSecond(now);
	}
	if (now >= this->next_call_tick) {
		this->next_call_tick = now + CALL_TICK;
		std::vector<std::shared_ptr<Call>> all;
		all.reserve(this->calls.size());
		for (const auto &[id, call] : this->calls) all.push_back(call);
		for (const std::shared_ptr<Call> &call : all) call->OnTick(now);
	}
	if (this->stopping) this->FinishStopping(now);
}

void Instance::Stop()
{
	TimePoint now = MonotonicNow();
	if (this->stopping) {
		this->stop_begun = now - this->settings.stop_limit - this->settings.stop_notice;
		return;
	}
	this->stopping = true;
	this->stop_begun = now;
	this->orders.Resign();
	this->next_heartbeat = now;
	Log(LogLevel::Info, "stopping", {{"calls", std::to_string(this->calls.size())}});
}

void Instance::FinishStopping(TimePoint now)
{
	Duration since = now - this->stop_begun;
	if (this->listening && since >= this->settings.stop_notice) {
		this->server.StopListening();
		this->listening = false;
	}
	bool done = this->calls.empty() && this->claims.Unsettled() == 0 && !this->listening && this->server.Connections() == 0;
	bool late = since >= this->settings.stop_limit + this->settings.stop_notice;
	bool only_idle = this->calls.empty() && this->claims.Unsettled() == 0 && since >= this->settings.stop_notice + std::chrono::seconds(2);
	if (!done && !late && !only_idle) return;
	this->cut_calls = this->calls.size();
	Log(LogLevel::Info, "stopped", {{"cut", std::to_string(this->cut_calls)}});
	uv_timer_stop(&this->timer->timer);
	this->peers.Shutdown();
	this->client.Shutdown();
	FlushLog();
	uv_stop(this->loop);
}

} // namespace cottonspool
