/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_rate_limit.h Rate limit that a target advertises in its answers, and this instance's share of it. */

#pragma once

#include "decision/limit_leases.h"
#include "decision/rate_share.h"
#include "decision/target_signals.h"

namespace cottonspool {

/** Window in which a target counts requests against the rate limit that it advertises. */
constexpr Duration RATE_LIMIT_WINDOW = std::chrono::seconds(4);

/** Rate limit of one target: the requests per second that it accepts from all instances together, while its answers advertise it. */
class TargetRateLimit {
public:
	/**
	 * Handle an answer to a request that was sent at \a requested_at. Answers on several connections can arrive out of order, so the limit
	 * is raised or removed only if the request was sent after the latest advertisement, but lowered at once.
	 * @return Whether the limit has changed.
	 */
	bool OnAnswer(const TargetSignals &signals, TimePoint requested_at, TimePoint now);

	/** Set this instance's own share of the limit. */
	void SetShare(RateShare new_share)
	{
		this->share = new_share;
		this->gate.SetWindow(new_share.window);
	}

	/** @return This instance's own share, including what it has lent. */
	const RateShare &Share() const { return this->share; }

	/** @return The shares of the limit that this instance has lent and borrowed. */
	const LimitLeases &Leases() const { return this->leases; }

	/** @return Requests per window that this instance may send: its own share, less what it has lent, plus what it has borrowed. */
	uint32_t Allowance(TimePoint now) const
	{
		uint32_t lent = this->leases.Lent(now);
		return this->share.max_requests - std::min(this->share.max_requests, lent) + this->leases.Borrowed(now);
	}

	/**
	 * Lend a part of this instance's share.
	 * @param wanted Requests per window that \a borrower asks for.
	 * @param own Requests per window that this instance needs itself.
	 * @return Requests per window that are lent.
	 */
	uint32_t Lend(const std::string &borrower, uint32_t wanted, uint32_t own, TimePoint now)
	{
		LendableShare source{this->share.max_requests, this->gate.SentInWindow(now), own, this->gate.Window()};
		return this->active ? this->leases.Lend(borrower, wanted, source, now) : 0;
	}

	/** @return Whether this instance needs leases from other instances for a demand of \a demand requests per window. */
	bool WantsLeases(uint32_t demand, TimePoint now) const
	{
		return this->leases.Borrowed(now) > 0 || LimitLeases::NeedsMore(demand, this->Allowance(now));
	}

	/** @return The lease requests to send to \a owners, which have shares of the limit, for a demand of \a demand requests per window. */
	std::vector<LeaseRequest> BuildRequests(const std::vector<std::string> &owners, uint32_t demand, TimePoint now)
	{
		return this->leases.BuildRequests(owners, demand, this->Allowance(now), now);
	}

	/** Handle the answer of \a owner to lease request \a number, which grants \a granted requests per window. */
	void OnGranted(const std::string &owner, uint64_t number, uint32_t granted) { this->leases.OnGranted(owner, number, granted); }

	/** @return Whether the target advertises a limit. */
	bool IsActive() const { return this->active; }

	/** @return When the limit was last advertised. */
	TimePoint LastReportedAt() const { return this->reported_at; }

	/** @return The limit; only meaningful while one is advertised. */
	RateLimit Bound() const { return {this->per_second, RATE_LIMIT_WINDOW}; }

	/** @return Whether this instance may send a request at \a now. */
	bool MaySend(TimePoint now) const { return !this->active || this->gate.SentInWindow(now) < this->Allowance(now); }

	/** @return Earliest time at which this instance may send a request; max() if it has no share. */
	TimePoint FreeAt(TimePoint now) const { return this->active ? this->gate.FreeAt(this->Allowance(now), now) : now; }

	/** Count a request that this instance sends, also while no limit is advertised, as the window of a new limit reaches back. */
	void OnSent(TimePoint now) { this->gate.OnSent(now); }

private:
	RateShare share{0, RATE_LIMIT_WINDOW}; ///< This instance's own share of the limit.
	RateGate gate{RATE_LIMIT_WINDOW};      ///< Requests that this instance sent lately.
	LimitLeases leases;                    ///< Shares lent and borrowed.
	bool active = false;                   ///< Whether a limit is advertised.
	double per_second = 0;                 ///< The limit, in requests per second.
	TimePoint reported_at;                 ///< Time of the latest advertisement.
};

} // namespace cottonspool
