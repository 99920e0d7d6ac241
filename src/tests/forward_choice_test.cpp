/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file forward_choice_test.cpp Guards against requests that are passed to instances which cannot serve them, or all to the same one. */

#include "decision/forward_choice.h"
#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>
#include <set>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

const ModelNumber POOL{7};

/** A fleet of instances in three halls, of which some have lost the pool. */
struct Fleet {
	Fleet(size_t instances, double lost_part, uint64_t seed) : random(seed)
	{
		for (size_t i = 0; i < instances; i++) this->halls[i % 3].push_back("i" + std::to_string(i));
		for (size_t i = 0; i < instances; i++) {
			if (static_cast<double>(i) < lost_part * static_cast<double>(instances))
				this->lost.insert("i" + std::to_string(i * 7 % instances));
		}
	}

	/** @return Candidates of \a own, its own hall first. */
	std::vector<HallCandidates> For(const std::string &own) const
	{
		std::vector<HallCandidates> candidates(this->halls.begin(), this->halls.end());
		auto has_own = [&](const HallCandidates &hall) { return std::find(hall.begin(), hall.end(), own) != hall.end(); };
		std::stable_partition(candidates.begin(), candidates.end(), has_own);
		for (HallCandidates &hall : candidates) std::erase(hall, own);
		return candidates;
	}

	/** Pass one request of \a own on, to one instance after another. @return The one that serves it. */
	std::optional<std::string> Serve(ForwardChoice &choice, const std::string &own, TimePoint now, size_t *tries)
	{
		std::vector<std::string> refused;
		while (std::optional<std::string> peer = choice.Choose(this->For(own), POOL, refused, now)) {
			(*tries)++;
			choice.OnPassed(*peer);
			if (!this->lost.contains(*peer)) return peer;
			choice.OnEnded(*peer, POOL, ForwardResult::PoolLost, now);
			refused.push_back(*peer);
		}
		return std::nullopt;
	}

	std::array<HallCandidates, 3> halls; ///< Instances by hall.
	std::set<std::string> lost;          ///< Instances that do not reach the pool.
	pcg64 random;
};

} // namespace

TEST_CASE("Forward choice - requests of instances that have lost their targets are served by the others, and not all by one")
{
	for (size_t instances : {6, 8, 62, 295}) {
		for (double lost_part : {0.25, 0.6}) {
			CAPTURE(instances);
			CAPTURE(lost_part);
			Fleet fleet(instances, lost_part, 1);
			std::map<std::string, ForwardChoice> choices;
			std::map<std::string, size_t> served_by;
			size_t served = 0;
			size_t sent = 0;
			size_t tries = 0;
			struct Running {
				std::string own;
				std::string peer;
				TimePoint ends_at;
			};
			std::deque<Running> running;
			for (int ms = 0; ms < 6000; ms += 50) {
				TimePoint now = TimePoint(std::chrono::hours(1)) + milliseconds(ms);
				while (!running.empty() && running.front().ends_at <= now) {
					choices.at(running.front().own).OnEnded(running.front().peer, POOL, ForwardResult::Answered, now);
					running.pop_front();
				}
				for (const std::string &own : fleet.lost) {
					ForwardChoice &choice = choices.try_emplace(own, own, ForwardLimits{}).first->second;
					std::optional<std::string> peer = fleet.Serve(choice, own, now, &tries);
					if (peer) running.push_back({own, *peer, now + milliseconds(500)});
					if (ms < 1500) continue;
					sent++;
					if (peer) served++;
					if (peer) served_by[*peer]++;
				}
			}
			CHECK(static_cast<double>(served) >= 0.95 * static_cast<double>(sent));
			CHECK(tries <= 2 * 120 * fleet.lost.size());
			size_t most = 0;
			for (const auto &[peer, count] : served_by) most = std::max(most, count);
			// They don't all fall on one.
			double largest_part = instances < 62 ? 0.6 : 0.1;
			CHECK(static_cast<double>(most) <= largest_part * static_cast<double>(served));
		}
	}
}

TEST_CASE("Forward choice - a pool that is lost by all instances costs few tries")
{
	Fleet fleet(295, 1.0, 2);
	ForwardChoice choice("i0", ForwardLimits{});
	size_t tries = 0;
	for (int ms = 0; ms < 5000; ms += 10) CHECK(!fleet.Serve(choice, "i0", TimePoint(std::chrono::hours(1)) + milliseconds(ms), &tries));
	// In half a second, three of each hall.
	CHECK(tries <= 10 * 3 * 3);
}

TEST_CASE("Forward choice - an instance is tried once for a request, and not while it is held")
{
	rc::check("an instance is tried once for a request, and not while it is held", [] {
		ForwardLimits limits;
		ForwardChoice choice("own", limits);
		const std::vector<HallCandidates> halls{{"a", "b", "c"}, {"d", "e"}};
		std::map<std::string, TimePoint> held;
		TimePoint now{std::chrono::hours(1)};
		uint32_t open = 0;
		auto steps = *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 5));
		for (int step : steps) {
			now += milliseconds(40);
			std::vector<std::string> refused;
			while (std::optional<std::string> peer = choice.Choose(halls, POOL, refused, now)) {
				RC_ASSERT(std::find(refused.begin(), refused.end(), *peer) == refused.end());
				RC_ASSERT(!held.contains(*peer) || now >= held[*peer]);
				choice.OnPassed(*peer);
				open++;
				auto result = static_cast<ForwardResult>(step);
				choice.OnEnded(*peer, POOL, result, now);
				open--;
				RC_ASSERT(choice.InProgress() == open);
				if (result == ForwardResult::Unreachable) held[*peer] = now + limits.unreachable_hold;
				if (result == ForwardResult::PoolLost) held[*peer] = now + limits.lost_hold;
				if (result == ForwardResult::Busy) held[*peer] = now + limits.busy_hold;
				if (result == ForwardResult::Answered || result == ForwardResult::Abandoned) break;
				refused.push_back(*peer);
			}
			RC_ASSERT(refused.size() <= limits.max_tries);
		}
	});
}
