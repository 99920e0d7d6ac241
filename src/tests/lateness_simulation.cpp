/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lateness_simulation.cpp Implementation of the simulation of streams on engines of several speeds. */

#include "tests/lateness_simulation.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace cottonspool {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr uint32_t KV_TOKENS = 26892;      ///< KV cache of an engine, in tokens.
constexpr uint32_t SLOTS = 24;             ///< Concurrent runs of an engine.
constexpr uint32_t PIECE_TOKENS = 112;     ///< Prompt tokens that are read in one step.
constexpr uint32_t TOKENS_PER_EVENT = 4;   ///< Tokens per event.
constexpr double SLOWDOWN = 2.5;           ///< Factor of a slowdown.
constexpr double SLOWDOWN_SECONDS = 0.6;   ///< Length of a slowdown.
constexpr double SLOWDOWN_FRACTION = 0.15; ///< Fraction of the time with a slowdown.
constexpr Duration GAP_OBJECTIVE = milliseconds(180);
constexpr Duration TICK = milliseconds(1); ///< Step of the simulated time.

/** A call of the simulation. */
struct SimulatedCall {
	CallSpec spec;
	uint32_t instance = 0;    ///< Instance that serves it.
	uint32_t output = 0;      ///< Output tokens.
	uint32_t generated = 0;   ///< Tokens generated so far.
	uint32_t prompt_left = 0; ///< Prompt tokens that are not read yet.
	TimePoint last_event;     ///< Time of the latest event.
	bool is_long = false;     ///< Whether it is a long stream.
	bool late = false;        ///< Whether it missed an objective.
};

/** An engine of the simulation. */
struct SimulatedEngine {
	TargetNumber number;                                ///< Number in the tables of all instances.
	double factor = 1;                                  ///< Time factor without slowdowns.
	std::vector<std::shared_ptr<SimulatedCall>> runs;   ///< Running calls, in order of arrival.
	std::deque<std::shared_ptr<SimulatedCall>> waiting; ///< Calls that wait for memory or a slot.
	TimePoint step_end;                                 ///< End of the current step.
	bool in_step = false;                               ///< Whether a step is in progress.
	TimePoint slow_from;                                ///< Start of the current or next slowdown.
	TimePoint slow_until;                               ///< End of that slowdown.
	TimePoint known_at;                                 ///< Time at which its speed becomes known.
	TimePoint leaves_at;                                ///< Time of its drain notice.
	TimePoint report_at;                                ///< Time of the next report.
	bool speed_known = false;
	bool leaving = false;
	uint64_t reports = 0; ///< Reports so far.

	/** @return Tokens in the KV cache. */
	uint64_t Used() const
	{
		uint64_t used = 0;
		for (const auto &run : this->runs) used += run->spec.prompt_tokens + run->generated;
		return used;
	}
};

/** An instance of the simulation. */
struct SimulatedInstance {
	std::unique_ptr<Dispatcher> dispatcher;
	NameTable<ModelNumber> pools;                             ///< Numbers of the pools.
	std::unique_ptr<PeerLoad> peers;                          ///< Calls of the other instances.
	std::map<uint64_t, std::shared_ptr<SimulatedCall>> calls; ///< Unfinished calls.
};

/** The simulation. */
class LatenessSimulation {
public:
	explicit LatenessSimulation(const LatenessScenario &scenario) : scenario(scenario), random(scenario.seed)
	{
		for (uint32_t i = 0; i < scenario.instances; i++) this->AddInstance(i);
		for (uint32_t i = 0; i < scenario.engines; i++) {
			this->AddEngine(scenario.factors[i % scenario.factors.size()], FromSeconds(this->Uniform() * Seconds(scenario.engine_life)));
			this->engines.back().known_at = this->now;
		}
	}

