/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file stream_relay.h A generation that is streamed to the caller and migrates to another engine when its engine drains. */

#pragma once

#include "gateway/relay_call.h"
#include "gateway/source_run_type.h"
#include "generation/event_splitter.h"
#include "platform/wire_engine.h"

namespace cottonspool {

/**
 * One streamed generation. When its engine drains, the KV cache of the run is copied to another engine while the run continues. Then
 * the old engine is asked to stop the run and to copy the rest, and the new engine to resume it. Events are forwarded by their numbers,
 * each once and in order, whichever engine they come from.
 */
class StreamRelay : public RelayCall {
public:
	StreamRelay(Gateway &gateway, std::shared_ptr<FrontExchange> exchange, RelayRequest request);

	void OnTick(TimePoint now) override;
	void OnTargetDraining(TimePoint now) override;

protected:
	bool OnHead(uint64_t from, const HttpHead &head) override;
	void OnBody(uint64_t from, std::string_view bytes) override;
	void OnEnd(uint64_t from, UpstreamEnd end, const char *cause) override;
	void CancelAuxiliaryCalls() override;
	void UpdateFlowControl() override;
	bool HasSend() const override { return this->upstream_call != 0 || this->migration.resume_call != 0; }
	RunStage Stage() const override;
	bool IsReadingPaused() const override { return this->held_back || this->paused; }
	TimePoint LastProgress() const override { return this->has_event ? this->last_event_at : this->sent_at; }

private:
	/** Phases of a migration to another engine. */
	enum class MigrationPhase : uint8_t {
		None,     ///< No migration in progress.
		Copying,  ///< The KV cache is being copied while the run continues.
		Stopping, ///< The old engine was asked to stop the run and to copy the rest.
		Resuming, ///< The new engine was asked to resume the run.
	};

	/** End of a stream after the request to stop its run, which the answer to that request explains. */
	enum class SourceEnd : uint8_t {
		Judged, ///< It has not ended since, or ended before.
		Whole,  ///< In order and after a whole event: the run is complete, or was stopped.
		Broken, ///< Otherwise: the run was stopped, or its engine has failed.
	};

	/** A migration to another engine. */
	struct Migration {
		MigrationPhase phase = MigrationPhase::None;
		TargetNumber to;            ///< New engine.
		std::string handle;         ///< Name of the copy at the old engine; empty while there is none.
		std::string used_handle;    ///< Name of the copy with which the new engine was asked to resume; empty for a backup.
		uint64_t copied_events = 0; ///< Events whose KV cache is in the copy.
		std::optional<TimePoint>
		        copy_not_before;              ///< When the engine's network should be free for this copy; nothing before the drain notice.
		TimePoint started_at;                 ///< When the copy was requested.
		uint64_t copy_call = 0;               ///< Copy request in progress; 0 for none.
		uint64_t resume_call = 0;             ///< Resume request in progress; 0 for none.
		std::optional<TargetNumber> backup;   ///< Engine that keeps a copy of the run after the migration.
		uint32_t copies_requested = 0;        ///< Copies requested.
		bool counted = false;                 ///< Whether the copy's memory is counted at the new engine.
		SourceRun source = SourceRun::MayRun; ///< What is known of the run at the old engine.
		SourceEnd end = SourceEnd::Judged;    ///< How the stream of the old engine ended after the request to stop.
		TimePoint stop_asked_at;              ///< When the old engine was last asked to stop the run.
	};

