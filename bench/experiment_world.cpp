/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file experiment_world.cpp Engine model and event loop of the simulation. */

#include "experiment_world.h"
#include "core/hash_func.h"
#include <algorithm>
#include <cmath>
#include <list>
#include <random>

namespace cottonspool {

static constexpr double WIRE_SECONDS = 0.0015; ///< One-way latency between an instance and an engine.
static constexpr double TICK_SECONDS = 0.05;   ///< Time between ticks of an instance.
static constexpr double STALL_SECONDS = 0.2;   ///< Wait for a token beyond which it counts as a stall.
static constexpr double DRAIN_SECONDS = 60;    ///< Time after the last arrival for running calls to complete.
static constexpr size_t CACHED_PREFIXES = 64;  ///< Prefixes in the cache of an engine.
static constexpr double CACHED_PART = 0.7;     ///< Part of a prompt that needs no prefill if its prefix is cached.

double CallRate(const Workload &workload)
{
	double length = 0, prompt = 0, footprint = 0, share = 0;
	for (const WorkloadClass &kind : workload.classes) {
		double variance = kind.sigma * kind.sigma;
		double mean_length = kind.length * std::exp(variance / 2);
		double mean_prompt = kind.prompt * std::exp(variance / 8);
		// Average memory of a call while it runs: its prompt and half of its output, weighted by the length of the output.
		double held = mean_prompt + kind.length * std::exp(1.5 * variance) / 2;
		length += kind.share * mean_length;
		prompt += kind.share * mean_prompt;
		footprint += kind.share * mean_length * held;
		share += kind.share;
	}
	double batch = std::min(static_cast<double>(workload.max_batch), workload.memory_tokens / (footprint / length));
	double tokens = batch / (workload.step_ms + batch * workload.step_ms_per_call) * 1000;
	tokens /= 1 + tokens / (length / share) * (prompt / share) * workload.prefill_ms_per_token / 1000;
	return workload.load * static_cast<double>(workload.engines) * tokens / (length / share);
}

namespace {

/** A simulated call. */
struct SimCall {
	CallSpec spec;            ///< Call as the dispatcher sees it.
	size_t instance = 0;      ///< Instance that received it.
	uint32_t length = 1;      ///< Tokens of its output; unknown to dispatchers.
	uint32_t generated = 0;   ///< Tokens generated so far.
	double last = 0;          ///< Time of the last token, or of the arrival, in seconds.
	double stalled = 0;       ///< Total stall, in seconds.
	int priority = 0;         ///< Priority at the engine.
	size_t engine = SIZE_MAX; ///< Engine that it was sent to.
	bool prefilled = false;   ///< Its prompt is in the KV cache.
	bool over = false;        ///< Completed, rejected or lost.
	uint32_t sends = 0;       ///< Number of sends; messages of earlier sends are ignored.
};

/** A simulated engine. */
struct SimEngine {
	std::vector<size_t> running;   ///< Calls being decoded.
	std::list<size_t> waiting;     ///< Calls in its queue.
	double used = 0;               ///< KV cache in use, in tokens.
	uint64_t preemptions = 0;      ///< Number of preemptions.
	uint64_t sequence = 0;         ///< Sequence number of the last report.
	bool stepping = false;         ///< A step is in progress.
	bool dead = false;             ///< It has crashed.
	double slow = 1;               ///< Factor on the time of a step.
	uint64_t incarnation = 1;      ///< Number of the current incarnation.
	std::deque<uint64_t> prefixes; ///< Cached prefixes.
};

/** Kind of a simulation event. */
enum class SimKind : uint8_t { Arrive, Send, Step, Tick, Report, ReportIn, EventStart, EventEnd };

/** An event of the simulation. */
struct SimEvent {
	double at;            ///< Virtual time, in seconds.
	uint64_t order;       ///< Order among events at the same time.
	SimKind kind;         ///< Kind of event.
	size_t first, second; ///< Operands; their meaning depends on the kind.
	bool operator<(const SimEvent &other) const { return std::tie(other.at, other.order) < std::tie(this->at, this->order); }
};

/** One run of a workload. */
class Simulation {
public:
	Simulation(const Workload &workload, const Contender &contender, uint64_t seed)
	    : workload(workload), contender(contender), random(seed), engines(workload.engines)
	{
		for (size_t i = 0; i < workload.instances; i++) {
			this->instances.push_back(
			        std::make_unique<Dispatcher>(contender.limits, MakeRouter(contender.router, seed * 100 + i, contender.rules)));
			TargetTable &targets = this->instances.back()->Targets();
			targets.SetInstances(static_cast<uint32_t>(i), static_cast<uint32_t>(workload.instances));
			for (size_t e = 0; e < workload.engines; e++) {
				targets.Configure("engine" + std::to_string(e), "hall" + std::to_string(e % workload.halls), {ModelNumber{0}});
			}
			this->Push(0.001 * static_cast<double>(i), SimKind::Tick, i);
		}
		for (size_t e = 0; e < workload.engines; e++) this->Push(0.0001 * static_cast<double>(e), SimKind::Report, e);
		for (size_t i = 0; i < workload.events.size(); i++) {
			this->Push(workload.events[i].at, SimKind::EventStart, i);
			this->Push(workload.events[i].at + workload.events[i].seconds, SimKind::EventEnd, i);
		}
		this->figures.requested.resize(workload.accounts);
		this->figures.served.resize(workload.accounts);
		this->rate = CallRate(workload);
		this->Push(2, SimKind::Arrive);
	}

