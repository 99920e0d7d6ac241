/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file refusal_guard.h Bounds the requests that a brittle target has to refuse, for the sum of all instances. */

#pragma once

#include "decision/rate_share.h"
#include "decision/target_signals.h"
#include <deque>

namespace cottonspool {

/** Span in which a brittle target counts the requests that it refuses. */
constexpr Duration REFUSAL_SPAN = std::chrono::seconds(1);

/**
 * A brittle target crashes if it has to refuse more than some number of requests within a second for want of room, and says so in its
 * answers. A request counts as open until the target has answered it or a second has passed. This instance may have as many open requests
 * there as its part of the free places (one at least) while the target reports that half of its places are free, as many as its share of
 * the refusals that the target bears while it reports more load, and one if it has reported nothing lately. After a refusal it sends
 * nothing for a while.
 */
class RefusalGuard {
public:
	/** Set the number of requests that the target processes at once. */
	void SetPlaces(uint32_t count) { this->places = count; }

	/** Set the number of instances that share the target, and this instance's \a share of the refusals that the target bears. */
	void SetShare(size_t instance_count, RateShare new_share);

	/** @return Whether the target says that it is brittle. */
	bool IsActive() const { return this->active; }

	/** @return Refusals in a second that the target bears from all instances together; only meaningful while it is brittle. */
	double Bound() const { return this->bound; }

	/**
	 * Handle an answer to a request that was sent at \a requested_at. A request that the target refused holds this instance back.
	 * @return Whether the bound has changed, or has begun or ended.
	 */
	bool OnAnswer(const TargetSignals &signals, TimePoint requested_at, TimePoint now);

	/** Handle a load report of the target. */
	void OnLoad(uint32_t running, uint32_t waiting, TimePoint now);

	/** Count a request that this instance sends, also while the target is not brittle. */
	void OnSent(TimePoint now);

	/** A request of this instance ended without an answer of the target. */
	void OnUnanswered();

	/** @return Whether this instance may send a request at \a now. */
	bool MaySend(TimePoint now) const { return !this->active || (now >= this->held_until && this->Open(now) < this->Allowance(now)); }

	/** @return Earliest time at which that may change. */
	TimePoint FreeAt(TimePoint now) const;

private:
	/** @return Requests of this instance that the target may still refuse. */
	uint32_t Open(TimePoint now) const;
	/** @return Open requests that this instance may have. */
	uint32_t Allowance(TimePoint now) const;

	bool active = false;              ///< The target says that it is brittle.
	double bound = 0;                 ///< Refusals in a second that it bears.
	TimePoint reported_at;            ///< When the request was sent whose answer said so last.
	RateShare share{0, REFUSAL_SPAN}; ///< This instance's share of the refusals.
	size_t instances = 1;             ///< Instances that share the target.
	uint32_t places = 0;              ///< Requests that it processes at once; 0 if unknown.
	uint32_t load = 0;                ///< Requests there according to the last report.
	TimePoint load_at;                ///< When that was reported.
	std::deque<TimePoint> open;       ///< When the open requests were sent.
	std::deque<TimePoint> refused;    ///< When requests were refused lately.
	TimePoint held_until;             ///< Until then nothing is sent, after a refusal.
};

} // namespace cottonspool