	/** Forward the complete events received so far. */
	void ForwardEvents();
	/** Forward \a event unless it was forwarded before. */
	void ForwardEvent(const RawEvent &event, TimePoint now);
	/** Finish the answer after the last event. */
	void Finish();
	/** Start the answer to the caller. */
	void StartAnswer(const HttpHead &head);
	/** @return Whether the end of the engine's answer is marked by a length or by chunks. */
	bool IsFramed() const { return this->answer_head.chunked || this->answer_head.length; }
	/** Handle a complete answer that is not a stream. */
	void ForwardErrorAnswer();
	/** Start to migrate the run if its engine drains and another one has headroom. */
	void TryMigrate(TimePoint now);
	/** @return The engine to migrate to, or nothing while none has headroom. */
	std::optional<TargetNumber> ChooseMigrationTarget(TimePoint now);
	/** Request the copy of the run to the engine \a to. */
	void RequestCopy(TargetNumber to, TimePoint now);
	/** @return Time until the earlier copies from the same engine are almost done. */
	Duration MigrationCopyDelay(TimePoint now) const;
	/** The copy request has ended: resume the run at the new engine, or try again later. */
	void OnCopied(const MigrationAnswer &answer);
	/** @return Whether the run may resume at \a to; that engine or its hall may have become unavailable during the copy. */
	bool MayResumeAt(TargetNumber to) const;
	/** Release a finished copy whose engine can no longer be used. */
	void DiscardCopy();
	/** Ask the old engine to release the copy, if there is one. */
	void ReleaseCopy();
	/** Request a copy of the run at the new engine. @param stop Stop the run first, so that the copy is complete. */
	void StartCopyCall(bool stop);
	/** Ask the old engine to stop the run and to copy the rest of its KV cache. */
	void StopSource(TimePoint now);
	/** Ask again if that request failed or was not answered in time. */
	void RepeatStop(TimePoint now);
	/** The old engine has answered that request; NoAnswer if it did not. */
	void OnStopAnswer(const MigrationAnswer &answer);
	/** The run has ended at the old engine, as \a source tells. */
	void OnSourceEnded(SourceRun source);
	/** Ask the new engine to resume the run from the copy. */
	void ResumeFromCopy();
	/** The new engine refuses the run before the copy is complete: wait for that. */
	void AwaitCopy(const char *cause);
	/** @return Whether the old engine was asked to stop the run, so that the end of its stream says nothing about the answer's end. */
	bool IsBeingStopped() const;
	/** The stream of a run that is being stopped has ended. @param whole It ended in order, after a whole event. */
	void OnStoppedStreamEnd(bool whole, const char *cause);
	/** The run was resumed from a backup, and its previous engine may work on: ask it to stop. */
	void StopAbandonedRun();
	/** The new engine has rejected the stopped run: resume it where it was. @return False if the engine's end is too near. */
	bool ResumeAtSource(TimePoint now);
	/** Forget the migration. */
	void ResetMigration();
	/** Close the stream of the old run once the new engine is connected. */
	void CancelSource();
	/** Ask the new engine to resume the run at \a point. */
	void Resume(const ResumePoint &point, TimePoint now);
	/** Resume the run from the copy at another engine. @return False if there is none that can be used. */
	bool ResumeFromBackup(const char *why, TimePoint now);
	/** @return Whether the engine has been silent for too long and a copy of the run exists. */
	bool IsStalled(TimePoint now) const;
	/** The new engine answers. @return False if the answer belongs to another request. */
	bool OnResumeHead(const HttpHead &head);
	/** The resume request has ended before the new engine took over. */
	void OnResumeEnd(UpstreamEnd end, const char *cause);
	/** The current call has ended. */
	void OnRunEnd(UpstreamEnd end, const char *cause);
	/** Continue with the stream of the new engine. */
	void SwitchToNewEngine();
	/** Give this attempt to migrate up; the schedule says when the next one is due. */
	void FailMigration(const char *why);
	/** Fail the request, as its run is lost. */
	void FailRun(const char *cause);
	/** Log a step of the migration. */
	void LogMigration(const char *step, const char *result);

	EventSplitter splitter; ///< Splits the stream of the current engine into events.
	HttpHead answer_head;   ///< Head of an answer that is not a stream.
	std::string answer_body;
	bool streaming = false;        ///< Whether the engine is sending events.
	TimePoint streaming_since;     ///< When the stream started.
	bool has_event = false;        ///< Whether an event was forwarded.
	uint64_t last_event = 0;       ///< Number of the last forwarded event.
	uint64_t events = 0;           ///< Events forwarded.
	TimePoint last_event_at;       ///< When the last event was forwarded.
	Duration first_event_after{0}; ///< Time from the request's arrival to the first event.
	Duration longest_gap{0};       ///< Longest pause between events.
	bool survived = false;         ///< Whether the run has shown that it does not crash its engine.
	bool paused = false;           ///< Reading from the engine is paused, as the caller reads slowly or memory is scarce.
	Migration migration;           ///< Migration in progress.
	MigrationSchedule schedule;    ///< When the next copy is requested.
	TimePoint leaving_since;       ///< When the run's engine was first seen draining.
	uint32_t migrations = 0;       ///< Completed migrations.
};

} // namespace cottonspool
