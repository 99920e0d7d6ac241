/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file backup_choice.cpp Choice of the engine that keeps a backup of a run's KV cache. */

#include "decision/backup_choice.h"

namespace cottonspool {

static constexpr double DEFAULT_TOKEN_INTERVAL = 0.01; ///< Time between tokens assumed for a target without measurements, in seconds.

std::optional<TargetNumber> ChooseBackup(const CallSpec &call, TargetNumber holder, const TargetTable &targets, const BackupRules &rules,
                                         TimePoint now)
{
	if (!rules.use || !call.generated) return std::nullopt;
	const TargetState &source = targets.Get(holder);
	double rest = targets.ExpectedOutput(call);
	double interval = source.interval > 0 ? source.interval : DEFAULT_TOKEN_INTERVAL;
	if (FromSeconds(rest * interval) < rules.min_remaining) return std::nullopt;
	std::optional<TargetNumber> best;
	double best_score = 0;
	for (TargetNumber number : targets.ForModel(call.model)) {
		const TargetState &target = targets.Get(number);
		if (number == holder || !targets.IsEligible(target, call, now) || target.report.capacity_tokens == 0) continue;
		double copy = (call.prompt_tokens + rest) / static_cast<double>(target.report.capacity_tokens);
		double pressure = targets.Pressure(target, now) + copy;
		if (pressure > rules.max_pressure) continue;
		// A whole hall can become unreachable, so other halls are preferred, most of all the caller's preferred one.
		double score = pressure + (target.hall == source.hall ? rules.same_hall_penalty : 0);
		if (!call.halls.empty() && target.hall == call.halls.front().hall) score -= rules.same_hall_penalty / 2;
		if (best && score >= best_score) continue;
		best = number;
		best_score = score;
	}
	return best;
}

} // namespace cottonspool
