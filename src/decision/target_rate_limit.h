/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_rate_limit.h The limit that a target names with its answers, and this instance's share of it. */

#pragma once

#include "decision/limit_leases.h"
#include "decision/rate_share.h"
#include "decision/target_signals.h"

namespace cottonspool {

/** Span in which a target that names a limit counts what it gets. */
constexpr Duration RATE_LIMIT_WINDOW = std::chrono::seconds(4);

/** One target's limit: the requests a second that it takes from all instances together, for as long as its answers say so. */
class TargetRateLimit {
public:
	/**
	 * The target answered a request that was asked at \a asked. Answers on several connections overtake each other, so one that names no
	 * limit, or a higher one, counts only if it was asked after the limit was last heard; one that names a lower limit counts at once.
	 * @return Whether the limit has changed.
	 */
	bool OnAnswer(const TargetSignals &signals, TimePoint asked, TimePoint now);

	/** From now on this instance may send \a to_keep while a limit is named. */
	void SetShare(RateShare to_keep)
	{
		this->share = to_keep;
		this->gate.SetWindow(to_keep.window);
	}

	/** @return This instance's own share, of which it may have lent parts. */
	const RateShare &Share() const { return this->share; }

	/** @return Parts of the limit that this instance has lent and borrowed. */
	const LimitLeases &Leases() const { return this->leases; }

	/** @return What this instance may send in a window at \a now: its own share without what it has lent, and what it has borrowed. */
	uint32_t Allowance(TimePoint now) const
	{
		uint32_t lent = this->leases.Lent(now);
		return this->share.max_requests - std::min(this->share.max_requests, lent) + this->leases.Borrowed(now);
	}

	/** \a borrower wants \a wanted requests in a window; this instance itself wants \a own. @return What it gets. */
	uint32_t Lend(const std::string &borrower, uint32_t wanted, uint32_t own, TimePoint now)
	{
		LendableShare source{this->share.max_requests, this->gate.SentInWindow(now), own, this->gate.Window()};
		return this->named ? this->leases.Lend(borrower, wanted, source, now) : 0;
	}

	/** @return Whether this instance asks for parts of others' shares, if its callers could use \a demand requests in a window. */
	bool WantsLeases(uint32_t demand, TimePoint now) const
	{
		return this->leases.Borrowed(now) > 0 || LimitLeases::NeedsMore(demand, this->Allowance(now));
	}

	/** @return What this instance asks \a owners for, which hold the shares of the limit, if its callers could use \a demand in a window.
	 */
	std::vector<LeaseRequest> BuildRequests(const std::vector<std::string> &owners, uint32_t demand, TimePoint now)
	{
		return this->leases.BuildRequests(owners, demand, this->Allowance(now), now);
	}

	/** \a owner has answered ask \a number with \a granted. */
	void OnGranted(const std::string &owner, uint64_t number, uint32_t granted) { this->leases.OnGranted(owner, number, granted); }

	/** @return Whether the target names a limit. */
	bool IsActive() const { return this->named; }

	/** @return When it was last named. */
	TimePoint LastReportedAt() const { return this->heard; }

	/** @return What it bears; of use only while a limit is named. */
	RateLimit Bound() const { return {this->per_second, RATE_LIMIT_WINDOW}; }

	/** @return Whether this instance may send it a request at \a now. */
	bool MaySend(TimePoint now) const { return !this->named || this->gate.SentInWindow(now) < this->Allowance(now); }

	/** @return When this instance may send it a request at the earliest, unless the limit changes; max() if it has no share. */
	TimePoint FreeAt(TimePoint now) const { return this->named ? this->gate.FreeAt(this->Allowance(now), now) : now; }

	/** This instance sends it a request: what was sent shortly before a limit was named is part of the span as well. */
	void OnSent(TimePoint now) { this->gate.OnSent(now); }

private:
	RateShare share{0, RATE_LIMIT_WINDOW}; ///< This instance's own share.
	RateGate gate{RATE_LIMIT_WINDOW};      ///< What it has sent.
	LimitLeases leases;                    ///< Parts of shares lent and borrowed.
	bool named = false;                    ///< A limit is named.
	double per_second = 0;                 ///< Requests a second.
	TimePoint heard;                       ///< When it was last named.
};

} // namespace cottonspool