	LatenessResult Run()
	{
		TimePoint end = this->now + this->scenario.length;
		this->next_long = this->next_short = this->now;
		TimePoint next_peer = this->now;
		while (this->now < end || this->Unfinished()) {
			this->now += TICK;
			if (this->now < end) this->Arrivals();
			for (size_t i = 0; i < this->engines.size(); i++) this->Advance(i);
			this->Deliver();
			if (this->now < next_peer) continue;
			next_peer = this->now + this->scenario.peer_interval;
			for (uint32_t i = 0; i < this->instances.size(); i++) this->Publish(i);
		}
		return this->result;
	}

private:
	double Uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
	Duration Exponential(double mean) { return FromSeconds(std::exponential_distribution<double>(1 / mean)(this->random)); }

	bool Unfinished() const
	{
		return std::any_of(this->instances.begin(), this->instances.end(), [](const auto &i) { return !i->calls.empty(); });
	}

	void AddInstance(uint32_t index)
	{
		auto instance = std::make_unique<SimulatedInstance>();
		DispatchLimits limits;
		// As in the gateway; see GatewayLimits.
		limits.targets.use_growth_feedback = false;
		limits.targets.growth_start = 0.4;
		limits.targets.use_lateness = this->scenario.use_lateness;
		HeadroomRules rules{.use_overcommit = false};
		instance->dispatcher = std::make_unique<Dispatcher>(limits, MakeRouter(this->scenario.router, index, rules));
		instance->pools.Intern("engines");
		instance->peers = std::make_unique<PeerLoad>(instance->dispatcher->Targets(), instance->pools, std::chrono::seconds(5));
		this->instances.push_back(std::move(instance));
	}

	void AddEngine(double factor, Duration life)
	{
		SimulatedEngine engine;
		engine.factor = factor;
		engine.known_at = this->now + this->scenario.speed_delay;
		engine.leaves_at = this->now + life;
		engine.report_at = this->now + FromSeconds(this->Uniform() * Seconds(this->scenario.report_interval));
		std::string name = "engine" + std::to_string(this->engines.size());
		for (auto &instance : this->instances) engine.number = instance->dispatcher->Targets().Configure(name, "hall", {ModelNumber{0}});
		this->engines.push_back(std::move(engine));
		this->SendReport(this->engines.back(), Duration(0));
		this->result.sends.push_back(0);
	}

	void Arrivals()
	{
		for (; this->next_long <= this->now; this->next_long += this->Exponential(1 / this->scenario.long_rate)) this->Arrive(true);
		for (; this->next_short <= this->now; this->next_short += this->Exponential(1 / this->scenario.short_rate)) this->Arrive(false);
	}

	void Arrive(bool is_long)
	{
		auto call = std::make_shared<SimulatedCall>();
		call->is_long = is_long;
		call->instance = this->random() % this->scenario.instances;
		double events = is_long ? 188 * std::exp(std::normal_distribution<double>(-0.08, 0.4)(this->random)) : 2;
		call->output = TOKENS_PER_EVENT * std::max<uint32_t>(1, static_cast<uint32_t>(events));
		CallSpec &spec = call->spec;
		spec.id = CallId{this->next_id++};
		spec.account = AccountNumber{static_cast<uint32_t>(this->random() % 24)};
		spec.model = ModelNumber{0};
		spec.prompt_tokens = call->prompt_left = is_long ? 3000 : 2200;
		spec.max_tokens = is_long ? call->output + call->output / 2 : call->output;
		spec.repeatable = false;
		spec.arrived = this->now;
		spec.objective = milliseconds(is_long ? 1800 : 1500);
		spec.gap_objective = GAP_OBJECTIVE;
		spec.deadline = this->now + FromSeconds(0.22 * Seconds(spec.objective));
		SimulatedInstance &instance = *this->instances[call->instance];
		instance.calls[spec.id.value] = call;
		this->Apply(instance, instance.dispatcher->Submit(spec, this->now));
	}

	void Apply(SimulatedInstance &instance, const Decisions &decisions)
	{
		for (const SendAction &send : decisions.sends) {
			std::shared_ptr<SimulatedCall> call = instance.calls.at(send.call.value);
			SimulatedEngine &engine = this->engines[send.target.value];
			engine.waiting.push_back(call);
			this->result.sends[send.target.value]++;
			this->result.choices.push_back(send.target.value);
			(call->is_long ? this->result.longs_by_factor : this->result.shorts_by_factor)[engine.factor]++;
		}
		for (const RejectAction &rejection : decisions.rejections) {
			this->CountsOf(*instance.calls.at(rejection.call.value)).rejected++;
			instance.calls.erase(rejection.call.value);
		}
	}