	RunFigures Run()
	{
		while (!this->events.empty()) {
			SimEvent event = this->events.top();
			this->events.pop();
			this->now = event.at;
			if (this->now > this->workload.seconds + DRAIN_SECONDS) break;
			this->Handle(event);
		}
		for (const SimEngine &engine : this->engines) this->figures.preemptions += engine.preemptions;
		return std::move(this->figures);
	}

private:
	void Handle(const SimEvent &event)
	{
		switch (event.kind) {
		case SimKind::Arrive:
			return this->Arrive();
		case SimKind::Send:
			return this->ReceiveAtEngine(event.first, event.second);
		case SimKind::Step:
			return this->Step(event.first, event.second);
		case SimKind::Tick:
			this->Push(this->now + TICK_SECONDS, SimKind::Tick, event.first);
			return this->ApplyDecisions(event.first, this->instances[event.first]->OnTick(this->Now()));
		case SimKind::Report:
			return this->MakeReport(event.first);
		case SimKind::ReportIn:
			return this->ReportIn(event.first, event.second);
		case SimKind::EventStart:
			return this->ApplyDisturbance(this->workload.events[event.first], true);
		case SimKind::EventEnd:
			return this->ApplyDisturbance(this->workload.events[event.first], false);
		}
	}

	TimePoint Now() const { return TimePoint(FromSeconds(this->now + 1000)); }

	void Push(double at, SimKind kind, size_t first = 0, size_t second = 0) { this->events.push({at, this->order++, kind, first, second}); }

	double LogNormal(double middle, double sigma) { return middle * std::exp(std::normal_distribution<double>(0, sigma)(this->random)); }

