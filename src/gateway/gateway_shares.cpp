/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_shares.cpp Shares of client accounts: the view of the other instances, and logs. */

#include "gateway/gateway.h"
#include "metrics/log.h"

namespace cottonspool {

std::optional<std::string> Gateway::SharedAccountOf(const RelayRequest &request) const
{
	if (!this->limits.dispatch.shares.use || !this->routes.Configuration().has_accounts) return std::nullopt;
	return request.account;
}

void Gateway::UpdateShareView()
{
	// Before the list of instances is known there are no peers that could be missing.
	this->dispatcher.SetShareView(this->peers.Instances() > 0 && this->peers.HearsMost());
}

void Gateway::LogShareChanges()
{
	for (const ShareChange &change : this->dispatcher.TakeShareChanges()) {
		Log(LogLevel::Info, "account-limited",
		    {{"pool", this->pools.Name(change.pool)},
		     {"account", this->accounts.Name(change.account)},
		     {"tokens", FormatNumber(change.held)},
		     {"level", FormatNumber(change.share)},
		     {"state", change.above ? "above" : "below"}});
	}
}

} // namespace cottonspool
