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
	Lease lease;                                   ///< The candidate's lease.
	std::function<void(TimePoint)> pending_answer; ///< Pending answer; empty if there is none.
	TimePoint answer_at;                           ///< Time at which the answer arrives.
	TimePoint paused_until;                        ///< The process is paused until then.
};

/** The lease row and its candidates. */
struct LeaseSimulation {
	LeaseRow row;                      ///< Row in the table.
	uint64_t versions = 0;             ///< Number of versions assigned.
	std::vector<Candidate> candidates; ///< Candidates for the lease.
	uint64_t nonce = 0;                ///< Number of nonces assigned.
};

constexpr Duration LENGTH = std::chrono::milliseconds(600);

} // namespace

static void StartStep(LeaseSimulation &simulation, Candidate &candidate, TimePoint now, uint32_t chance)
{
	LeaseStep step = candidate.lease.Next(now);
	if (step == LeaseStep::Nothing) return;
	candidate.answer_at = now + std::chrono::milliseconds(5 + chance % 300);
	if (step == LeaseStep::Read) {
		LeaseRow seen = simulation.row;
		candidate.pending_answer = [&candidate, seen](TimePoint at) { candidate.lease.OnRead(seen, at); };
		return;
	}
	LeaseRow proposal = candidate.lease.Proposal(++simulation.nonce);
	bool condition_holds = proposal.version == simulation.row.version;
	bool sent = chance % 10 != 0;
	std::string version;
	if (condition_holds && sent) {
		simulation.row = proposal;
		simulation.row.version = version = "v" + std::to_string(++simulation.versions);
	}
	WriteResult result = !sent ? WriteResult::NotDone : condition_holds ? WriteResult::Done : WriteResult::Conflict;
	if (chance % 4 == 1) result = WriteResult::Unknown;
	candidate.pending_answer = [&candidate, proposal, result, version, now](TimePoint at) {
		candidate.lease.OnWritten(proposal, result, version, now, at);
	};
}

TEST_CASE("Lease - there is at most one holder at any time, and the epoch grows with each new holder")
{
	bool good = rc::check("one holder", [](const std::vector<uint32_t> &chances) {
		LeaseSimulation simulation;
		for (int i = 0; i < 3; i++) simulation.candidates.push_back(Candidate{Lease("candidate" + std::to_string(i), LENGTH), {}, {}, {}});
		TimePoint now = TimePoint(std::chrono::seconds(100));
		int last_holder = -1;
		uint64_t last_epoch = 0;
		for (size_t step = 0; step < chances.size() * 20; step++) {
			uint32_t chance = chances[step % chances.size()] * 2654435761U + static_cast<uint32_t>(step) * 40503U;
			now += std::chrono::milliseconds(10);
			Candidate &candidate = simulation.candidates[chance % 3];
			if (chance % 53 == 0) candidate.paused_until = now + std::chrono::milliseconds(chance % 2000);
			int holders = 0;
			for (int i = 0; i < 3; i++) {
				Candidate &each = simulation.candidates[static_cast<size_t>(i)];
				if (each.lease.Held(now)) {
					holders++;
					if (i != last_holder) RC_ASSERT(each.lease.Epoch() > last_epoch);
					last_holder = i;
					last_epoch = std::max(last_epoch, each.lease.Epoch());
				}
				if (now < each.paused_until) continue;
				if (each.pending_answer && now >= each.answer_at) {
					auto answer = std::move(each.pending_answer);
					each.pending_answer = nullptr;
					answer(now);
				}
				if (!each.pending_answer) StartStep(simulation, each, now, chance >> 3);
			}
			RC_ASSERT(holders <= 1);
		}
	});
	CHECK(good);
}

TEST_CASE("Lease - on a healthy table one candidate holds the lease, and another one takes over when it stops")
{
	LeaseSimulation simulation;
	for (int i = 0; i < 2; i++) simulation.candidates.push_back(Candidate{Lease("candidate" + std::to_string(i), LENGTH), {}, {}, {}});
	TimePoint now = TimePoint(std::chrono::seconds(100));
	auto run = [&](Duration length) {
		for (TimePoint end = now + length; now < end; now += std::chrono::milliseconds(10)) {
			for (Candidate &each : simulation.candidates) {
				if (now < each.paused_until) continue;
				if (each.pending_answer && now >= each.answer_at) {
					auto answer = std::move(each.pending_answer);
					each.pending_answer = nullptr;
					answer(now);
				}
				if (!each.pending_answer) StartStep(simulation, each, now, 2);
			}
		}
	};
	run(std::chrono::seconds(2));
	bool first = simulation.candidates[0].lease.Held(now);
	CHECK((first != simulation.candidates[1].lease.Held(now)));
	simulation.candidates[first ? 0 : 1].paused_until = now + std::chrono::hours(1);
	run(std::chrono::seconds(2));
	CHECK(simulation.candidates[first ? 1 : 0].lease.Held(now));
}
