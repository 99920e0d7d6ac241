/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file end_watch.h Finds out whether a target that broke sends off has ended, and which requests it had just begun. */

#pragma once

#include "decision/request_print.h"
#include "platform/wire_engine.h"
#include <map>

namespace cottonspool {

/** A send that its target broke off. */
struct BrokenSend {
	RequestPrint print;  ///< The request.
	std::string request; ///< Id of this try, for logs.
	bool begun = false;  ///< The target had begun to run it, shortly before.
};

/** Target that broke a send off. */
struct BrokenTarget {
	std::string name; ///< Name.
	Endpoint address; ///< Where it was.
	std::string path; ///< What it answers without doing work.
	std::string life; ///< Its life, as told to other instances.
};

/** What was found out about a target that broke sends off. */
struct TargetCheck {
	BrokenTarget target;           ///< Target.
	std::optional<LifeSign> sign;  ///< What came of asking it; nothing if it stayed silent.
	std::vector<BrokenSend> sends; ///< Sends that it broke off and that may have ended it.
	std::vector<BrokenSend> clear; ///< Sends that it broke off and that have not ended it: others had begun there.
	Duration took{0};              ///< Time from the first of them to the finding.

	/** @return Whether it has ended: a target that stays silent may as well be cut off, or frozen. */
	bool HasEnded() const { return this->sign == LifeSign::Refused || this->sign == LifeSign::OtherLife; }
};

/** Asks each target that breaks a send off for a sign of life, once for all sends that it breaks off together. */
class EndWatch {
public:
	using Handler = std::function<void(const TargetCheck &)>;

	EndWatch(HttpUpstream &upstream, Duration limit, Handler handler) : upstream(upstream), limit(limit), handler(std::move(handler)) {}

	/** \a target broke \a send off. */
	void OnBroken(const BrokenTarget &target, BrokenSend send, TimePoint now);

	/** Time has passed; to be called some times a second. */
	void OnTick(TimePoint now);

private:
	/** A check under way. */
	struct Pending {
		TargetCheck check;  ///< What is known of it.
		TimePoint begun;    ///< When it began.
		uint64_t call = 0;  ///< Call under way.
		uint64_t token = 0; ///< Tells its answer from that of an earlier check of the same target.
	};

	void OnSign(const std::string &name, uint64_t token, LifeSign sign);
	void Conclude(const std::string &name, TimePoint now);

	HttpUpstream &upstream;                 ///< Calls to targets.
	Duration limit;                         ///< Longest wait for a sign of life.
	Handler handler;                        ///< Gets what was found out.
	std::map<std::string, Pending> pending; ///< Checks under way by target.
	uint64_t next_token = 1;                ///< Number of the next check.
};

} // namespace cottonspool
