/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine_world.cpp Instances, targets and a request that ends each target which begins it. */

#include "tests/quarantine_world.h"
#include <algorithm>
#include <random>

namespace cottonspool {

static constexpr Duration STEP = std::chrono::milliseconds(10);
static constexpr Duration YOUNG = std::chrono::seconds(2);             ///< Time for which a run that has begun may have ended its target.
static constexpr Duration BACK = std::chrono::milliseconds(2500);      ///< Time until a target is back.
static constexpr Duration CAUGHT_UP = std::chrono::milliseconds(1400); ///< Time until an instance that starts knows the ends.
static constexpr RequestFingerprint CRASHER{1};                        ///< The request that ends targets.

namespace {

/** A request at a target. */
struct Sent {
	RequestFingerprint fingerprint; ///< Request.
	size_t instance = 0;            ///< Instance that sent it.
	uint64_t incarnation = 0;       ///< Life of that instance.
	size_t target = 0;              ///< Target.
	TimePoint begun;                ///< When the target begins it.
	uint32_t tries = 1;             ///< How often its caller has sent it.
};

/** An end on its way to an instance. */
struct News {
	TimePoint at;        ///< When it arrives.
	size_t instance = 0; ///< Who gets it.
	CrashRecord end;     ///< End.
};

/** The world of a day. */
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

	/** What the instance that sent \a each makes of the end: where some had begun, those that had not are out of it. */
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

	QuarantineLayout layout;                       ///< Layout.
	pcg64 random;                                  ///< Chance.
	TimePoint now{std::chrono::hours(1)};          ///< Clock.
	std::vector<Quarantine> quarantines;           ///< What each instance holds against requests.
	std::vector<uint64_t> lives;                   ///< Life of each instance.
	std::vector<TimePoint> started;                ///< When it began.
	std::vector<TimePoint> up;                     ///< From when on each target is there.
	std::vector<Sent> sent;                        ///< Requests at targets that have begun lately, or not yet.
	std::vector<News> news;                        ///< Ends on their way.
	std::vector<CrashRecord> stored;               ///< Ends in the store.
	std::optional<TimePoint> third;                ///< When the third target ended under the request.
	TimePoint next_crasher{std::chrono::hours(1)}; ///< When the request comes next.
	uint64_t last_print = 1000;                    ///< Newest innocent request.
	QuarantineDay day;                             ///< What came of it.
};

} // namespace

QuarantineDay PlayQuarantineDay(const QuarantineLayout &layout, uint64_t seed)
{
	return World(layout, seed).Play();
}

} // namespace cottonspool
