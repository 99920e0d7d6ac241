/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file cell_division_test.cpp What an instance knows of a fleet does not grow with the fleet. */

#include "decision/cell_division.h"
#include "decision/peer_directory.h"
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace cottonspool;

namespace {

constexpr size_t HALLS = 5;         ///< Data halls of the fleets here.
constexpr size_t TARGETS_EACH = 10; ///< Targets for each instance.

std::string InstanceName(size_t number)
{
	return "instance-" + std::to_string(number);
}

std::string HallName(size_t number)
{
	return "hall-" + std::to_string(number % HALLS);
}

/** @return What instance \a own knows of a fleet of \a instances. */
PeerDirectory KnownBy(size_t own, size_t instances)
{
	PeerDirectory directory(InstanceName(own), HallName(own), DialLimits{});
	for (size_t i = 0; i < instances; i++) directory.Update(InstanceName(i), {InstanceName(i), HallName(i), 20});
	directory.Divide(true, {1, 10}, false);
	return directory;
}

/** @return The list of a fleet's targets: mostly engines, and a few of two other pools. */
std::vector<TargetRow> TargetsOf(size_t instances)
{
	std::vector<TargetRow> rows;
	for (size_t i = 0; i < instances * TARGETS_EACH; i++) {
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
	std::map<size_t, size_t> most_links;
	std::map<size_t, size_t> most_targets;
	for (size_t instances : {300U, 986U, 1972U, 3944U}) {
		std::vector<TargetRow> targets = TargetsOf(instances);
		for (size_t own = 0; own < instances; own += instances / 12) {
			PeerDirectory directory = KnownBy(own, instances);
			CHECK(directory.Size() == instances - 1);
			auto none = [](const std::string &) { return LinkState::None; };
			WantedLinks wanted = directory.Wanted(none, true, TimePoint{} + std::chrono::hours(1));
			most_links[instances] = std::max(most_links[instances], wanted.peers.size() + wanted.forwarders.size());
			TargetDivision division(InstanceName(own));
			division.Divide(targets, directory.Cells().cells);
			size_t known = 0;
			for (const TargetRow &row : targets) known += division.IsOwn(*row.target) ? 1 : 0;
			most_targets[instances] = std::max(most_targets[instances], known);
		}
		MESSAGE("instances ", instances, ": links ", most_links[instances], ", targets ", most_targets[instances]);
	}
	static constexpr double ROUGHLY_SAME = 1.3;
	for (size_t instances : {1972U, 3944U}) {
		CHECK(static_cast<double>(most_links[instances]) < ROUGHLY_SAME * static_cast<double>(most_links[986]));
		CHECK(static_cast<double>(most_targets[instances]) < ROUGHLY_SAME * static_cast<double>(most_targets[986]));
	}
	CHECK(most_links[3944] <= 64);
	CHECK(most_targets[3944] <= 2000);
}

TEST_CASE("Cells - a fleet of up to 96 instances a hall is one cell, as it costs little, and a larger one has cells of 12 to 32 a hall")
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

TEST_CASE("Cells - whatever instances read and tell each other, in the end all divide the fleet in the same way")
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
		// Each has read the list as it is now, and told everybody, twice.
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

TEST_CASE("Cells - who starts among others keeps to their number while it may stay, and changes it where it may not")
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
	// Those that were there before follow it.
	CellDivision before("before");
	before.OnPeerCellCount({8, {1, 20}});
	CHECK(before.OnPeerCellCount(shrunk.Count()));
	CHECK(before.Count().cells == 1);
}

TEST_CASE("Cells - every cell has some targets of every pool, and each target is known in as many cells as its pool is divided for")
{
	static constexpr uint32_t CELLS = 8;
	std::vector<TargetRow> targets = TargetsOf(986);
	std::map<uint32_t, TargetDivision> cells;
	for (size_t i = 0; cells.size() < CELLS; i++) {
		CellDivision own(InstanceName(i));
		own.OnPeerCellCount({CELLS, {1, 1}});
		bool another = std::none_of(cells.begin(), cells.end(), [&](const auto &cell) { return own.IsOwn(InstanceName(cell.first)); });
		if (another) cells.emplace(static_cast<uint32_t>(i), TargetDivision(InstanceName(i)));
	}
	std::map<std::string, size_t> known_least;
	std::map<std::string, size_t> times;
	for (auto &[number, cell] : cells) {
		cell.Divide(targets, CELLS);
		std::map<std::string, size_t> known;
		for (const TargetRow &row : targets) {
			if (!cell.IsOwn(*row.target)) continue;
			known[row.target->pool + row.target->hall]++;
			times[row.id]++;
		}
		for (const TargetRow &row : targets) {
			std::string place = row.target->pool + row.target->hall;
			auto [least, added] = known_least.try_emplace(place, known[place]);
			least->second = std::min(least->second, known[place]);
		}
		CHECK(cell.ShareOf("rare", HallName(1), CELLS) == doctest::Approx(1.0 / CELLS));
		CHECK(cell.ShareOf("engines", HallName(1), CELLS) == doctest::Approx(1));
	}
	for (const auto &known : known_least) {
		CAPTURE(known.first);
		CHECK(known.second >= 1);
	}
	for (const TargetRow &row : targets) {
		double share = cells.begin()->second.ShareOf(row.target->pool, row.target->hall, CELLS);
		CHECK(static_cast<double>(times[row.id]) * share == doctest::Approx(1));
	}
}