	void Arrive()
	{
		if (this->now > this->workload.seconds) return;
		double total = 0;
		std::vector<double> shares;
		for (size_t i = 0; i < this->workload.classes.size(); i++) {
			shares.push_back(this->workload.classes[i].share * (i == this->burst_class ? this->burst : 1));
			total += shares.back();
		}
		double more = this->flood - 1;
		double rate_now = this->rate * total * (1 + more * 0.3);
		this->Push(this->now + std::exponential_distribution<double>(rate_now)(this->random), SimKind::Arrive);
		double draw = std::uniform_real_distribution<double>(0, total)(this->random);
		size_t kind = 0;
		while (kind + 1 < shares.size() && draw >= shares[kind]) draw -= shares[kind++];
		std::vector<double> weights;
		for (size_t i = 0; i < this->workload.accounts; i++) weights.push_back(1.0 / static_cast<double>(i + 1) + (i == 0 ? more : 0));
		size_t account = std::discrete_distribution<size_t>(weights.begin(), weights.end())(this->random);
		const WorkloadClass &model = this->workload.classes[kind];
		SimCall call;
		double own = static_cast<double>(HashText("account", account) % 2001) / 1000 - 1; // Each account has its own median output length.
		double middle = model.length * std::exp(own * this->workload.account_sigma);
		call.length = static_cast<uint32_t>(std::clamp(this->LogNormal(middle, model.sigma), 1.0, 30000.0));
		call.spec.id = CallId{this->calls.size()};
		call.spec.account = AccountNumber{static_cast<uint32_t>(account)};
		call.spec.service_class = model.service_class;
		double longest = this->workload.memory_tokens / 2;
		call.spec.prompt_tokens = static_cast<uint32_t>(std::clamp(this->LogNormal(model.prompt, model.sigma / 2), 1.0, longest));
		call.length = std::min(call.length, static_cast<uint32_t>(longest));
		call.spec.prefix = HashText("prefix", account * 1024 + this->random() % this->workload.prefixes);
		call.spec.arrived = this->Now();
		call.spec.deadline = this->Now() + model.wait;
		call.instance = this->random() % this->workload.instances;
		size_t hall = call.instance % this->workload.halls;
		for (size_t i = 0; i < this->workload.halls; i++) {
			size_t at = (hall + i) % this->workload.halls;
			bool cut = this->cut_hall < this->workload.halls && (at == this->cut_hall) != (hall == this->cut_hall);
			if (!cut) call.spec.halls.push_back({"hall" + std::to_string(at), 1});
		}
		call.last = this->now;
		this->figures.calls++;
		this->figures.requested[account] += call.length;
		this->calls.push_back(call);
		this->ApplyDecisions(call.instance, this->instances[call.instance]->Submit(call.spec, this->Now()));
	}

	void ApplyDecisions(size_t instance, const Decisions &decisions)
	{
		(void)instance;
		for (const SendAction &send : decisions.sends) {
			SimCall &call = this->calls[send.call.value];
			call.engine = send.target.value;
			call.priority = this->contender.priorities ? send.priority : 0;
			call.sends++;
			this->Push(this->now + WIRE_SECONDS, SimKind::Send, send.call.value, call.sends);
		}
		for (const RejectAction &rejection : decisions.rejections) {
			this->calls[rejection.call.value].over = true;
			this->figures.refused[static_cast<size_t>(rejection.reason)]++;
		}
	}

	void ReceiveAtEngine(size_t number, size_t send)
	{
		SimCall &call = this->calls[number];
		if (call.sends != send) return;
		SimEngine &engine = this->engines[call.engine];
		if (engine.dead) return this->EndSend(number, SendOutcome::NotExecuted);
		auto position = std::find_if(engine.waiting.begin(), engine.waiting.end(),
		                             [&](size_t w) { return this->calls[w].priority < call.priority; });
		engine.waiting.insert(position, number);
		this->StartStep(call.engine);
	}

	void EndSend(size_t number, SendOutcome end)
	{
		SimCall &call = this->calls[number];
		this->ApplyDecisions(call.instance, this->instances[call.instance]->OnSendEnded(call.spec.id, end, this->Now()));
	}

	void StartStep(size_t number)
	{
		SimEngine &engine = this->engines[number];
		if (engine.stepping || engine.dead) return;
		double prefill = 0;
		while (!engine.waiting.empty() && engine.running.size() < this->workload.max_batch) {
			SimCall &call = this->calls[engine.waiting.front()];
			double need = call.spec.prompt_tokens + call.generated;
			double spare = this->workload.memory_tokens - engine.used - static_cast<double>(engine.running.size());
			if (need + 1 > spare && !engine.running.empty()) break;
			bool cached = std::find(engine.prefixes.begin(), engine.prefixes.end(), call.spec.prefix) != engine.prefixes.end();
			prefill += (cached ? 1 - CACHED_PART : 1) * call.spec.prompt_tokens + call.generated;
			std::erase(engine.prefixes, call.spec.prefix);
			engine.prefixes.push_back(call.spec.prefix);
			if (engine.prefixes.size() > CACHED_PREFIXES) engine.prefixes.pop_front();
			engine.used += need;
			engine.running.push_back(engine.waiting.front());
			engine.waiting.pop_front();
		}
		while (engine.running.size() > 1 && engine.used + static_cast<double>(engine.running.size()) > this->workload.memory_tokens) {
			this->Preempt(engine);
		}
		if (engine.running.empty()) return;
		engine.stepping = true;
		double batch = static_cast<double>(engine.running.size());
		double ms = this->workload.step_ms + batch * this->workload.step_ms_per_call + prefill * this->workload.prefill_ms_per_token;
		this->Push(this->now + ms * engine.slow / 1000, SimKind::Step, number, engine.incarnation);
	}

