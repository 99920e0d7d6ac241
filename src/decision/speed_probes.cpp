/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file speed_probes.cpp Decides which targets are asked for their speed before they get calls. */

#include "decision/speed_probes.h"
#include <algorithm>

namespace cottonspool {

bool SpeedProbes::NeedsProbe(const TargetState &target, const TargetTable &targets, TimePoint now) const
{
	if (!targets.StatesSpeeds(target) || target.speed.Samples(now) >= this->limits.samples) return false;
	const TargetRestrictions &restrictions = target.restrictions;
	bool usable = restrictions.known && !restrictions.draining && !restrictions.evacuated;
	bool ejected = now < restrictions.ejected_until || restrictions.probing;
	return usable && !ejected && now >= restrictions.paused_until && !restrictions.limit.IsActive();
}

std::vector<TargetNumber> SpeedProbes::Choose(const std::vector<TargetNumber> &candidates, const TargetTable &targets,
                                              const ProbesTarget &probes_target, TimePoint now)
{
	std::erase_if(this->states, [&](const auto &each) { return !targets.Get(each.first).restrictions.known; });
	while (!this->recent.empty() && now - this->recent.front() >= std::chrono::seconds(1)) this->recent.pop_front();
	std::vector<TargetNumber> needed;
	for (TargetNumber number : candidates) {
		if (!this->NeedsProbe(targets.Get(number), targets, now)) continue;
		const ProbeState &state = this->states[number];
		if (state.attempts < this->limits.attempts && now >= state.next_at) needed.push_back(number);
	}
	std::stable_sort(needed.begin(), needed.end(),
	                 [&](TargetNumber a, TargetNumber b) { return targets.Get(a).speed.Samples(now) < targets.Get(b).speed.Samples(now); });
	std::vector<TargetNumber> chosen;
	for (TargetNumber number : needed) {
		if (this->recent.size() >= this->limits.max_per_s) break;
		ProbeState &state = this->states[number];
		if (!probes_target(targets.Get(number))) {
			state.next_at = now + this->limits.read_check;
			continue;
		}
		state.attempts++;
		state.next_at = now + this->limits.interval;
		this->recent.push_back(now);
		chosen.push_back(number);
	}
	return chosen;
}

} // namespace cottonspool