	StreamCounts &CountsOf(const SimulatedCall &call) { return call.is_long ? this->result.long_streams : this->result.short_streams; }

	/** Admit waiting calls and finish the steps of engine \a index that end until now. */
	void Advance(size_t index)
	{
		this->UpdateLife(index);
		while (true) {
			// Engines may be added while decisions are applied, so no reference is kept over a step.
			SimulatedEngine &engine = this->engines[index];
			if (engine.in_step && engine.step_end > this->now) return;
			if (engine.in_step) this->FinishStep(index);
			if (!this->StartStep(this->engines[index])) return;
		}
	}

	void UpdateLife(size_t index)
	{
		SimulatedEngine &engine = this->engines[index];
		if (!engine.speed_known && this->scenario.states_speed && this->now >= engine.known_at) {
			engine.speed_known = true;
			for (auto &instance : this->instances) instance->dispatcher->Targets().OnTimeFactor(engine.number, engine.factor, this->now);
		}
		if (this->now >= engine.report_at) {
			engine.report_at += this->scenario.report_interval;
			this->SendReport(engine, this->scenario.report_age);
		}
		if (engine.leaving || this->now < engine.leaves_at) return;
		engine.leaving = true;
		TargetNumber number = engine.number;
		for (auto &instance : this->instances) {
			instance->dispatcher->Targets().MarkDraining(number);
			instance->dispatcher->Targets().Forget(number);
		}
		this->AddEngine(engine.factor, this->scenario.engine_life);
	}

	bool StartStep(SimulatedEngine &engine)
	{
		uint64_t used = engine.Used();
		while (!engine.waiting.empty() && engine.runs.size() < SLOTS && used + engine.waiting.front()->spec.prompt_tokens <= KV_TOKENS) {
			used += engine.waiting.front()->spec.prompt_tokens;
			engine.runs.push_back(engine.waiting.front());
			engine.waiting.pop_front();
		}
		engine.in_step = !engine.runs.empty();
		if (!engine.in_step) return false;
		TimePoint start = std::max(engine.step_end, this->now - TICK);
		while (start >= engine.slow_until) {
			engine.slow_from = start + this->Exponential(SLOWDOWN_SECONDS * (1 / SLOWDOWN_FRACTION - 1));
			engine.slow_until = engine.slow_from + FromSeconds(SLOWDOWN_SECONDS);
		}
		bool reads = std::any_of(engine.runs.begin(), engine.runs.end(), [](const auto &run) { return run->prompt_left > 0; });
		double seconds = 0.007 + 0.00012 * static_cast<double>(engine.runs.size()) + (reads ? 0.008 : 0);
		engine.step_end = start + FromSeconds(seconds * engine.factor * (start >= engine.slow_from ? SLOWDOWN : 1));
		return true;
	}

	void FinishStep(size_t index)
	{
		std::vector<std::shared_ptr<SimulatedCall>> runs = this->engines[index].runs;
		TimePoint at = this->engines[index].step_end;
		bool has_read = false;
		for (const auto &run : runs) {
			if (run->prompt_left > 0) {
				if (!has_read) run->prompt_left -= std::min(run->prompt_left, PIECE_TOKENS);
				has_read = true;
				continue;
			}
			run->generated++;
			if (run->generated % TOKENS_PER_EVENT == 0) this->OnEvent(*run, at);
			if (run->generated >= run->output) this->Finish(index, run, at);
		}
	}

	void OnEvent(SimulatedCall &run, TimePoint at)
	{
		bool first = run.generated == TOKENS_PER_EVENT;
		if (first ? at - run.spec.arrived > run.spec.objective : at - run.last_event > GAP_OBJECTIVE) {
			if (!run.late) this->CountsOf(run).missed_first += first;
			run.late = true;
		}
		run.last_event = at;
		this->instances[run.instance]->dispatcher->OnToken(run.spec.id, at, TOKENS_PER_EVENT);
	}

