/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_poller.h Polling of the targets' load reports. */

#pragma once

#include "configuration/configuration_state.h"
#include "decision/dispatcher.h"
#include "http/http_client.h"
#include <set>

namespace cottonspool {

/** State of an engine from its last report, as far as orders need it. */
struct ReportedState {
	std::set<std::string> models; ///< Loaded models.
	std::string role;             ///< Role; empty if not reported.
	std::string incarnation;      ///< Incarnation; changes with each start of the engine.
};

/** Polls the load reports of all targets that this instance uses. */
class TargetPoller {
public:
	/** Receives each load report. */
	using ReportHandler = std::function<void(TargetNumber, const LoadReport &)>;

	TargetPoller(HttpClient &client, TargetTable &targets, NameTable<ModelNumber> &models, ReportHandler handler)
	    : client(client), targets(targets), models(models), handler(std::move(handler))
	{
	}

	/** Apply a new configuration. Of more than \a max_per_model targets per model, the name of \a instance selects a stable subset. */
	void Configure(const ConfigurationState &configuration, const std::string &instance, const std::string &hall, size_t max_per_model);

	/** Request the reports that are due. */
	void OnTick(TimePoint now, Duration period);

	/** @return The configuration record of \a target, or null if this instance does not use it. */
	const TargetRecord *Record(TargetNumber target) const;

	/** @return The last reported state of engine \a name, or null if this instance does not use it. */
	const ReportedState *Reported(const std::string &name) const;

	/** @return Whether each target has answered its first poll, or failed to. */
	bool AllPolledOnce() const;

	/** @return Number of valid reports received. */
	uint64_t Reports() const { return this->reports; }

	/** @return Number of polled targets. */
	size_t PolledTargets() const { return this->targets_by_name.size(); }

private:
	/** One polled target. */
	struct PolledTarget {
		TargetNumber number;          ///< Number in the target table.
		TargetRecord record;          ///< Configuration record.
		TimePoint next_poll;          ///< Time of the next poll.
		bool request_pending = false; ///< A poll is in progress.
		bool polled_once = false;     ///< The first poll has ended, with or without an answer.
		ReportedState reported;       ///< State from the last report.
	};

	void RequestReport(const std::string &name, PolledTarget &polled, Duration period);
	void OnReportBody(const std::string &name, const std::string &body);
	/** Update the models that a target serves in the target table; for an engine only those it has loaded. */
	void ConfigureModels(const std::string &name, PolledTarget &polled);

	HttpClient &client;                                  ///< Client for the polls.
	TargetTable &targets;                                ///< Target table of the dispatcher.
	NameTable<ModelNumber> &models;                      ///< Numbers of models and services.
	ReportHandler handler;                               ///< Receives the reports.
	std::map<std::string, PolledTarget> targets_by_name; ///< Polled targets by name.
	uint64_t reports = 0;                                ///< Valid reports received.
};

/** Parse a load report. @return Nothing if \a body is malformed. */
std::optional<LoadReport> ParseLoadReport(const std::string &body, ReportedState *state);

/** @return The model name that stands for \a service, as services and models share one table. */
std::string ServiceModelName(const std::string &service);

} // namespace cottonspool
