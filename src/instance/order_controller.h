/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file order_controller.h Fenced orders to the engines of the own hall, given by the holder of the hall's lease. */

#pragma once

#include "instance/target_poller.h"
#include "platform/platform_base.h"

namespace cottonspool {

/** Counters of orders. */
struct OrderCounters {
	uint64_t sent = 0;     ///< Orders sent.
	uint64_t refused = 0;  ///< Orders refused for an old fence.
	uint64_t withheld = 0; ///< Orders not sent because the lease had run out.
};

/** Holds or seeks the lease, and orders each engine into the state that the configuration wants. */
class OrderController {
public:
	OrderController(HttpClient &client, Platform &platform, TargetPoller &poller, std::string hall, const std::string &holder,
	                Duration lease_duration)
	    : client(client), platform(platform), poller(poller), hall(std::move(hall)), lease(holder, lease_duration),
	      lease_duration(lease_duration)
	{
	}

	/** Renew or seek the lease, and give orders that are due. \a nonce differs with each call. */
	void OnTick(const ConfigurationState &configuration, uint64_t nonce, TimePoint now);

	/** Give the lease up when stopping. */
	void Resign() { this->lease.Resign(); }

	/** @return The lease. */
	const Lease &CurrentLease() const { return this->lease; }

	/** @return Counters since the start. */
	const OrderCounters &Counters() const { return this->counters; }

private:
	void AdvanceLease(uint64_t nonce, TimePoint now);
	void WriteLease(uint64_t nonce);
	void SendOrderIfDue(const std::string &name, const TargetRecord &record, TimePoint now);
	std::string RowKey() const { return "lease/orders/" + this->hall; }

	static constexpr Duration ORDER_TIMEOUT = std::chrono::seconds(2); ///< Longest time of one order, and pause before it is repeated.
	static constexpr size_t MAX_ORDERS = 4;                            ///< Most orders under way: each may load weights.

	HttpClient &client;                          ///< HTTP.
	Platform &platform;                          ///< Table.
	TargetPoller &poller;                        ///< Reported states.
	std::string hall;                            ///< Own hall.
	Lease lease;                                 ///< Lease.
	Duration lease_duration;                     ///< Length of the lease.
	bool lease_request_pending = false;          ///< A call about the lease's row is under way.
	bool was_held = false;                       ///< Held at the last tick, for the log.
	std::map<std::string, TimePoint> ordered_at; ///< When each engine was last ordered.
	size_t orders_in_flight = 0;                 ///< Orders under way.
	OrderCounters counters;                      ///< Counters.
};

} // namespace cottonspool