	void Preempt(SimEngine &engine)
	{
		size_t victim = 0;
		for (size_t i = 1; i < engine.running.size(); i++) {
			if (this->calls[engine.running[i]].priority <= this->calls[engine.running[victim]].priority) victim = i;
		}
		size_t number = engine.running[victim];
		engine.running.erase(engine.running.begin() + static_cast<long>(victim));
		engine.used -= this->calls[number].spec.prompt_tokens + this->calls[number].generated;
		engine.preemptions++;
		auto position = std::find_if(engine.waiting.begin(), engine.waiting.end(),
		                             [&](size_t w) { return this->calls[w].priority <= this->calls[number].priority; });
		engine.waiting.insert(position, number);
	}

	void Step(size_t number, size_t incarnation)
	{
		SimEngine &engine = this->engines[number];
		if (engine.incarnation != incarnation || engine.dead) return;
		engine.stepping = false;
		std::vector<size_t> done;
		std::vector<size_t> batch = engine.running;
		for (size_t id : batch) {
			SimCall &call = this->calls[id];
			call.generated++;
			engine.used++;
			this->CountToken(call);
			this->instances[call.instance]->OnToken(call.spec.id, this->Now());
			if (call.generated >= call.length) done.push_back(id);
		}
		for (size_t id : done) {
			SimCall &call = this->calls[id];
			std::erase(engine.running, id);
			engine.used -= call.spec.prompt_tokens + call.generated;
			call.over = true;
			this->CountServed(call);
		}
		for (size_t id : done) this->EndSend(id, SendOutcome::Complete);
		this->StartStep(number);
	}

	void CountToken(SimCall &call)
	{
		double gap = this->now + WIRE_SECONDS - call.last;
		size_t kind = static_cast<size_t>(call.spec.service_class);
		if (call.generated == 1) this->figures.first[kind].push_back(static_cast<float>(gap));
		if (call.generated > 1 && call.spec.service_class == ServiceClass::Stream)
			this->figures.intervals.push_back(static_cast<float>(gap));
		call.stalled += std::max(0.0, gap - STALL_SECONDS);
		call.last = this->now + WIRE_SECONDS;
	}

	void CountServed(const SimCall &call)
	{
		this->figures.stalls[static_cast<size_t>(call.spec.service_class)].push_back(static_cast<float>(call.stalled));
		bool small_stream = call.spec.account.value > 0 && call.spec.service_class == ServiceClass::Stream;
		if (small_stream) this->figures.small_streams.push_back(static_cast<float>(call.stalled));
		bool small = call.spec.account.value > 0 && call.spec.service_class == ServiceClass::Interactive;
		if (small) this->figures.small_stalls.push_back(static_cast<float>(call.stalled));
		this->figures.served[call.spec.account.value] += call.length;
		if (this->now <= this->workload.seconds) this->figures.useful_tokens += call.length;
	}

