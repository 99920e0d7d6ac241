/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_registry.h Lifecycle of the targets in the target list: usable, draining, terminated. */

#pragma once

#include "decision/serving_type.h"
#include "decision/update_age_type.h"
#include <functional>
#include <map>

namespace cottonspool {

/** State change of a target. */
enum class TargetChange : uint8_t {
	Usable,     ///< The target is new, has changed or is available again.
	Draining,   ///< The target gets no new requests; its runs may finish or migrate.
	Terminated, ///< The target has terminated; its runs have failed.
};

/** One change of the registry. */
struct TargetEvent {
	TargetChange change = TargetChange::Usable;
	ListedTarget target;     ///< The target as last listed.
	const char *source = ""; ///< Origin of the information, for logs.
	/** Unless it is usable: earliest time at which the store may have acknowledged that the target leaves. */
	TimePoint acknowledged_after;
};

/** A target without a row that may be live. */
struct KeptTarget {
	ListedTarget target;     ///< The target as last listed.
	const char *source = ""; ///< Origin of the information that it has no row.
	UpdateAge age;           ///< How old the removal of its row may be.
	TimePoint usable_until;  ///< Until then it stays usable without a row.
};

/** One row of the target list, or the removal of a row. */
struct TargetRow {
	std::string id;                     ///< Id of the target.
	std::optional<ListedTarget> target; ///< Content of the row; nothing if it was removed.
};

/** Parameters of the registry. */
struct RegistryLimits {
	Duration expiry_grace = std::chrono::seconds(2); ///< Time after a store outage for which targets with an expired row remain usable.
	/** Time from the acknowledgement that a target leaves after which no request may reach it; the target may have ended then. */
	Duration drain_bound = std::chrono::seconds(5);
	/** Time before the end of that time at which the last request is sent: it has to connect, and targets are scanned only now and then. */
	Duration send_margin = std::chrono::milliseconds(300);
	/** Shortest time without a successful read in which rows of live targets can expire: they do after three missed heartbeats. */
	Duration min_expiry_gap = std::chrono::milliseconds(2400);
	Duration departed_retention = std::chrono::minutes(2); ///< Time for which terminated targets and those without a row are remembered.
	/**
	 * Time after a restore of the store from a backup for which its rows of targets that were already removed are ignored: the backup may
	 * contain targets that have left since.
	 */
	Duration restore_distrust_period = std::chrono::seconds(30);
	size_t mass_expiry_min_rows = 3;        ///< Minimum number of rows that must disappear at once to be taken for expired ones.
	double mass_expiry_min_fraction = 0.34; ///< Minimum fraction of the usable targets that they must be.
};

/**
 * Tracks the incarnations of all listed targets. A draining or superseded incarnation never becomes usable again. A target without a
 * row is not usable, except shortly after a store outage, in which the rows of live targets expire. After a restore of the store from
 * a backup, targets that were already removed are ignored until they update their row, and missing ones get time to write theirs.
 */
class TargetRegistry {
public:
	explicit TargetRegistry(RegistryLimits limits) : limits(limits) {}

	/** Called for each target that stays usable although its row was removed. */
	std::function<void(const KeptTarget &)> on_kept;

	/** Handle the full list. @param age How old the changes may be that it shows. */
	std::vector<TargetEvent> OnFullList(const std::vector<TargetRow> &rows, TimePoint now, const UpdateAge &age = {});

	/** Handle written and removed rows. @param age How old the changes may be. */
	std::vector<TargetEvent> OnChanges(const std::vector<TargetRow> &rows, TimePoint now, const UpdateAge &age = {});

	/**
	 * Handle a drain notice from the target incarnation \a name itself, which is final, whatever the list shows.
	 * @param source Origin of the notice, for logs.
	 */
	std::vector<TargetEvent> OnDrainNotice(const std::string &name, const char *source, TimePoint now);

	/** Handle an answer from another incarnation at the address of the target incarnation \a name. */
	std::vector<TargetEvent> OnOtherIncarnation(const std::string &name, TimePoint now);

