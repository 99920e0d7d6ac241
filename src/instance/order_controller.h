/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file order_controller.h Orders with fencing tokens to the engines of the local hall, sent by the holder of the hall's lease. */

#pragma once

#include "instance/target_poller.h"
#include "platform/platform_base.h"

namespace cottonspool {

/** Counters of orders. */
struct OrderCounters {
	uint64_t sent = 0;     ///< Orders sent.
	uint64_t refused = 0;  ///< Orders that an engine rejected because of an older fencing token.
	uint64_t withheld = 0; ///< Orders not sent because the lease had expired.
};

/** Competes for the hall's lease. While it holds the lease, orders each engine to the models and role that the configuration names. */
class OrderController {
public:
	OrderController(HttpClient &client, Platform &platform, TargetPoller &poller, std::string hall, const std::string &holder,
	                Duration lease_duration)
	    : client(client), platform(platform), poller(poller), hall(std::move(hall)), lease(holder, lease_duration),
	      lease_duration(lease_duration)
	{
	}

	/** Acquire or renew the lease, and send orders that are due. @param nonce Must differ with each call. */
	void OnTick(const ConfigurationState &configuration, uint64_t nonce, TimePoint now);

	/** Release the lease when the instance stops. */
	void Resign() { this->lease.Resign(); }

	/** @return The state of the lease. */
	const Lease &CurrentLease() const { return this->lease; }

	/** @return The counters since the start. */
	const OrderCounters &Counters() const { return this->counters; }

private:
	/** Read or write the lease's row if that is due. */
	void AdvanceLease(uint64_t nonce, TimePoint now);
	void WriteLease(uint64_t nonce);
	/** Order an engine into its configured state, unless it is there or an order is in progress. */
	void SendOrderIfDue(const std::string &name, const TargetRecord &record, TimePoint now);
	std::string RowKey() const { return "lease/orders/" + this->hall; }

	static constexpr Duration ORDER_TIMEOUT = std::chrono::seconds(2); ///< Timeout of one order, and least time before it is repeated.
	static constexpr size_t MAX_ORDERS = 4;                            ///< Most concurrent orders, as each may load model weights.

	HttpClient &client;                          ///< Client that sends the orders.
	Platform &platform;                          ///< Access to the table.
	TargetPoller &poller;                        ///< Source of the engines' reported states.
	std::string hall;                            ///< Local hall.
	Lease lease;                                 ///< Lease of the hall.
	Duration lease_duration;                     ///< Duration of the lease.
	bool lease_request_pending = false;          ///< A read or write of the lease's row is in progress.
	bool was_held = false;                       ///< Whether it was held at the last tick, to log transitions.
	std::map<std::string, TimePoint> ordered_at; ///< Time of the last order to each engine.
	size_t orders_in_flight = 0;                 ///< Orders without an answer yet.
	OrderCounters counters;                      ///< Counters.
};

} // namespace cottonspool
