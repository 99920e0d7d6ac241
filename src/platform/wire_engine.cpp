/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_engine.cpp Auxiliary calls to targets. */

#include "platform/wire_engine.h"
#include "platform/json_func.h"

namespace cottonspool {

std::optional<EngineReport> DecodeReport(const std::string &text)
{
	Json root = Json::parse(text, nullptr, false);
	if (!root.is_object()) return std::nullopt;
	EngineReport report;
	report.running = SmallCountOf(root, "running");
	report.waiting = SmallCountOf(root, "queued");
	report.used_tokens = CountOf(root, "kvUsed");
	report.memory_tokens = CountOf(root, "kvTotal");
	// In a report, this field holds the number of prompt tokens of the first waiting request.
	report.waiting_tokens = CountOf(root, "nextPageToken");
	report.leaving = TextOf(root, "state") == "draining";
	report.born = CountOf(root, "born");
	if (root.contains("leaves_ms")) report.leaves_in = MillisecondsOf(root, "leaves_ms");
	return report;
}

MoveAnswer DecodeMove(int status, const std::string &text)
{
	Json root = Json::parse(text, nullptr, false);
	MoveAnswer answer;
	if (root.is_object()) {
		answer.handle = TextOf(root, "handle");
		// In this answer, the field holds the number of events that the run has produced.
		answer.events = CountOf(root, "createdRev");
	}
	switch (status) {
	case 200:
		answer.kind = answer.handle.empty() ? MoveAnswer::Kind::NoAnswer : MoveAnswer::Kind::Copied;
		break;
	case 404:
		answer.kind = MoveAnswer::Kind::NoRun;
		break;
	case 409:
		answer.kind = MoveAnswer::Kind::Busy;
		break;
	case 503:
		answer.kind = MoveAnswer::Kind::NoRoom;
		break;
	default:
		break;
	}
	return answer;
}

static constexpr size_t MAX_REPORT_BYTES = 64U << 10; ///< Part of an answer that is parsed.

const char *const REPORT_PATH = "/-/report";

const char *LifeSignName(LifeSign sign)
{
	static constexpr const char *NAMES[] = {"answered", "other-life", "refused", "broken"};
	return NAMES[static_cast<size_t>(sign)];
}

/** An answer that is collected in memory. */
struct WholeAnswer {
	int status = 0;   ///< HTTP status; 0 if the answer is incomplete.
	std::string body; ///< Body.
};

/** Set the callbacks of \a call so that it collects the answer and passes it to \a done. */
static void Collect(UpstreamCall &call, std::function<void(const WholeAnswer &)> done)
{
	auto answer = std::make_shared<WholeAnswer>();
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
	Collect(call,
	        [done = std::move(done)](const WholeAnswer &answer) { done(answer.status == 200 ? DecodeReport(answer.body) : std::nullopt); });
	return call;
}

UpstreamCall MakeLifeCall(const Endpoint &to, const TargetLife &life, const std::string &path, std::function<void(LifeSign)> done)
{
	/** State of the probe. */
	struct Told {
		LifeSign sign = LifeSign::Broken; ///< Result according to the answer so far.
		std::string body;                 ///< Body of the answer, up to MAX_REPORT_BYTES.
	};
	auto told = std::make_shared<Told>();
	UpstreamCall call;
	call.to = to;
	call.peer = life.Name();
	call.target = path;
	call.headers = {{"Host", to.Text()}};
	call.reuse_rest = Duration(0);
	call.on_head = [told, life](const HttpHead &head) {
		std::string_view id = FindHeader(head.headers, "X-Instance-Id");
		told->sign = id.empty() || id == life.id ? LifeSign::Answered : LifeSign::OtherLife;
		return true;
	};
	call.on_body = [told](std::string_view bytes) {
		if (told->body.size() < MAX_REPORT_BYTES) told->body.append(bytes);
	};
	call.on_end = [told, life, done = std::move(done)](UpstreamEnd end, const char *) {
		Json root = Json::parse(told->body, nullptr, false);
		if (root.is_object() && life.IsOther(CountOf(root, "born"))) told->sign = LifeSign::OtherLife;
		done(end == UpstreamEnd::Refused ? LifeSign::Refused : told->sign);
	};
	return call;
}

UpstreamCall MakeMoveCall(const Endpoint &to, const std::string &peer, const std::string &attempt, const std::string &copy_to, bool stop,
                          std::function<void(const MoveAnswer &)> done)
{
	UpstreamCall call;
	call.to = to;
	call.peer = peer;
	call.method = "POST";
	call.target = "/-/kv-move";
	call.headers = {{"Host", to.Text()}, {"Content-Type", "application/json"}};
	// In this call, "targetVersion" holds the address of the engine that receives the copy.
	call.body = Json{{"id", attempt}, {"targetVersion", copy_to}, {"last", stop}}.dump();
	Collect(call, [done = std::move(done)](const WholeAnswer &answer) { done(DecodeMove(answer.status, answer.body)); });
	return call;
}

UpstreamCall MakeDropCall(const Endpoint &to, const std::string &peer, const std::string &handle)
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
