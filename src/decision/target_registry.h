/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_registry.h Which listed targets may be used: departures are final, and an outage of the list is not a departure. */

#pragma once

#include "decision/serving_type.h"
#include <map>

namespace cottonspool {

/** What became of a target. */
enum class TargetChange : uint8_t {
	EligibleTargets, ///< New, changed or back: may be used as described.
	Draining,        ///< Gets nothing new; what runs there may still finish or move.
	Terminated,      ///< Has ended: what was under way there has failed, and may have run.
};

/** One change of the registry. */
struct TargetEvent {
	TargetChange change = TargetChange::EligibleTargets; ///< What became of it.
	ListedTarget target;                                 ///< Target as last seen.
	const char *source = "";                             ///< What told it, for logs.
};

/** One row of the list: what a target says of itself, or that its row is gone. */
struct TargetRow {
	std::string id;                     ///< Id under which it is listed.
	std::optional<ListedTarget> target; ///< What it says; nothing when the row is gone.
};

/** Times of the registry. */
struct RegistryLimits {
	Duration expiry_grace = std::chrono::seconds(2);       ///< Time after the store's return in which live targets re-enter their rows.
	Duration departed_retention = std::chrono::minutes(2); ///< Time for which a departed target's name is remembered.
	/**
	 * Time after the return of a store from a copy in which a row of it names no target that was gone before: what the copy had not
	 * forgotten yet is removed again, and a target that leaves without notice serves on for many seconds.
	 */
	Duration restore_distrust_period = std::chrono::seconds(30);
	size_t mass_expiry_min_rows = 3;        ///< Rows gone without notice at once from which it may be a lapse.
	double mass_expiry_min_fraction = 0.34; ///< Part of all usable targets from which it is taken for one.
};

/**
 * Targets as the list shows them, each life by itself. One that said it leaves never becomes usable again, nor does one after which
 * another life of its id was listed. One whose row is missing is gone, unless the store was away just before: rows lapse then, and live
 * targets write theirs again. A store that comes back from a copy lists targets that had gone, and lacks some that live: the former
 * are believed once they write their row again, the latter get the time for it.
 */
class TargetRegistry {
public:
	explicit TargetRegistry(RegistryLimits limits) : limits(limits) {}

	/** The whole list was read. */
	std::vector<TargetEvent> OnFullList(const std::vector<TargetRow> &rows, TimePoint now);

	/** Rows were written or removed. */
	std::vector<TargetEvent> OnChanges(const std::vector<TargetRow> &rows, TimePoint now);

	/**
	 * The life \a name of a target itself says that it leaves, ahead of the list: final, whatever the list shows then or later.
	 * @param source What told it, for logs.
	 */
	std::vector<TargetEvent> OnDrainNotice(const std::string &name, const char *source, TimePoint now);

	/** Another life answers where the life \a name of a target was. */
	std::vector<TargetEvent> OnOtherIncarnation(const std::string &name, TimePoint now);

	/** The store answers again. */
	void OnStoreReconnected(TimePoint now);

	/** The store has come back from a copy; the whole list follows. */
	void OnStoreRestored(TimePoint now);

	/** Time has passed. */
	std::vector<TargetEvent> OnTick(TimePoint now);

	/** @return Targets remembered. */
	size_t Size() const { return this->entries.size(); }

private:
	/** One target. */
	struct Entry {
		ListedTarget target;        ///< As last seen.
		bool departed = false;      ///< Said that it leaves, or has ended: final.
		bool ended = false;         ///< Its end was told.
		bool missing = false;       ///< Its row is gone.
		bool usable = true;         ///< As last told.
		TimePoint missing_since;    ///< When its row went.
		TimePoint usable_until;     ///< While its row is missing after an outage: used until then.
		TimePoint distrusted_until; ///< It was gone before the store came back from a copy: a row as it was is not believed until then.
		bool relisted = false;      ///< Such a row is in the list.
	};

	void Terminate(Entry &entry, const char *source, TimePoint now, std::vector<TargetEvent> &events);
	void UpdateUsable(Entry &entry, const char *source, bool changed, TimePoint now, std::vector<TargetEvent> &events);
	void MarkMissing(Entry &entry, const char *source, TimePoint now, std::vector<TargetEvent> &events);
	void ApplyRow(const ListedTarget &target, bool full, TimePoint now, std::vector<TargetEvent> &events);
	void MarkAllMissing(const std::vector<Entry *> &gone, const char *source, TimePoint now, std::vector<TargetEvent> &events);

	RegistryLimits limits;                     ///< Times.
	std::map<std::string, Entry> entries;      ///< Lives of targets by name.
	std::map<std::string, std::string> newest; ///< The life that was listed last, by id.
	TimePoint expiry_grace_until;              ///< Until then missing rows may come back.
};

} // namespace cottonspool
