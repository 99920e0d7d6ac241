/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine_world.cpp Implementation of the simulation of a request that crashes targets. */

#include "tests/quarantine_world.h"
#include <algorithm>
#include <random>

namespace cottonspool {

static constexpr Duration STEP = std::chrono::milliseconds(10);
static constexpr Duration YOUNG = std::chrono::seconds(2);             ///< Time after its start in which a request is suspected of a crash.
static constexpr Duration BACK = std::chrono::milliseconds(2500);      ///< Time until a crashed target has restarted.
static constexpr Duration CAUGHT_UP = std::chrono::milliseconds(1400); ///< Time until a restarted instance has read all crash records.
static constexpr RequestFingerprint CRASHER{1};                        ///< The request that crashes targets.

namespace {

/** A request sent to a target. */
struct Sent {
	RequestFingerprint fingerprint; ///< Fingerprint of the request.
	size_t instance = 0;            ///< Instance that sent it.
	uint64_t incarnation = 0;       ///< Incarnation of that instance.
	size_t target = 0;              ///< Target of the request.
	TimePoint begun;                ///< Time at which the target starts to execute it.
	uint32_t tries = 1;             ///< Number of times that the caller has sent it.
};

/** A crash record on its way to an instance. */
struct News {
	TimePoint at;        ///< Time at which it arrives.
	size_t instance = 0; ///< Receiving instance.
	CrashRecord end;     ///< Crash record.
};

/** State of the simulation. */
class World {
public:
	World(const QuarantineLayout &layout, uint64_t seed)
	    : layout(layout), random(seed), lives(layout.instances, 1), started(layout.instances), up(layout.targets)
	{
		for (size_t i = 0; i < layout.instances; i++) this->quarantines.emplace_back(layout.limits);
	}

	QuarantineDay Play()
	{
		TimePoint end = this->now + this->layout.length;
		for (; this->now < end; this->now += STEP) this->Step();
		return this->day;
	}

private:
	double Draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
	size_t Pick(size_t count) { return static_cast<size_t>(this->random() % count); }
	bool Happens(double per_s) { return this->Draw() < per_s * Seconds(STEP); }

	void Step()
	{
		this->Deliver();
		if (this->Happens(this->layout.restarts_per_s)) this->Restart(this->Pick(this->layout.instances));
		for (double due = this->layout.innocents_per_s * Seconds(STEP); due > 0; due--) {
			if (this->Draw() < due) this->Send(RequestFingerprint{++this->last_print}, 1);
		}
		if (this->layout.crasher && this->now >= this->next_crasher) {
			this->Send(CRASHER, 1);
			this->next_crasher = this->now + FromSeconds(0.3 + 1.2 * this->Draw());
		}
		for (size_t i = 0; i < this->sent.size(); i++) {
			bool ends_it = this->sent[i].fingerprint == CRASHER && this->now >= this->sent[i].begun + std::chrono::milliseconds(50);
			if (ends_it) this->End(this->sent[i].target, true);
		}
		if (this->Happens(this->layout.crashes_per_s)) this->End(this->Pick(this->layout.targets), false);
		std::erase_if(this->sent, [this](const Sent &each) { return this->now > each.begun + YOUNG; });
	}

	void Deliver()
	{
		for (const News &each : this->news) {
			if (each.at <= this->now) this->quarantines[each.instance].Add(each.end, this->now);
		}
		std::erase_if(this->news, [this](const News &each) { return each.at <= this->now; });
	}

	void Restart(size_t instance)
	{
		this->lives[instance]++;
		this->started[instance] = this->now;
		this->quarantines[instance] = Quarantine(this->layout.limits);
		for (const CrashRecord &end : this->stored) this->news.push_back({this->now + CAUGHT_UP, instance, end});
	}

	void Send(RequestFingerprint fingerprint, uint32_t tries)
	{
		size_t instance = this->Pick(this->layout.instances);
		if (this->quarantines[instance].Judge(fingerprint, this->now) == Suspicion::Quarantined) {
			if (fingerprint != CRASHER) this->day.innocents_refused++;
			return;
		}
		size_t target = this->Pick(this->layout.targets);
		if (this->now < this->up[target]) return;
		bool settled = this->now > this->started[instance] + this->layout.contact;
		bool late = fingerprint == CRASHER && this->third && this->now > *this->third + this->layout.contact;
		if (late && settled) this->day.sent_late++;
		Duration reading = FromSeconds(0.1 + 0.6 * this->Draw());
		this->sent.push_back({fingerprint, instance, this->lives[instance], target, this->now + reading, tries});
	}

	void End(size_t target, bool by_crasher)
	{
		if (this->now < this->up[target]) return;
		this->up[target] = this->now + BACK;
		if (by_crasher && ++this->day.ended == 3) this->third = this->now;
		std::string incarnation = std::to_string(target) + "@" + std::to_string(this->now.time_since_epoch().count());
		std::vector<Sent> there;
		std::copy_if(this->sent.begin(), this->sent.end(), std::back_inserter(there),
		             [&](const Sent &each) { return each.target == target; });
		std::erase_if(this->sent, [&](const Sent &each) { return each.target == target; });
		for (const Sent &each : there) {
			this->Blame(each, there, incarnation);
			if (each.fingerprint == CRASHER) continue;
			this->day.innocents_ended++;
			if (each.tries < this->layout.innocent_tries) this->Send(each.fingerprint, each.tries + 1);
		}
	}

	/**
	 * Records the crash at the instance that sent \a each. If other requests of that instance had started, those that had not are not
	 * suspected.
	 */
	void Blame(const Sent &each, const std::vector<Sent> &there, const std::string &incarnation)
	{
		if (each.incarnation != this->lives[each.instance]) return;
		bool any_begun = std::any_of(there.begin(), there.end(),
		                             [&](const Sent &other) { return other.instance == each.instance && other.begun <= this->now; });
		if (any_begun && each.begun > this->now) return;
		CrashRecord end{each.fingerprint, incarnation};
		this->stored.push_back(end);
		this->quarantines[each.instance].Add(end, this->now);
		for (size_t i = 0; i < this->layout.instances; i++) {
			if (i == each.instance) continue;
			this->news.push_back({this->now + FromSeconds(this->Draw() * Seconds(this->layout.longest_news)), i, end});
		}
	}

	QuarantineLayout layout;                       ///< Parameters of the simulation.
	pcg64 random;                                  ///< Random number generator.
	TimePoint now{std::chrono::hours(1)};          ///< Simulated time.
	std::vector<Quarantine> quarantines;           ///< Quarantine of each instance.
	std::vector<uint64_t> lives;                   ///< Incarnation of each instance.
	std::vector<TimePoint> started;                ///< Start time of each instance.
	std::vector<TimePoint> up;                     ///< Time from which each target is up.
	std::vector<Sent> sent;                        ///< Requests at targets that started recently or have not started.
	std::vector<News> news;                        ///< Crash records on their way.
	std::vector<CrashRecord> stored;               ///< Crash records in the store.
	std::optional<TimePoint> third;                ///< Time of the third crash caused by the request.
	TimePoint next_crasher{std::chrono::hours(1)}; ///< Time at which the crashing request is sent next.
	uint64_t last_print = 1000;                    ///< Fingerprint of the newest innocent request.
	QuarantineDay day;                             ///< Result of the simulation.
};

} // namespace

QuarantineDay PlayQuarantineDay(const QuarantineLayout &layout, uint64_t seed)
{
	return World(layout, seed).Play();
}

} // namespace cottonspool
