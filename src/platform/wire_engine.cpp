/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_engine.cpp Auxiliary calls to targets. */

#include "platform/wire_engine.h"
#include "configuration/json_text.h"
#include "platform/json_func.h"
#include "platform/wire_request.h"

namespace cottonspool {

std::optional<EngineReport> DecodeReport(const std::string &text)
{
	Json root = Json::parse(text, nullptr, false);
	if (!root.is_object()) return std::nullopt;
	EngineReport report;
	report.running = Uint32Field(root, "running");
	report.waiting = Uint32Field(root, "queued");
	report.used_tokens = UintField(root, "kvUsed");
	report.memory_tokens = UintField(root, "kvTotal");
	// In a report, this field holds the number of prompt tokens of the first waiting request.
	report.waiting_tokens = UintField(root, "nextPageToken");
	report.draining = StringField(root, "state") == "draining";
	report.started_ms = UintField(root, "born");
	if (root.contains("leaves_ms")) report.shutdown_in = MillisecondsField(root, "leaves_ms");
	return report;
}

MigrationAnswer DecodeMigrationAnswer(int status, const std::string &text)
{
	Json root = Json::parse(text, nullptr, false);
	MigrationAnswer answer;
	if (root.is_object()) {
		answer.handle = StringField(root, "handle");
		// In this answer, the field holds the number of events that the run has produced.
		answer.events = UintField(root, "createdRev");
	}
	switch (status) {
	case 200:
		answer.kind = answer.handle.empty() ? MigrationAnswer::Kind::NoAnswer : MigrationAnswer::Kind::Copied;
		break;
	case 404:
		answer.kind = MigrationAnswer::Kind::NoRun;
		break;
	case 409:
		answer.kind = MigrationAnswer::Kind::Busy;
		break;
	case 503:
		answer.kind = MigrationAnswer::Kind::NoCapacity;
		break;
	default:
		break;
	}
	return answer;
}

static constexpr size_t MAX_REPORT_BYTES = 64U << 10; ///< Part of an answer that is parsed.
/** Size limit of the answer to any call that is not a caller's request. */
static constexpr AnswerLimits CONTROL_ANSWER_LIMITS{.max_body_bytes = 1U << 20};

const char *const REPORT_PATH = "/-/report";

const char *ProbeResultName(ProbeResult result)
{
	static constexpr const char *NAMES[] = {"answered", "other-life", "refused", "broken"};
	return NAMES[static_cast<size_t>(result)];
}

/** An answer that is collected in memory. */
struct CollectedAnswer {
	int status = 0;   ///< HTTP status; 0 if the answer is incomplete.
	std::string body; ///< Body.
};

/** Set the callbacks of \a call so that it collects the answer and passes it to \a done. */
static void Collect(UpstreamCall &call, std::function<void(const CollectedAnswer &)> done)
{
	auto answer = std::make_shared<CollectedAnswer>();
	call.limits = CONTROL_ANSWER_LIMITS;
	call.on_head = [answer](const HttpHead &head) {
		answer->status = head.status;
		return true;
	};
	call.on_body = [answer](std::string_view bytes) { answer->body.append(bytes); };
	call.on_end = [answer, done = std::move(done)](UpstreamEnd end, const char *) {
		if (end != UpstreamEnd::Complete) answer->status = 0;
		done(*answer);
	};
}

UpstreamCall MakeReportCall(const Endpoint &to, const std::string &peer, std::function<void(std::optional<EngineReport>)> done)
{
	UpstreamCall call;
	call.to = to;
	call.peer = peer;
	call.target = REPORT_PATH;
	call.headers = {{"Host", to.Text()}};
	Collect(call, [done = std::move(done)](const CollectedAnswer &answer) {
		done(answer.status == 200 ? DecodeReport(answer.body) : std::nullopt);
	});
	return call;
}

UpstreamCall MakeProbeCall(const Endpoint &to, const TargetIncarnation &incarnation, const std::string &path,
                           std::function<void(ProbeResult)> done)
{
	/** State of the probe. */
	struct ProbeState {
		ProbeResult result = ProbeResult::Broken; ///< Result according to the answer so far.
		std::string body;                         ///< Body of the answer, up to MAX_REPORT_BYTES.
	};
	auto probe = std::make_shared<ProbeState>();
	UpstreamCall call;
	call.to = to;
	call.peer = incarnation.Name();
	call.target = path;
	call.headers = {{"Host", to.Text()}};
	call.max_reuse_idle = Duration(0);
	call.limits = CONTROL_ANSWER_LIMITS;
	call.on_head = [probe, incarnation](const HttpHead &head) {
		std::string_view id = FindHeader(head.headers, "X-Instance-Id");
		probe->result = id.empty() || id == incarnation.id ? ProbeResult::Answered : ProbeResult::OtherIncarnation;
		return true;
	};
	call.on_body = [probe](std::string_view bytes) {
		if (probe->body.size() < MAX_REPORT_BYTES) probe->body.append(bytes);
	};
	call.on_end = [probe, incarnation, done = std::move(done)](UpstreamEnd end, const char *) {
		Json root = Json::parse(probe->body, nullptr, false);
		if (root.is_object() && incarnation.IsOtherIncarnation(UintField(root, "born"))) probe->result = ProbeResult::OtherIncarnation;
		done(end == UpstreamEnd::Refused ? ProbeResult::Refused : probe->result);
	};
	return call;
}

UpstreamCall MakeSpeedCall(const Endpoint &to, const TargetIncarnation &incarnation, const std::string &path,
                           std::function<void(std::optional<double>)> done)
{
	auto factor = std::make_shared<std::optional<double>>();
	UpstreamCall call;
	call.to = to;
	call.peer = incarnation.Name();
	call.target = path;
	call.headers = {{"Host", to.Text()}};
	call.on_head = [factor, incarnation](const HttpHead &head) {
		// Answers to health checks name the target; not all of them have its stamp.
		std::string_view id = FindHeader(head.headers, "X-Instance-Id");
		bool own = id == incarnation.id || (id.empty() && ReadAnswer(head).stamped);
		if (own && head.status != 421) *factor = ReadTimeFactor(head);
		return true;
	};
	call.on_end = [factor, done = std::move(done)](UpstreamEnd end, const char *) {
		done(end == UpstreamEnd::Complete ? *factor : std::nullopt);
	};
	return call;
}

UpstreamCall MakeMigrationCall(const Endpoint &to, const std::string &peer, const std::string &attempt, const std::string &copy_to,
                               bool stop, std::function<void(const MigrationAnswer &)> done)
{
	UpstreamCall call;
	call.to = to;
	call.peer = peer;
	call.method = "POST";
	call.target = "/-/kv-move";
	call.headers = {{"Host", to.Text()}, {"Content-Type", "application/json"}};
	// In this call, "targetVersion" holds the address of the engine that receives the copy.
	call.body = ToJsonText(Json{{"id", attempt}, {"targetVersion", copy_to}, {"last", stop}});
	Collect(call, [done = std::move(done)](const CollectedAnswer &answer) { done(DecodeMigrationAnswer(answer.status, answer.body)); });
	return call;
}

bool CanNameRun(const std::string &attempt)
{
	return IsJsonText(attempt);
}

UpstreamCall MakeReleaseCall(const Endpoint &to, const std::string &peer, const std::string &handle)
{
	UpstreamCall call;
	call.to = to;
	call.peer = peer;
	call.method = "DELETE";
	call.target = "/-/kv-handle/" + handle;
	call.headers = {{"Host", to.Text()}};
	return call;
}

} // namespace cottonspool
