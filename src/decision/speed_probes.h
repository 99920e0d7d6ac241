/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file speed_probes.h Decides which targets are asked for their speed before they get calls. */

#pragma once

#include "decision/target_table.h"
#include <functional>

namespace cottonspool {

/** Limits on probes for the speed of targets. */
struct SpeedProbeLimits {
	size_t samples = 2;                                   ///< Samples at which a target is probed no more; one may lie in a slowdown.
	uint32_t attempts = 4;                                ///< Maximum number of probes for each target incarnation.
	Duration interval = std::chrono::milliseconds(700);   ///< Interval between probes of a target, longer than a slowdown.
	size_t max_per_s = 5;                                 ///< Maximum number of probes in a second, as targets count them.
	Duration read_check = std::chrono::milliseconds(500); ///< Interval for checking again whether another instance probes a target.
};

/** Decides which targets one instance probes for their speed. */
class SpeedProbes {
public:
	/** @return Whether this instance fetches the reports of the target, and thus probes it. */
	using ProbesTarget = std::function<bool(const TargetState &)>;

	explicit SpeedProbes(SpeedProbeLimits limits) : limits(limits) {}

	/**
	 * @param candidates Targets that may be probed.
	 * @param probes_target Tells which of them this instance probes.
	 * @return The targets to probe now; they count as probed. Those without any sample come first.
	 */
	std::vector<TargetNumber> Choose(const std::vector<TargetNumber> &candidates, const TargetTable &targets,
	                                 const ProbesTarget &probes_target, TimePoint now);

private:
	/** Probes of one target. */
	struct ProbeState {
		uint32_t attempts = 0; ///< Probes so far.
		TimePoint next_at;     ///< When the target is considered again.
	};

	/** @return Whether \a target needs a probe and may get one. */
	bool NeedsProbe(const TargetState &target, const TargetTable &targets, TimePoint now) const;

	SpeedProbeLimits limits;
	std::map<TargetNumber, ProbeState> states; ///< Probes by target.
	std::deque<TimePoint> recent;              ///< Times of the probes in the last second.
};

} // namespace cottonspool
