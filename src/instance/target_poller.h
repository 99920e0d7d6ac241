/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_poller.h Asks targets for their load reports and learns from them who is ready and who leaves. */

#pragma once

#include "configuration/configuration_state.h"
#include "decision/dispatcher.h"
#include "http/http_client.h"
#include <set>

namespace cottonspool {

/** What the orders to targets need to know of an engine's last report. */
struct ReportedState {
	std::set<std::string> models; ///< Models it has loaded.
	std::string role;             ///< Its role, if it tells.
	std::string incarnation;      ///< Changes with each start.
};

/** Watches all targets that this instance uses. */
class TargetPoller {
public:
	/** A load report came; carries what the dispatcher decides on. */
	using ReportHandler = std::function<void(TargetNumber, const LoadReport &)>;

	TargetPoller(HttpClient &client, TargetTable &targets, NameTable<ModelNumber> &models, ReportHandler handler)
	    : client(client), targets(targets), models(models), handler(std::move(handler))
	{
	}

	/** The configuration has changed: take over its targets, at most \a max_per_model per model, chosen for \a instance. */
	void Configure(const ConfigurationState &configuration, const std::string &instance, const std::string &hall, size_t max_per_model);

	/** Ask every target whose next report is due. */
	void OnTick(TimePoint now, Duration period);

	/** @return The record of the target with this name, or null. */
	const TargetRecord *Record(TargetNumber target) const;

	/** @return The last reported state of engine \a name, or null. */
	const ReportedState *Reported(const std::string &name) const;

	/** @return Whether every target was asked for its load at least once. */
	bool AllPolledOnce() const;

	/** @return Reports taken in. */
	uint64_t Reports() const { return this->reports; }

	/** @return Targets watched. */
	size_t PolledTargets() const { return this->targets_by_name.size(); }

private:
	/** One watched target. */
	struct PolledTarget {
		TargetNumber number;          ///< Number in the table.
		TargetRecord record;          ///< What the configuration says.
		TimePoint next_poll;          ///< When the next report is to be asked for.
		bool request_pending = false; ///< A call is under way.
		bool polled_once = false;     ///< It was asked at least once, and answered or not.
		ReportedState reported;       ///< Last report.
	};

	void RequestReport(const std::string &name, PolledTarget &polled, Duration period);
	void OnReportBody(const std::string &name, const std::string &body);
	void ConfigureModels(const std::string &name, PolledTarget &polled);

	HttpClient &client;                                  ///< HTTP.
	TargetTable &targets;                                ///< Table of the dispatcher.
	NameTable<ModelNumber> &models;                      ///< Numbers of models and services.
	ReportHandler handler;                               ///< Gets the reports.
	std::map<std::string, PolledTarget> targets_by_name; ///< Watched targets by name.
	uint64_t reports = 0;                                ///< Reports taken in.
};

/** Read a load report. @return Nothing when \a body is none. */
std::optional<LoadReport> ParseLoadReport(const std::string &body, ReportedState *state);

/** @return The name under which a service's targets stand among the models. */
std::string ServiceModelName(const std::string &service);

} // namespace cottonspool
