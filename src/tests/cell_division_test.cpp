/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file cell_division_test.cpp Cells bound the peers, links and targets of an instance; all instances agree on the number of cells. */

#include "decision/cell_division.h"
#include "decision/peer_directory.h"
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace cottonspool;

namespace {

constexpr size_t HALLS = 5;                 ///< Number of data halls.
constexpr size_t TARGETS_PER_INSTANCE = 10; ///< Number of targets per instance.

std::string InstanceName(size_t number)
{
	return "instance-" + std::to_string(number);
}

std::string HallName(size_t number)
{
	return "hall-" + std::to_string(number % HALLS);
}

/** @return The directory of instance \a own in a fleet of \a instances. */
PeerDirectory MakeDirectory(size_t own, size_t instances)
{
	PeerDirectory directory(InstanceName(own), HallName(own), DialLimits{});
	for (size_t i = 0; i < instances; i++) directory.Update(InstanceName(i), {InstanceName(i), HallName(i), 20});
	directory.Divide(true, {1, 10}, false);
	return directory;
}

/** @return The target list of a fleet: mostly engines, and a few targets of two other pools. */
std::vector<TargetRow> MakeTargetRows(size_t instances)
{
	std::vector<TargetRow> rows;
	for (size_t i = 0; i < instances * TARGETS_PER_INSTANCE; i++) {
		ListedTarget target;
		target.incarnation = {"target-" + std::to_string(i), 1};
		target.pool = i % 16 == 0 ? "service" : i < 15 ? "rare" : "engines";
		target.hall = HallName(i);
		rows.push_back({target.incarnation.id, target});
	}
	return rows;
}

} // namespace

TEST_CASE("Cells - the links, peers and targets of an instance do not grow from 1,000 to 4,000 instances")
{
	std::map<size_t, size_t> max_links;
	std::map<size_t, size_t> max_targets;
	for (size_t instances : {300U, 986U, 1972U, 3944U}) {
		std::vector<TargetRow> targets = MakeTargetRows(instances);
		for (size_t own = 0; own < instances; own += instances / 12) {
			PeerDirectory directory = MakeDirectory(own, instances);
			CHECK(directory.Size() == instances - 1);
			auto none = [](const std::string &) { return LinkState::None; };
			WantedLinks wanted = directory.Wanted(none, true, TimePoint{} + std::chrono::hours(1));
			max_links[instances] = std::max(max_links[instances], wanted.peers.size() + wanted.forwarders.size());
			TargetDivision division(InstanceName(own));
			division.Divide(targets, directory.Cells().cells);
			size_t known = 0;
			for (const TargetRow &row : targets) known += division.IsOwn(*row.target) ? 1 : 0;
			max_targets[instances] = std::max(max_targets[instances], known);
		}
		MESSAGE("instances ", instances, ": links ", max_links[instances], ", targets ", max_targets[instances]);
	}
	static constexpr double MAX_GROWTH = 1.3;
	for (size_t instances : {1972U, 3944U}) {
		CHECK(static_cast<double>(max_links[instances]) < MAX_GROWTH * static_cast<double>(max_links[986]));
		CHECK(static_cast<double>(max_targets[instances]) < MAX_GROWTH * static_cast<double>(max_targets[986]));
	}
	CHECK(max_links[3944] <= 64);
	CHECK(max_targets[3944] <= 2000);
}

TEST_CASE("Cells - up to 96 instances per hall form one cell, larger fleets have cells of 12 to 32 instances per hall")
{
	CellDivision division("own");
	CHECK_FALSE(division.OnInstanceList(CellDivision::MAX_UNDIVIDED_INSTANCES, {1, 1}, false));
	CHECK(division.Count().cells == 1);
	CHECK(division.OnInstanceChanges(CellDivision::MAX_UNDIVIDED_INSTANCES + 1, {1, 2}));
	for (size_t largest_hall : {97U, 128U, 129U, 200U, 256U, 257U, 400U, 1000U}) {
		CellDivision other("own");
		other.OnInstanceList(largest_hall, {1, 1}, false);
		size_t each = largest_hall / other.Count().cells;
		CHECK(each >= CellDivision::MIN_CELL_INSTANCES);
		CHECK(largest_hall <= CellDivision::MAX_CELL_INSTANCES * other.Count().cells);
	}
}

