/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file stream_relay.h A generation passed on event by event, which goes on elsewhere when its engine leaves. */

#pragma once

#include "gateway/relay_call.h"
#include "generation/event_splitter.h"
#include "platform/wire_engine.h"

namespace cottonspool {

/**
 * One generation. When its engine is to leave, the run's memory is copied to another engine while it goes on; then the
 * other engine is asked to continue, and the old run is given up once the request is on its way. Events are passed on by
 * their numbers, each once and in order, whichever engine they come from.
 */
class StreamRelay : public RelayCall {
public:
	using RelayCall::RelayCall;

	void OnTick(TimePoint now) override;
	void OnTargetDraining(TimePoint now) override;

protected:
	bool OnHead(uint64_t from, const HttpHead &head) override;
	void OnBody(uint64_t from, std::string_view bytes) override;
	void OnEnd(uint64_t from, UpstreamEnd end, const char *cause) override;
	void CancelAuxiliaryCalls() override;
	bool HasSend() const override { return this->upstream_call != 0 || this->move.resume_call != 0; }
	RunStage Stage() const override;

private:
	/** How far a move to another engine has come. */
	enum class MigrationPhase : uint8_t {
		None,     ///< Not moving.
		Copying,  ///< The memory is being copied.
		Resuming, ///< The other engine was asked to go on.
	};

	/** A move to another engine. */
	struct Migration {
		MigrationPhase phase = MigrationPhase::None; ///< How far it is.
		TargetNumber to;                             ///< Engine that it goes to.
		std::string handle;                          ///< Name of the copy, at the old engine; empty while there is none.
		uint64_t copied_events = 0;                  ///< Events that the copy holds the memory of.
		std::vector<TargetNumber> refused;           ///< Engines without room.
		std::optional<TimePoint> copy_not_before;    ///< When the link is expected to be free for it; nothing before the engine's notice.
		TimePoint begun;                             ///< When the copy was asked for.
		TimePoint not_before;                        ///< Earliest next try.
		uint64_t call = 0;                           ///< Call under way that copies.
		uint64_t resume_call = 0;                    ///< Call under way that goes on.
		std::optional<TargetNumber> backup;          ///< Engine that keeps a copy of the run once it goes on.
		uint32_t tries = 0;                          ///< Copies asked for.
		bool counted = false;                        ///< What the copy takes at the other engine is counted there.
	};

	void ForwardEvents();
	void ForwardEvent(const RawEvent &event, TimePoint now);
	void Finish();
	void StartAnswer(const HttpHead &head);
	void ForwardErrorAnswer();
	void TryMigrate(TimePoint now);
	/** @return Time until the copies of other runs that leave the same engine are nearly done. */
	Duration MigrationCopyDelay() const;
	void OnCopied(const MigrationAnswer &answer);
	/** @return Whether the run may still go on at \a to: that engine may have left, turned cold, or its hall been emptied meanwhile. */
	bool MayResumeAt(TargetNumber to) const;
	void DiscardCopy();
	void ResetMigration();
	void CancelSource();
	void Resume(const ResumePoint &point, TimePoint now);
	bool ResumeFromBackup(const char *why, TimePoint now);
	bool IsStalled(TimePoint now) const;
	bool OnResumeHead(const HttpHead &head);
	void OnResumeEnd(UpstreamEnd end, const char *cause);
	void OnRunEnd(UpstreamEnd end, const char *cause);
	void SwitchToNewEngine();
	void FailMigration(const char *why, Duration pause);
	void FailRun(const char *cause);
	void UpdateFlowControl();
	void LogMigration(const char *step, const char *result);

	EventSplitter splitter;        ///< Events of the engine that is being followed.
	HttpHead answer_head;          ///< Head of an answer that is no stream.
	std::string answer_body;       ///< Its body.
	bool streaming = false;        ///< The engine is sending events.
	TimePoint streaming_since;     ///< Since when: it has begun the run then.
	bool has_event = false;        ///< An event was passed on.
	uint64_t last_event = 0;       ///< Number of the last one.
	uint64_t events = 0;           ///< Events passed on.
	TimePoint last_event_at;       ///< When it was passed on.
	Duration first_event_after{0}; ///< Time from the request to the first event.
	Duration longest_gap{0};       ///< Longest pause between events.
	bool paused = false;           ///< The engine is not being read, since the caller reads slowly.
	Migration move;                ///< Move under way.
	uint32_t moves = 0;            ///< Moves done.
};

} // namespace cottonspool
