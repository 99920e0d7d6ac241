/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file speed_simulation.cpp Simulation of instances that learn the speeds of short-lived targets. */

#include "tests/speed_simulation.h"
#include "core/hash_func.h"
#include <algorithm>

namespace cottonspool {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration TICK = milliseconds(25);
static constexpr double FAST = 0.55;                ///< Base factor of a quarter of the targets.
static constexpr double SLOW = 1.2;                 ///< Base factor of the others.
static constexpr double SLOWDOWN = 2.5;             ///< Factor of a slowdown.
static constexpr double SLOWDOWN_SHARE = 0.15;      ///< Share of the time that a target is slowed down.
static constexpr double SLOWDOWN_S = 0.6;           ///< Mean length of a slowdown, in seconds.
static constexpr double MIDDLE = 0.81;              ///< Factor below which a target counts as fast.
static constexpr Duration JUDGE_DELAY = seconds(2); ///< Time after the begin of the first stream of a target at which it is judged.

SpeedSimulation::SpeedSimulation(SpeedLayout layout, uint32_t seed) : layout(layout), random(seed)
{
	for (size_t i = 0; i < layout.instances; i++) this->instances.push_back(std::make_unique<Instance>());
	for (size_t i = 0; i < layout.targets; i++) this->StartTarget();
	this->next_restart = this->now + layout.restarts;
}

void SpeedSimulation::StartTarget()
{
	Target target;
	target.name = "e" + std::to_string(this->targets.size());
	target.hall = this->targets.size() % this->layout.halls;
	target.base = this->Uniform(0, 1) < 0.25 ? FAST : SLOW;
	target.born = this->now;
	target.dies_at = this->now + FromSeconds(Seconds(this->layout.life) * this->Uniform(0.5, 1.5));
	target.next_slow = this->now - FromSeconds(this->Uniform(0, SLOWDOWN_S));
	this->alive.push_back(this->targets.size());
	this->targets.push_back(target);
	this->counts.started++;
}

double SpeedSimulation::FactorNow(Target &target)
{
	double gap_s = SLOWDOWN_S * (1 - SLOWDOWN_SHARE) / SLOWDOWN_SHARE;
	while (this->now >= target.next_slow) {
		bool first = target.slow_until == TimePoint{};
		// A new target is in the middle of a slowdown as often as an old one.
		bool begins_slow = !first || this->Uniform(0, 1) < SLOWDOWN_SHARE;
		if (begins_slow) target.slow_until = target.next_slow + FromSeconds(this->Uniform(0.5, 1.5) * SLOWDOWN_S);
		if (!begins_slow) target.slow_until = target.next_slow;
		target.next_slow = target.slow_until + FromSeconds(std::exponential_distribution<double>(1 / gap_s)(this->random));
	}
	return this->now < target.slow_until ? target.base * SLOWDOWN : target.base;
}

bool SpeedSimulation::IsListed(size_t instance, const Target &target) const
{
	// Rows of the store arrive at each instance some 50 to 300 ms after the change.
	Duration delay = milliseconds(50 + HashText(target.name, instance) % 250);
	bool just_started = this->now < this->instances[instance]->started + milliseconds(300);
	return !just_started && this->now >= target.born + delay && this->now < target.dies_at + delay;
}

void SpeedSimulation::UpdateLists()
{
	for (size_t number : this->alive) {
		const Target &target = this->targets[number];
		for (size_t i = 0; i < this->instances.size(); i++) {
			TargetTable &table = this->instances[i]->targets;
			std::optional<TargetNumber> known = table.Find(target.name);
			bool configured = known && table.Get(*known).restrictions.known;
			bool listed = this->IsListed(i, target);
			if (listed && !configured) table.Configure(target.name, "hall" + std::to_string(target.hall), {ModelNumber{1}});
			if (!listed && configured) table.Forget(*known);
		}
	}
	size_t ended = std::erase_if(this->alive, [&](size_t number) { return this->now > this->targets[number].dies_at + seconds(1); });
	for (size_t i = 0; i < ended; i++) this->StartTarget();
}

void SpeedSimulation::StartStreams()
{
	double mean = this->layout.streams_per_s * Seconds(TICK);
	int count = std::poisson_distribution<int>(mean)(this->random);
	for (int i = 0; i < count; i++) {
		size_t number = this->alive[this->Index(this->alive.size())];
		size_t instance = this->Index(this->instances.size());
		Target &target = this->targets[number];
		if (!this->IsListed(instance, target) || this->now >= target.dies_at) continue;
		if (!this->IsConnected(instance % this->layout.halls, target.hall)) continue;
		if (target.first_stream_at == TimePoint{}) target.first_stream_at = this->now;
		this->events.emplace(this->now + this->Between(50, 700), Event{instance, number, std::nullopt});
	}
}

void SpeedSimulation::Probe()
{
	size_t in_hall = std::max<size_t>(1, this->instances.size() / this->layout.halls);
	for (size_t i = 0; i < this->instances.size(); i++) {
		Instance &instance = *this->instances[i];
		std::vector<TargetNumber> candidates;
		for (size_t number : this->alive) {
			std::optional<TargetNumber> known = instance.targets.Find(this->targets[number].name);
			bool own_hall = this->targets[number].hall == i % this->layout.halls;
			if (known && own_hall && instance.targets.Get(*known).restrictions.known) candidates.push_back(*known);
		}
		auto reads = [&](const TargetState &target) { return HashText(target.name) % in_hall == i / this->layout.halls; };
		for (TargetNumber chosen : instance.probes.Choose(candidates, instance.targets, reads, this->now)) {
			auto number = static_cast<size_t>(std::stoul(instance.targets.Get(chosen).name.substr(1)));
			this->counts.most_probes = std::max(this->counts.most_probes, ++this->targets[number].probes);
			this->counts.probes++;
			instance.probe_times.push_back(this->now);
			auto recent = std::count_if(instance.probe_times.begin(), instance.probe_times.end(),
			                            [&](TimePoint at) { return this->now - at < seconds(1); });
			this->counts.most_per_s = std::max(this->counts.most_per_s, static_cast<size_t>(recent));
			if (this->now < this->targets[number].dies_at)
				this->events.emplace(this->now + this->Between(4, 40), Event{i, number, std::nullopt});
		}
	}
}

void SpeedSimulation::Deliver()
{
	while (!this->events.empty() && this->events.begin()->first <= this->now) {
		Event event = std::move(this->events.begin()->second);
		this->events.erase(this->events.begin());
		Instance &instance = *this->instances[event.instance];
		if (event.update) {
			instance.targets.OnPeerTimeFactor(event.update->target, *event.update->time_factor, this->now - event.update->factor_age,
			                                  this->now);
			continue;
		}
		Target &target = this->targets[event.target];
		std::optional<TargetNumber> number = instance.targets.Find(target.name);
		if (!number || this->now >= target.dies_at) continue;
		instance.targets.OnTimeFactor(*number, this->FactorNow(target), this->now);
		if (!this->layout.share || !instance.targets.TakeFactorToPublish(*number, this->now)) continue;
		instance.pending.Add({.target = target.name, .time_factor = instance.targets.Get(*number).speed.Factor(this->now)}, this->now);
	}
}

void SpeedSimulation::Flush()
{
	for (size_t from = 0; from < this->instances.size(); from++) {
		for (const TargetSignalUpdate &update : this->instances[from]->pending.Take(this->now)) {
			this->counts.updates++;
			for (size_t to = 0; to < this->instances.size(); to++) {
				// Updates reach the other halls by way of two more instances.
				bool same_hall = from % this->layout.halls == to % this->layout.halls;
				if (from != to && this->IsConnected(from % this->layout.halls, to % this->layout.halls))
					this->events.emplace(this->now + (same_hall ? this->Between(1, 40) : this->Between(5, 120)), Event{to, 0, update});
			}
		}
	}
}

void SpeedSimulation::Judge()
{
	for (size_t number : this->alive) {
		Target &target = this->targets[number];
		if (target.judged || target.first_stream_at == TimePoint{} || this->now < target.first_stream_at + JUDGE_DELAY) continue;
		target.judged = true;
		if (this->now >= target.dies_at) continue;
		size_t right = 0;
		size_t reachable = 0;
		for (size_t i = 0; i < this->instances.size(); i++) {
			const std::unique_ptr<Instance> &instance = this->instances[i];
			if (!this->IsConnected(i % this->layout.halls, target.hall)) continue;
			reachable++;
			std::optional<TargetNumber> known = instance->targets.Find(target.name);
			std::optional<double> factor = known ? instance->targets.Get(*known).speed.Factor(this->now) : std::nullopt;
			bool correct = factor && (*factor < MIDDLE) == (target.base < MIDDLE);
			if (correct) right++;
			if (factor && !correct) this->counts.wrong++;
		}
		this->counts.judged++;
		this->counts.pairs += reachable;
		this->counts.right += right;
		if (right * 10 >= reachable * 9) this->counts.well_known++;
	}
}

void SpeedSimulation::RestartInstance()
{
	size_t restarted = this->Index(this->instances.size());
	size_t peer = (restarted + 1) % this->instances.size();
	this->instances[restarted] = std::make_unique<Instance>();
	this->instances[restarted]->started = this->now;
	// The peer sends what it knows as soon as the link is open, before the instance has read the targets.
	const TargetTable &known = this->instances[peer]->targets;
	for (uint32_t i = 0; i < known.Size(); i++) {
		const TargetState &target = known.Get(TargetNumber{i});
		std::optional<double> factor = target.speed.Factor(this->now);
		if (!factor || !target.restrictions.known) continue;
		TargetSignalUpdate update{
		        .target = target.name, .time_factor = factor, .factor_age = this->now - target.speed.SampledAt(this->now)};
		this->events.emplace(this->now + milliseconds(50), Event{restarted, 0, update});
	}
}

SpeedCounts SpeedSimulation::Run()
{
	for (uint32_t step = 0; step < this->layout.steps; step++) {
		this->now += TICK;
		this->is_cut = this->layout.cut_off && step >= this->layout.steps / 2;
		if (step % 2 == 0) this->UpdateLists();
		this->StartStreams();
		if (this->layout.probe && step % 4 == 0) this->Probe();
		this->Deliver();
		this->Flush();
		this->Judge();
		if (this->layout.restarts == Duration(0) || this->now < this->next_restart) continue;
		this->next_restart = this->now + this->layout.restarts;
		this->RestartInstance();
	}
	return this->counts;
}

} // namespace cottonspool