TEST_CASE("Cells - whatever instances read and receive, in the end all have the same number of cells")
{
	bool good = rc::check("agreement", [] {
		size_t count = *rc::gen::inRange<size_t>(2, 8);
		std::vector<CellDivision> all;
		for (size_t i = 0; i < count; i++) all.emplace_back(InstanceName(i));
		bool bootstrapping = *rc::gen::arbitrary<bool>();
		size_t largest_hall = *rc::gen::inRange<size_t>(1, 700);
		uint64_t version = 1;
		for (int step = *rc::gen::inRange(0, 30); step > 0; step--) {
			CellDivision &one = all[*rc::gen::inRange<size_t>(0, count)];
			largest_hall += *rc::gen::inRange<size_t>(0, 40);
			version++;
			if (*rc::gen::arbitrary<bool>()) {
				one.OnInstanceList(largest_hall, {1, version}, bootstrapping);
			} else {
				one.OnPeerCellCount(all[*rc::gen::inRange<size_t>(0, count)].Count());
			}
		}
		// Each instance reads the current list, and all exchange their numbers twice.
		for (CellDivision &one : all) one.OnInstanceList(largest_hall, {1, ++version}, bootstrapping);
		for (int round = 0; round < 2; round++) {
			for (CellDivision &one : all) {
				for (CellDivision &other : all) other.OnPeerCellCount(one.Count());
			}
		}
		for (const CellDivision &one : all) RC_ASSERT(one.Count().cells == all.front().Count().cells);
	});
	CHECK(good);
}

TEST_CASE("Cells - an instance that joins adopts its peers' number of cells, and changes it only if it is no longer appropriate")
{
	CellDivision joining("joining");
	joining.OnInstanceList(110, {1, 50}, false);
	CHECK(joining.Count().cells == 4);
	CHECK(joining.OnPeerCellCount({8, {1, 20}}));
	CHECK(joining.Count() == CellCount{8, {1, 20}});
	CellDivision shrunk("shrunk");
	shrunk.OnInstanceList(60, {1, 50}, false);
	shrunk.OnPeerCellCount({8, {1, 20}});
	CHECK(shrunk.Count() == CellCount{1, {1, 50}});
	// Instances that still use the old number adopt the new one.
	CellDivision existing("before");
	existing.OnPeerCellCount({8, {1, 20}});
	CHECK(existing.OnPeerCellCount(shrunk.Count()));
	CHECK(existing.Count().cells == 1);
}

TEST_CASE("Cells - every cell has targets of every pool, and each target belongs to as many cells as its pool requires")
{
	static constexpr uint32_t CELLS = 8;
	std::vector<TargetRow> targets = MakeTargetRows(986);
	std::map<uint32_t, TargetDivision> cells;
	for (size_t i = 0; cells.size() < CELLS; i++) {
		CellDivision own(InstanceName(i));
		own.OnPeerCellCount({CELLS, {1, 1}});
		bool another = std::none_of(cells.begin(), cells.end(), [&](const auto &cell) { return own.IsOwn(InstanceName(cell.first)); });
		if (another) cells.emplace(static_cast<uint32_t>(i), TargetDivision(InstanceName(i)));
	}
	std::map<std::string, size_t> min_targets;
	std::map<std::string, size_t> cell_count_by_target;
	for (auto &[number, cell] : cells) {
		cell.Divide(targets, CELLS);
		std::map<std::string, size_t> known;
		for (const TargetRow &row : targets) {
			if (!cell.IsOwn(*row.target)) continue;
			known[row.target->pool + row.target->hall]++;
			cell_count_by_target[row.id]++;
		}
		for (const TargetRow &row : targets) {
			std::string pool_and_hall = row.target->pool + row.target->hall;
			auto [min_count, added] = min_targets.try_emplace(pool_and_hall, known[pool_and_hall]);
			min_count->second = std::min(min_count->second, known[pool_and_hall]);
		}
		CHECK(cell.ShareOf("rare", HallName(1), CELLS) == doctest::Approx(1.0 / CELLS));
		CHECK(cell.ShareOf("engines", HallName(1), CELLS) == doctest::Approx(1));
	}
	for (const auto &known : min_targets) {
		CAPTURE(known.first);
		CHECK(known.second >= 1);
	}
	for (const TargetRow &row : targets) {
		double share = cells.begin()->second.ShareOf(row.target->pool, row.target->hall, CELLS);
		CHECK(static_cast<double>(cell_count_by_target[row.id]) * share == doctest::Approx(1));
	}
}
