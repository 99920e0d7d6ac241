/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lease_test.cpp A lease never has two holders, even if answers get lost and processes pause. */

#include "decision/lease.h"
#include <doctest/doctest.h>
#include <optional>
#include <rapidcheck.h>
#include <vector>

using namespace cottonspool;

namespace {

/** Candidate with its pending table request. */
struct Candidate {
	Lease lease;                              ///< The candidate's lease.
	std::function<void(TimePoint)> under_way; ///< Pending answer; empty if there is none.
	TimePoint answer_at;                      ///< Time at which the answer arrives.
	TimePoint paused_until;                   ///< The process is paused until then.
};

/** The lease row and its candidates. */
struct LeaseWorld {
	LeaseRow row;                      ///< Row in the table.
	uint64_t versions = 0;             ///< Number of versions assigned.
	std::vector<Candidate> candidates; ///< Candidates for the lease.
	uint64_t nonce = 0;                ///< Number of nonces assigned.
};

constexpr Duration LENGTH = std::chrono::milliseconds(600);

} // namespace

static void StartStep(LeaseWorld &world, Candidate &candidate, TimePoint now, uint32_t chance)
{
	LeaseStep step = candidate.lease.Next(now);
	if (step == LeaseStep::Nothing) return;
	candidate.answer_at = now + std::chrono::milliseconds(5 + chance % 300);
	if (step == LeaseStep::Read) {
		LeaseRow seen = world.row;
		candidate.under_way = [&candidate, seen](TimePoint at) { candidate.lease.OnRead(seen, at); };
		return;
	}
	LeaseRow proposal = candidate.lease.Proposal(++world.nonce);
	bool fits = proposal.version == world.row.version;
	bool sent = chance % 10 != 0;
	std::string version;
	if (fits && sent) {
		world.row = proposal;
		world.row.version = version = "v" + std::to_string(++world.versions);
	}
	WriteResult result = !sent ? WriteResult::NotDone : fits ? WriteResult::Done : WriteResult::Conflict;
	if (chance % 4 == 1) result = WriteResult::Unknown;
	candidate.under_way = [&candidate, proposal, result, version, now](TimePoint at) {
		candidate.lease.OnWritten(proposal, result, version, now, at);
	};
}

TEST_CASE("Lease - at most one holder at any time, and its epoch grows with each new one")
{
	bool good = rc::check("one holder", [](const std::vector<uint32_t> &chances) {
		LeaseWorld world;
		for (int i = 0; i < 3; i++) world.candidates.push_back(Candidate{Lease("candidate" + std::to_string(i), LENGTH), {}, {}, {}});
		TimePoint now = TimePoint(std::chrono::seconds(100));
		int last_holder = -1;
		uint64_t last_epoch = 0;
		for (size_t step = 0; step < chances.size() * 20; step++) {
			uint32_t chance = chances[step % chances.size()] * 2654435761U + static_cast<uint32_t>(step) * 40503U;
			now += std::chrono::milliseconds(10);
			Candidate &candidate = world.candidates[chance % 3];
			if (chance % 53 == 0) candidate.paused_until = now + std::chrono::milliseconds(chance % 2000);
			int holders = 0;
			for (int i = 0; i < 3; i++) {
				Candidate &each = world.candidates[static_cast<size_t>(i)];
				if (each.lease.Held(now)) {
					holders++;
					if (i != last_holder) RC_ASSERT(each.lease.Epoch() > last_epoch);
					last_holder = i;
					last_epoch = std::max(last_epoch, each.lease.Epoch());
				}
				if (now < each.paused_until) continue;
				if (each.under_way && now >= each.answer_at) {
					auto answer = std::move(each.under_way);
					each.under_way = nullptr;
					answer(now);
				}
				if (!each.under_way) StartStep(world, each, now, chance >> 3);
			}
			RC_ASSERT(holders <= 1);
		}
	});
	CHECK(good);
}

TEST_CASE("Lease - with a healthy table somebody holds it, and another takes over after the holder is gone")
{
	LeaseWorld world;
	for (int i = 0; i < 2; i++) world.candidates.push_back(Candidate{Lease("candidate" + std::to_string(i), LENGTH), {}, {}, {}});
	TimePoint now = TimePoint(std::chrono::seconds(100));
	auto run = [&](Duration length) {
		for (TimePoint end = now + length; now < end; now += std::chrono::milliseconds(10)) {
			for (Candidate &each : world.candidates) {
				if (now < each.paused_until) continue;
				if (each.under_way && now >= each.answer_at) {
					auto answer = std::move(each.under_way);
					each.under_way = nullptr;
					answer(now);
				}
				if (!each.under_way) StartStep(world, each, now, 2);
			}
		}
	};
	run(std::chrono::seconds(2));
	bool first = world.candidates[0].lease.Held(now);
	CHECK((first != world.candidates[1].lease.Held(now)));
	world.candidates[first ? 0 : 1].paused_until = now + std::chrono::hours(1);
	run(std::chrono::seconds(2));
	CHECK(world.candidates[first ? 1 : 0].lease.Held(now));
}