	void MakeReport(size_t number)
	{
		this->Push(this->now + this->workload.report_ms / 1000, SimKind::Report, number);
		SimEngine &engine = this->engines[number];
		if (engine.dead || this->reports_stopped) return;
		LoadReport report;
		report.sequence = ++engine.sequence;
		report.incarnation = std::to_string(engine.incarnation);
		report.capacity_tokens = static_cast<uint64_t>(this->workload.memory_tokens);
		report.used_tokens = static_cast<uint64_t>(engine.used);
		report.running = static_cast<uint32_t>(engine.running.size());
		report.waiting = static_cast<uint32_t>(engine.waiting.size());
		for (size_t id : engine.waiting) report.waiting_tokens += this->calls[id].spec.prompt_tokens + this->calls[id].generated;
		report.preemptions = engine.preemptions;
		report.prefixes.assign(engine.prefixes.begin(), engine.prefixes.end());
		this->reports.emplace_back(std::move(report), this->now);
		// Each instance polls on its own, so the same report reaches them at different times and ages.
		for (size_t i = 0; i < this->instances.size(); i++) {
			double phase = static_cast<double>(HashText("phase", number * 64 + i) % 1000) / 1000;
			double age = (this->workload.lag_ms + phase * this->workload.report_ms) / 1000;
			this->Push(this->now + age, SimKind::ReportIn, number * this->instances.size() + i, this->reports.size() - 1);
		}
	}

	void ReportIn(size_t which, size_t report)
	{
		size_t number = which / this->instances.size();
		size_t i = which % this->instances.size();
		bool cut = this->cut_hall < this->workload.halls &&
		           (number % this->workload.halls == this->cut_hall) != (i % this->workload.halls == this->cut_hall);
		LoadReport copy = this->reports[report].first;
		copy.age = FromSeconds(this->now - this->reports[report].second);
		if (!cut) this->ApplyDecisions(i, this->instances[i]->OnReport(TargetNumber{static_cast<uint32_t>(number)}, copy, this->Now()));
	}

	void Kill(size_t number)
	{
		SimEngine &engine = this->engines[number];
		std::vector<size_t> all(engine.running.begin(), engine.running.end());
		all.insert(all.end(), engine.waiting.begin(), engine.waiting.end());
		uint64_t preemptions = engine.preemptions;
		uint64_t incarnation = engine.incarnation + 1;
		engine = SimEngine{};
		engine.dead = true;
		engine.preemptions = preemptions;
		engine.incarnation = incarnation;
		for (size_t id : all) {
			bool delivered = this->calls[id].generated > 0;
			if (delivered) {
				this->figures.lost++;
				this->calls[id].over = true;
			}
			this->EndSend(id, delivered ? SendOutcome::LostAfterDelivery : SendOutcome::Lost);
		}
	}

	void ApplyDisturbance(const WorkloadEvent &event, bool begins)
	{
		if (event.kind == "burst") {
			this->burst_class = event.number;
			this->burst = begins ? event.factor : 1;
		}
		if (event.kind == "flood") this->flood = begins ? event.factor : 1;
		if (event.kind == "engine-slow") this->engines[event.number].slow = begins ? event.factor : 1;
		if (event.kind == "reports-stop") this->reports_stopped = begins;
		if (event.kind == "hall-cut") this->cut_hall = begins ? event.number : SIZE_MAX;
		if (event.kind == "engine-dies" && begins) this->Kill(event.number);
		if (event.kind == "engine-dies" && !begins) this->engines[event.number].dead = false;
	}

	const Workload &workload;                           ///< Workload to run.
	const Contender &contender;                         ///< Router and settings under test.
	pcg64 random;                                       ///< Random numbers of the calls.
	std::vector<SimEngine> engines;                     ///< Simulated engines.
	std::vector<std::unique_ptr<Dispatcher>> instances; ///< Dispatcher of each instance.
	std::deque<SimCall> calls;                          ///< All calls so far.
	std::deque<std::pair<LoadReport, double>> reports;  ///< All reports with their creation times.
	std::priority_queue<SimEvent> events;               ///< Future events.
	RunFigures figures;                                 ///< Measurements.
	double now = 0;                                     ///< Virtual time, in seconds.
	uint64_t order = 0;                                 ///< Number of events created.
	double rate = 1;                                    ///< Base rate of arrivals, in calls per second.
	double burst = 1, flood = 1;                        ///< Factors on the rate of a class and of the largest account.
	size_t burst_class = 0, cut_hall = SIZE_MAX;        ///< Class with a burst; hall that is cut off.
	bool reports_stopped = false;                       ///< Engines send no reports.
};

} // namespace

RunFigures RunWorkload(const Workload &workload, const Contender &contender, uint64_t seed)
{
	return Simulation(workload, contender, seed).Run();
}

} // namespace cottonspool
