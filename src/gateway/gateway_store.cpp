/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_store.cpp The tables of the store that a gateway follows, and the use of the configuration. */

#include "gateway/gateway.h"
#include "metrics/log.h"
#include "platform/wire_configuration.h"

namespace cottonspool {

void Gateway::WatchStore()
{
	this->FollowConfiguration();
	this->FollowTargets();
	this->FollowInstances();
	TableWatch &crash_watch = this->crash_records.Watch();
	this->LogStoreState(crash_watch, "ends", [this](TimePoint) { this->crash_records.OnStoreRestored(); });
	this->crash_records.rewrites_first = [this](const CrashRecord &crash) { return this->peers.ReadsReportsOf(CrashKey(crash)); };
	this->crash_records.is_in_charge = [this](const std::string &key) { return this->peers.ReadsReportsOf(key); };
	this->crash_records.on_cleared = [this](const RequestFeature &feature, const std::vector<CrashRecord> &crashes) {
		this->OnFeatureCleared(feature, crashes);
	};
	this->crash_records.on_harmful = [this](const FeatureList &features, bool removed) { this->OnHarmfulReported(features, removed); };
	this->peers.Share(this->configuration_watch);
	this->peers.Share(this->target_watch);
	this->peers.ShareWith(crash_watch, this->target_watch);
	this->configuration_watch.SetRecoveryProbe(this->target_watch);
	this->peers.SetRecoveryProbe(this->target_watch);
	this->peers.ShareDivision(this->division, TARGET_TABLE);
	this->peers.on_listed = [this](TimePoint at) { this->OnInstancesListed(at); };
}

void Gateway::StartTables(TimePoint now)
{
	if (this->tables_started) return;
	TableSource source = this->peers.ChooseTableSource(now);
	if (source == TableSource::Undecided) return;
	this->tables_started = true;
	this->cells = this->peers.Cells();
	for (TableWatch *watch : {&this->configuration_watch, &this->target_watch}) {
		Duration wait = source == TableSource::FromPeers ? this->peers.TableTimeout() : Duration(0);
		Log(LogLevel::Info, "table-begun",
		    {{"table", watch->Table()},
		     {"ask", source == TableSource::FromPeers ? "yes" : "no"},
		     {"read_in_ms", FormatMilliseconds(wait)}});
		if (wait > Duration(0)) {
			watch->StartFromPeers(now + wait);
		} else {
			watch->Start(now);
		}
	}
	// At the same time, as an instance that starts among others receives crash records along with its first updates of the targets.
	this->crash_records.Watch().Start(now);
}

void Gateway::OnInstancesListed(TimePoint now)
{
	this->StartTables(now);
	if (!this->tables_started || this->cells == this->peers.Cells()) return;
	this->cells = this->peers.Cells();
	this->sharers.clear();
	this->target_watch.RefreshSnapshot(now + this->peers.TableTimeout());
}

void Gateway::SelectTargets(std::vector<StoredRow> &rows, bool is_snapshot)
{
	uint32_t cell_count = this->peers.Cells();
	if (cell_count == 1 && this->division.Shards().empty()) return;
	std::vector<TargetRow> targets;
	for (const StoredRow &row : rows) {
		Result<TargetRow> target = DecodeTargetRow(row);
		targets.push_back(target ? std::move(target.value()) : TargetRow{row.key, std::nullopt});
	}
	if (is_snapshot) this->division.Divide(targets, cell_count);
	size_t kept = 0;
	for (size_t i = 0; i < rows.size(); i++) {
		// Removed and unreadable rows name no pool, so all cells keep them: they may belong to a known target.
		bool own = !targets[i].target || this->division.IsOwn(*targets[i].target);
		if (own) std::swap(rows[kept++], rows[i]);
	}
	if (is_snapshot)
		Log(LogLevel::Info, "targets-divided",
		    {{"cells", std::to_string(cell_count)}, {"listed", std::to_string(rows.size())}, {"own", std::to_string(kept)}});
	rows.resize(kept);
}

void Gateway::FollowConfiguration()
{
	TableWatch &watch = this->configuration_watch;
	this->LogStoreState(watch, "configuration", [this](TimePoint at) { this->placement.OnStoreRestored(at); });
	watch.on_snapshot = [this](const std::vector<StoredRow> &rows, TimePoint at) { this->OnOperatorRows(rows, true, at); };
	watch.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint at) { this->OnOperatorRows(rows, false, at); };
}

void Gateway::FollowTargets()
{
	TableWatch &watch = this->target_watch;
	this->LogStoreState(watch, "targets", [this](TimePoint at) { this->registry.OnStoreRestored(at); });
	watch.on_reconnected = [this, log = watch.on_reconnected](Duration away, TimePoint at) {
		log(away, at);
		this->registry.OnReadsResumed(this->target_watch.LastUpdateAge(), at);
	};
	this->registry.on_kept = [this](const KeptTarget &kept) { this->OnTargetKept(kept); };
	watch.filter_rows = [this](std::vector<StoredRow> &rows, bool is_snapshot) { this->SelectTargets(rows, is_snapshot); };
	watch.on_snapshot = [this](const std::vector<StoredRow> &rows, TimePoint at) { this->OnTargetRows(rows, true, at); };
	watch.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint at) { this->OnTargetRows(rows, false, at); };
}

