/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file share_simulation.cpp Many instances that share engines under a virtual clock. */

#include "share_simulation.h"
#include <random>

namespace cottonspool {

static constexpr Duration STEP = std::chrono::milliseconds(25);
static constexpr Duration SNAPSHOT_PERIOD = std::chrono::milliseconds(500);
static constexpr Duration SUMS_PERIOD = std::chrono::milliseconds(150);
static constexpr Duration REPORT_PERIOD = std::chrono::milliseconds(600);
static constexpr Duration REPORT_AGE = std::chrono::milliseconds(400);
static constexpr Duration MIN_SUMS_AGE = std::chrono::milliseconds(150);
static const std::string POOL_NAME = "pool";

/** One instance. */
struct ShareSimulation::Node {
	Node(std::string name, std::string hall, uint64_t incarnation, DispatchLimits limits, HeadroomRules rules)
	    : name(std::move(name)), hall(std::move(hall)), incarnation(incarnation), dispatcher(limits, MakeRouter("headroom", 1, rules)),
	      load(this->dispatcher.Targets(), this->pools, std::chrono::seconds(2), &this->accounts),
	      halls(this->dispatcher.Targets(), this->hall, HallLoad::Names{this->pools, this->accounts})
	{
	}

	std::string name;
	std::string hall;
	uint64_t incarnation;
	NameTable<ModelNumber> pools;
	NameTable<AccountNumber> accounts;
	Dispatcher dispatcher;
	PeerLoad load;
	HallLoad halls;
	uint64_t reports = 0;            ///< Reports applied so far.
	std::vector<CallUpdate> updates; ///< Updates not yet published.
};

ShareSimulation::ShareSimulation(ShareSimulationConfig config)
    : config(std::move(config)), random(this->config.seed), cut(this->config.halls, false), statistics(this->config.rates.size())
{
	this->nodes.resize(this->config.instances);
	for (size_t i = 0; i < this->nodes.size(); i++) this->Create(i);
}

ShareSimulation::~ShareSimulation() = default;

Dispatcher &ShareSimulation::DispatcherOf(size_t instance)
{
	return this->nodes[instance]->dispatcher;
}

size_t ShareSimulation::LimitedAt(size_t instance) const
{
	return this->nodes[instance]->dispatcher.Shares().Limited();
}

void ShareSimulation::Create(size_t index)
{
	DispatchLimits limits;
	limits.targets.use_growth_feedback = false;
	limits.targets.growth_start = 0.4;
	limits.shares.use = this->config.use_shares;
	limits.retry_after_min = std::chrono::milliseconds(100);
	HeadroomRules rules;
	rules.use_overcommit = false;
	std::string hall = "hall" + std::to_string(this->HallOf(index));
	this->nodes[index] = std::make_unique<Node>("node" + std::to_string(index), hall, ++this->incarnations, limits, rules);
	Node &node = *this->nodes[index];
	ModelNumber pool = node.pools.Intern(POOL_NAME);
	for (size_t i = 0; i < this->config.engines; i++) {
		std::string engine_hall = "hall" + std::to_string(this->HallOf(i));
		TargetNumber target = node.dispatcher.Targets().Configure("engine" + std::to_string(i), engine_hall, {pool});
		node.dispatcher.Targets().SetServiceCapacity(target, this->config.memory);
	}
}

void ShareSimulation::SetCut(size_t hall, bool is_cut)
{
	this->cut[hall] = is_cut;
	for (auto &[id, call] : this->running) {
		if (!this->Reaches(this->HallOf(call.node), this->HallOf(call.target.value))) call.unreachable = true;
	}
}

void ShareSimulation::Restart(size_t instance)
{
	std::erase_if(this->waiting, [&](const auto &each) { return each.second.node == instance; });
	std::erase_if(this->running, [&](const auto &each) { return each.second.node == instance; });
	this->Create(instance);
}

void ShareSimulation::ResetStatistics()
{
	this->statistics.assign(this->statistics.size(), {});
}

double ShareSimulation::HeldBy(size_t account) const
{
	double held = 0;
	for (const auto &[id, call] : this->running) held += call.account == account && call.started ? this->config.prompt + call.generated : 0;
	return held;
}

double ShareSimulation::Use() const
{
	double held = 0;
	for (const auto &[id, call] : this->running) held += call.started ? this->config.prompt + call.generated : 0;
	return held / this->Memory();
}

void ShareSimulation::Run(Duration time)
{
	for (TimePoint end = this->now + time; this->now < end;) {
		this->now += STEP;
		this->Progress();
		this->Exchange();
		for (size_t i = 0; i < this->nodes.size(); i++) {
			Node &node = *this->nodes[i];
			node.load.OnTick(this->now);
			size_t peers = 0;
			for (size_t other = 0; other < this->nodes.size(); other++)
				peers += other != i && this->HallOf(other) == this->HallOf(i) ? 1 : 0;
			node.dispatcher.SetShareView(2 * node.load.Live().size() >= peers);
			this->Apply(i, node.dispatcher.OnTick(this->now));
		}
		this->Arrive();
	}
}

double ShareSimulation::DrawLength()
{
	return std::uniform_real_distribution<double>(0.2, 1.8)(this->random);
}

void ShareSimulation::Arrive()
{
	for (size_t account = 0; account < this->config.rates.size(); account++) {
		double mean = this->config.rates[account] * Seconds(STEP);
		uint32_t count = mean > 0 ? std::poisson_distribution<uint32_t>(mean)(this->random) : 0;
		for (uint32_t i = 0; i < count; i++) {
			size_t index = this->random() % this->nodes.size();
			Node &node = *this->nodes[index];
			CallSpec call;
			call.id = CallId{this->next_call++};
			call.account = node.accounts.Intern("account" + std::to_string(account));
			call.model = node.pools.Intern(POOL_NAME);
			call.service_class = ServiceClass::Stream;
			call.prompt_tokens = this->config.prompt;
			call.max_tokens = 2 * this->config.output;
			call.repeatable = false;
			call.arrived = this->now;
			call.deadline = this->now + this->config.wait_limit;
			call.other_hall_penalty = 1.2;
			for (size_t hall = 0; hall < this->config.halls; hall++)
				call.halls.push_back({"hall" + std::to_string((this->HallOf(index) + hall) % this->config.halls), 1});
			this->statistics[account].submitted++;
			this->waiting[call.id.value] = {index, account, this->now};
			this->Apply(index, node.dispatcher.Submit(call, this->now));
		}
	}
}

void ShareSimulation::Apply(size_t index, const Decisions &decisions)
{
	Node &node = *this->nodes[index];
	for (const SendAction &action : decisions.sends) {
		this->trace += "s" + std::to_string(action.call.value) + "@" + std::to_string(action.target.value) + " ";
		auto [sender, account, arrived] = this->waiting.at(action.call.value);
		bool reached = this->Reaches(this->HallOf(index), this->HallOf(action.target.value));
		if (!reached) {
			uint64_t id = action.call.value;
			TimePoint due = this->now + std::chrono::milliseconds(150);
			uint64_t incarnation = node.incarnation;
			this->deliveries.emplace(due, [this, index, id, incarnation] {
				Node &owner = *this->nodes[index];
				if (owner.incarnation != incarnation) return;
				this->Apply(index, owner.dispatcher.OnSendEnded(CallId{id}, SendOutcome::NotSent, this->now));
			});
			continue;
		}
		this->waiting.erase(action.call.value);
		this->running[action.call.value] = {index, account, action.target, arrived, std::nullopt, this->DrawLength(), 0, false};
		node.updates.push_back(this->UpdateOf(action.call.value, this->running.at(action.call.value)));
		ShareStatistics &own = this->statistics[account];
		own.sent++;
		if (own.starved_since) own.longest_starved = std::max<Duration>(own.longest_starved, this->now - *own.starved_since);
		own.starved_since.reset();
	}
	for (const RejectAction &action : decisions.rejections) {
		this->trace += "r" + std::to_string(action.call.value) + RejectReasonName(action.reason) + " ";
		auto found = this->waiting.find(action.call.value);
		if (found == this->waiting.end()) continue;
		ShareStatistics &own = this->statistics[found->second.account];
		own.rejected++;
		if (!own.starved_since) own.starved_since = this->now;
		own.share_rejected += action.reason == RejectReason::AccountShare ? 1 : 0;
		this->waiting.erase(found);
	}
}

void ShareSimulation::End(uint64_t id, SendOutcome outcome)
{
	RunningCall call = this->running.at(id);
	CallUpdate update;
	update.kind = CallUpdate::Kind::Ended;
	update.call = id;
	this->nodes[call.node]->updates.push_back(std::move(update));
	this->running.erase(id);
	this->Apply(call.node, this->nodes[call.node]->dispatcher.OnSendEnded(CallId{id}, outcome, this->now));
}

void ShareSimulation::Progress()
{
	std::vector<uint64_t> ended;
	std::vector<uint32_t> used(this->config.engines);
	for (const auto &[id, call] : this->running) used[call.target.value] += call.started ? this->config.prompt + call.generated : 0;
	for (auto &[id, call] : this->running) {
		uint32_t &memory = used[call.target.value];
		// An engine runs a call once its prompt fits into the memory.
		if (!call.started && memory + this->config.prompt <= this->config.memory) {
			call.started = this->now;
			memory += this->config.prompt;
			ShareStatistics &own = this->statistics[call.account];
			(this->now - call.arrived <= this->config.objective ? own.in_time : own.late)++;
		}
		if (!call.started) {
			if (call.unreachable) ended.push_back(id);
			continue;
		}
		double part = std::min(1.0, Seconds(this->now - *call.started) / (Seconds(this->config.duration) * call.length));
		auto generated = static_cast<uint32_t>(part * call.length * this->config.output);
		if (generated > call.generated) this->nodes[call.node]->dispatcher.OnToken(CallId{id}, this->now, generated - call.generated);
		call.generated = generated;
		if (part >= 1 || call.unreachable) ended.push_back(id);
	}
	for (uint64_t id : ended) this->End(id, this->running.at(id).unreachable ? SendOutcome::LostAfterDelivery : SendOutcome::Complete);
}

CallUpdate ShareSimulation::UpdateOf(uint64_t id, const RunningCall &call) const
{
	return {CallUpdate::Kind::Active,
	        id,
	        "engine" + std::to_string(call.target.value),
	        this->config.prompt,
	        call.generated,
	        2 * this->config.output,
	        POOL_NAME,
	        ServiceClass::Stream,
	        "account" + std::to_string(call.account)};
}

void ShareSimulation::PublishCalls()
{
	bool full = this->now >= this->next_snapshot;
	if (full) this->next_snapshot = this->now + SNAPSHOT_PERIOD;
	std::vector<LoadMessage> messages(this->nodes.size());
	for (size_t i = 0; i < messages.size(); i++) {
		messages[i] = {this->nodes[i]->name, this->nodes[i]->incarnation, full, {}, {}};
		if (!full) messages[i].calls = std::move(this->nodes[i]->updates);
		this->nodes[i]->updates.clear();
	}
	if (full) {
		for (const auto &[id, call] : this->running) messages[call.node].calls.push_back(this->UpdateOf(id, call));
	}
	for (size_t from = 0; from < messages.size(); from++) {
		if (!full && messages[from].calls.empty()) continue;
		this->deliveries.emplace(this->now + this->config.update_age, [this, from, message = std::move(messages[from])] {
			for (size_t to = this->HallOf(from); to < this->nodes.size(); to += this->config.halls) {
				if (to != from) this->nodes[to]->load.OnMessage(message, this->now);
			}
		});
	}
}

void ShareSimulation::ReportEngines()
{
	if (this->now < this->next_reports) return;
	this->next_reports = this->now + REPORT_PERIOD;
	std::vector<LoadReport> reports(this->config.engines);
	for (const auto &[id, call] : this->running) {
		LoadReport &report = reports[call.target.value];
		if (call.started) report.used_tokens += this->config.prompt + call.generated;
		if (!call.started) report.waiting_tokens += this->config.prompt;
		(call.started ? report.running : report.waiting)++;
	}
	for (size_t engine = 0; engine < reports.size(); engine++) {
		reports[engine].capacity_tokens = this->config.memory;
		reports[engine].age = REPORT_AGE;
		this->deliveries.emplace(this->now + REPORT_AGE, [this, engine, report = reports[engine]] {
			for (size_t i = this->HallOf(engine); i < this->nodes.size(); i += this->config.halls) {
				Node &node = *this->nodes[i];
				LoadReport own = report;
				own.sequence = ++node.reports;
				this->Apply(i, node.dispatcher.OnReport(TargetNumber{static_cast<uint32_t>(engine)}, own, this->now));
			}
		});
	}
}

void ShareSimulation::PublishSums()
{
	if (this->now < this->next_sums) return;
	this->next_sums = this->now + SUMS_PERIOD;
	// The first instance of each hall publishes the sums of its hall, which are delayed by different times.
	for (size_t hall = 0; hall < std::min(this->config.halls, this->nodes.size()); hall++) {
		auto steps = static_cast<uint64_t>((this->config.sums_age - MIN_SUMS_AGE) / STEP) + 1;
		Duration age = MIN_SUMS_AGE + STEP * static_cast<int64_t>(this->random() % steps);
		this->deliveries.emplace(this->now + age, [this, hall, message = this->nodes[hall]->halls.BuildMessage(this->now)] {
			for (size_t to = 0; to < this->nodes.size(); to++) {
				if (this->HallOf(to) != hall && this->Reaches(hall, this->HallOf(to))) this->ReceiveSums(to, message);
			}
		});
	}
}

void ShareSimulation::ReceiveSums(size_t index, const HallLoadMessage &message)
{
	Node &node = *this->nodes[index];
	for (const ReportUpdate &update : node.halls.OnMessage(message, this->now)) {
		LoadReport report = update.report;
		report.sequence = ++node.reports;
		report.age = this->config.sums_age;
		this->Apply(index, node.dispatcher.OnReport(*node.dispatcher.Targets().Find(update.target), report, this->now));
	}
}

void ShareSimulation::Exchange()
{
	this->ReportEngines();
	this->PublishCalls();
	this->PublishSums();
	while (!this->deliveries.empty() && this->deliveries.begin()->first <= this->now) {
		auto deliver = std::move(this->deliveries.begin()->second);
		this->deliveries.erase(this->deliveries.begin());
		deliver();
	}
}

} // namespace cottonspool