	void Finish(size_t index, const std::shared_ptr<SimulatedCall> &run, TimePoint at)
	{
		std::vector<std::shared_ptr<SimulatedCall>> &runs = this->engines[index].runs;
		runs.erase(std::find(runs.begin(), runs.end(), run));
		this->CountsOf(*run).finished++;
		if (run->late) this->CountsOf(*run).late++;
		SimulatedInstance &instance = *this->instances[run->instance];
		instance.calls.erase(run->spec.id.value);
		this->Apply(instance, instance.dispatcher->OnSendEnded(run->spec.id, SendOutcome::Complete, at));
	}

	void SendReport(SimulatedEngine &engine, Duration age)
	{
		LoadReport report;
		report.sequence = ++engine.reports;
		report.incarnation = "a";
		report.capacity_tokens = KV_TOKENS;
		report.used_tokens = engine.Used();
		report.running = static_cast<uint32_t>(engine.runs.size());
		report.waiting = static_cast<uint32_t>(engine.waiting.size());
		for (const auto &call : engine.waiting) report.waiting_tokens += call->spec.prompt_tokens;
		report.age = age;
		TimePoint known_at = this->scenario.states_speed ? engine.known_at : TimePoint::max();
		this->messages.emplace(this->now + age, [this, number = engine.number, report, known_at, factor = engine.factor] {
			bool restate = this->now >= known_at;
			for (auto &instance : this->instances) {
				this->Apply(*instance, instance->dispatcher->OnReport(number, report, this->now));
				// Engines state their speed in each answer. What was stated before the first report, which tells the incarnation, ends.
				if (restate) instance->dispatcher->Targets().OnTimeFactor(number, factor, this->now);
			}
		});
	}

	/** Publish the calls of instance \a index to the others, and let it reject expired calls. */
	void Publish(uint32_t index)
	{
		SimulatedInstance &instance = *this->instances[index];
		this->Apply(instance, instance.dispatcher->OnTick(this->now));
		instance.peers->OnTick(this->now);
		LoadMessage message;
		message.instance = "instance" + std::to_string(index);
		message.full = true;
		for (const auto &[id, call] : instance.calls) {
			std::optional<TargetNumber> holder = instance.dispatcher->Holder(call->spec.id);
			if (!holder) continue;
			CallUpdate update;
			update.call = id;
			update.target = instance.dispatcher->Targets().Get(*holder).name;
			update.prompt_tokens = call->spec.prompt_tokens;
			update.generated = call->generated / TOKENS_PER_EVENT * TOKENS_PER_EVENT;
			update.max_tokens = call->spec.max_tokens;
			update.pool = "engines";
			update.service_class = call->spec.service_class;
			message.calls.push_back(update);
		}
		this->messages.emplace(this->now + this->scenario.peer_delay, [this, index, message] {
			for (uint32_t i = 0; i < this->instances.size(); i++) {
				if (i != index) this->instances[i]->peers->OnMessage(message, this->now);
			}
		});
	}

	void Deliver()
	{
		while (!this->messages.empty() && this->messages.begin()->first <= this->now) {
			auto deliver = std::move(this->messages.begin()->second);
			this->messages.erase(this->messages.begin());
			deliver();
		}
	}

	LatenessScenario scenario;
	pcg32 random;
	TimePoint now{std::chrono::seconds(100)};
	TimePoint next_long;  ///< Arrival of the next long stream.
	TimePoint next_short; ///< Arrival of the next short stream.
	uint64_t next_id = 1;
	std::vector<std::unique_ptr<SimulatedInstance>> instances;
	std::vector<SimulatedEngine> engines;                     ///< All engines, including those that have left, by number.
	std::multimap<TimePoint, std::function<void()>> messages; ///< Messages and reports by time of delivery.
	LatenessResult result;
};

} // namespace

LatenessResult SimulateLateness(const LatenessScenario &scenario)
{
	return LatenessSimulation(scenario).Run();
}

} // namespace cottonspool