void Gateway::FollowInstances()
{
	this->LogStoreState(this->peers.Watch(), "instances", [this](TimePoint at) { this->peers.OnStoreRestored(at); });
	this->peers.make_hall_load = [this](TimePoint at) { return this->hall_load.BuildMessage(at); };
	this->peers.known_signals = [this](TimePoint at) { return this->KnownSignals(at); };
	this->peers.on_signals = [this](const TargetSignalUpdate &update) { this->OnPeerSignals(update); };
	this->peers.on_lease_request = [this](const LeaseRequestMessage &request) { return this->OnLeaseRequest(request); };
	this->peers.on_lease_grant = [this](const LeaseGrantMessage &grant) { this->OnLeaseGrant(grant); };
	this->peers.on_hall_load = [this](const HallLoadMessage &message) { this->OnHallLoad(message); };
}

void Gateway::LogStoreState(TableWatch &watch, const char *table, std::function<void(TimePoint)> on_store_restored)
{
	// The versions in these lines distinguish a store that was restored from a backup from one that lags.
	watch.on_unavailable = [&watch, table](const RowsAnswer &answer, TimePoint) {
		Log(LogLevel::Warning, "store-lost",
		    {{"table", table},
		     {"failure", StoreFailureName(answer.failure)},
		     {"cause", answer.cause},
		     {"known", FormatVersion(watch.Version())}});
	};
	watch.on_reconnected = [&watch, table](Duration away, TimePoint) {
		Log(LogLevel::Info, "store-regained",
		    {{"table", table},
		     {"away_ms", FormatMilliseconds(away)},
		     {"known", FormatVersion(watch.Version())},
		     {"last_change", FormatVersion(watch.RowsVersion())}});
	};
	watch.on_stale_snapshot = [&watch, table](StoreVersion read) {
		Log(LogLevel::Warning, "store-older", {{"table", table}, {"known", FormatVersion(watch.Version())}, {"read", FormatVersion(read)}});
	};
	watch.on_store_restored = [this, table, then = std::move(on_store_restored)](const StoreEpochChange &change, TimePoint at) {
		this->metrics.Count("cottonspool_store_changes_total{table=\"" + std::string(table) + "\"}");
		Log(LogLevel::Warning, "store-other",
		    {{"table", table},
		     {"known", FormatVersion(change.known)},
		     {"read", FormatVersion(change.read)},
		     {"source", change.from_peer ? "peer" : "store"}});
		then(at);
	};
}

void Gateway::OnOperatorRows(const std::vector<StoredRow> &rows, bool is_snapshot, TimePoint now)
{
	this->OnEvacuationRows(rows, is_snapshot, now);
	this->OnConfigurationRows(rows);
}

void Gateway::OnConfigurationRows(const std::vector<StoredRow> &rows)
{
	// Several versions may arrive at once; only the newest is used.
	const StoredRow *newest = nullptr;
	for (const StoredRow &row : rows) {
		if (!IsConfigurationKey(row.key) || row.deleted) continue;
		if (newest == nullptr || row.version >= newest->version) newest = &row;
	}
	if (newest == nullptr) return;
	Result<ServingConfiguration> decoded = DecodeConfiguration(newest->value);
	if (!decoded) return Log(LogLevel::Error, "configuration-unreadable", {{"error", FormatError(decoded.error())}});
	this->ApplyConfiguration(std::move(decoded.value()));
}

void Gateway::ApplyConfiguration(ServingConfiguration configuration)
{
	uint64_t before = this->routes.Configuration().version;
	uint64_t version = configuration.version;
	if (!this->routes.Apply(std::move(configuration))) {
		return Log(LogLevel::Info, "configuration-older", {{"in_force", std::to_string(before)}, {"seen", std::to_string(version)}});
	}
	const ServingConfiguration &active = this->routes.Configuration();
	this->front.limits.max_head_bytes = active.limits.max_head_bytes;
	this->front.limits.max_body_bytes = active.limits.max_body_bytes;
	this->front.limits.head_timeout = active.limits.head_timeout;
	this->front.limits.idle_timeout = active.limits.idle_timeout;
	this->forward_front.limits = this->front.limits;
	Log(LogLevel::Info, "configuration",
	    {{"version", std::to_string(version)},
	     {"before", std::to_string(before)},
	     {"routes", std::to_string(active.routes.size())},
	     {"accounts", std::to_string(active.accounts.size())}});
	this->RefreshTargets();
	this->RefreshHalls(MonotonicNow());
}

} // namespace cottonspool
