/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file copy_order.h Order in which the runs of a draining engine are copied over its link. */

#pragma once

#include "core/id_type.h"
#include "decision/serving_type.h"
#include <span>

namespace cottonspool {

/** A run at a draining engine. */
struct CopyCandidate {
	CallId id;
	double tokens = 0;     ///< Memory that it holds, in tokens.
	bool has_event = true; ///< Whether it has produced an event; before, the engine has nothing to copy.
	Duration remaining{0}; ///< Expected time until it finishes by itself.
};

/** Rules for the order of copies. */
struct CopyOrderRules {
	Duration min_remaining{0};         ///< Runs that finish sooner are not copied.
	std::optional<Duration> time_left; ///< Time until the engine shuts down, if known.
	bool rescue_order = false;         ///< Copy first what can still be saved; otherwise only the size counts.
};

/**
 * @return Time until the runs of \a candidates that go before the run \a own have been copied. Runs that can be saved go first, the
 *         smallest of them first, as this order saves the most runs until the common shutdown. Runs that probably finish before the
 *         shutdown follow, then those whose copy takes longer than the time left.
 */
Duration CopyDelay(CallId own, std::span<const CopyCandidate> candidates, const EnginePool &pool, const CopyOrderRules &rules);

} // namespace cottonspool