	/** Handle the end of a store outage in which rows of live targets may have expired. */
	void OnStoreReconnected(TimePoint now);

	/** Handle a successful read of the store after failed ones. @param age Time since the one before, at least. */
	void OnReadsResumed(const UpdateAge &age, TimePoint now);

	/** Set the time from the acknowledgement that a target leaves after which no request may reach it. */
	void SetDrainBound(Duration bound) { this->limits.drain_bound = bound; }

	/** @return The last time at which a request may be sent to a target whose leaving was acknowledged at \a acknowledged_at. */
	TimePoint LastSendTime(TimePoint acknowledged_at) const
	{
		return acknowledged_at + std::max(Duration(0), this->limits.drain_bound - this->limits.send_margin);
	}

	/** Handle a restore of the store from a backup; OnFullList() is called next. */
	void OnStoreRestored(TimePoint now);

	/** Apply timeouts and forget old targets. */
	std::vector<TargetEvent> OnTick(TimePoint now);

	/** @return Number of incarnations that are remembered. */
	size_t Size() const { return this->entries.size(); }

private:
	/** One target incarnation. */
	struct Entry {
		ListedTarget target;                ///< The target as last listed.
		bool retired = false;               ///< Whether it is draining or has terminated; final.
		bool terminated = false;            ///< Whether its termination was reported.
		bool missing = false;               ///< Whether its row is missing.
		bool usable = true;                 ///< Whether it was last reported as usable.
		TimePoint missing_since;            ///< When its row disappeared.
		TimePoint acknowledged_after;       ///< Earliest time at which the store may have acknowledged that it leaves.
		TimePoint usable_without_row_until; ///< Until then it is usable without a row, after a store outage.
		TimePoint distrusted_until;         ///< Until then an unchanged row is ignored, after a restore of the store.
		bool relisted = false;              ///< Whether such a row is in the list.
	};

	/** Mark \a entry as terminated. */
	void Terminate(Entry &entry, const char *source, TimePoint now, std::vector<TargetEvent> &events);
	/** Update whether \a entry is usable, and add an event if that or its row (\a changed) has changed. */
	void UpdateUsable(Entry &entry, const char *source, bool changed, TimePoint now, std::vector<TargetEvent> &events);
	/** @return Whether rows of live targets may have expired in a store outage during the time of \a age. */
	bool MayHaveExpired(const UpdateAge &age) const { return age.after_failures && age.longest >= this->limits.min_expiry_gap; }
	/** @return The earliest time at which the store may have acknowledged a change of that \a age. */
	TimePoint AcknowledgedAfter(const UpdateAge &age, TimePoint now) const;
	/** Mark the row of \a entry as missing. */
	void MarkMissing(Entry &entry, const char *source, TimePoint now, const UpdateAge &age, std::vector<TargetEvent> &events);
	/** @return Whether a row of the full list that says \a target may come from a backup, from before the incarnation \a latest started. */
	bool MayBeOutdated(const ListedTarget &target, const Entry &latest, TimePoint now) const;
	/** Apply a row. @param full Whether it comes from the full list instead of a change. */
	void ApplyRow(const ListedTarget &target, bool full, TimePoint now, const UpdateAge &age, std::vector<TargetEvent> &events);
	/** Mark the rows of \a removed as missing, after a check whether they expired in a store outage. */
	void MarkAllMissing(const std::vector<Entry *> &removed, const char *source, TimePoint now, const UpdateAge &age,
	                    std::vector<TargetEvent> &events);

	RegistryLimits limits;
	std::map<std::string, Entry> entries;      ///< Incarnations by name.
	std::map<std::string, std::string> latest; ///< Name of the latest incarnation of each target, by id.
	TimePoint expiry_grace_until;              ///< Until then missing rows are taken for expired ones.
	TimePoint restore_distrusted_until;        ///< Until then the full list may contain rows of a backup.
};

} // namespace cottonspool
