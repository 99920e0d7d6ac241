/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file platform_test.cpp Guards against wrong decoding and encoding of the platform's formats, also of invalid input. */

#include "configuration/json_text.h"
#include "generation/event_splitter.h"
#include "metrics/line_buffer.h"
#include "platform/json_func.h"
#include "platform/node_settings.h"
#include "platform/wire_configuration.h"
#include "platform/wire_engine.h"
#include "platform/wire_request.h"
#include "platform/wire_store.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <unistd.h>

using namespace cottonspool;

static const char *const SETTINGS = R"({"nodeName":"n1","zone":"hall-a","ip":"127.0.0.1","zones":{"hall-a":"r","hall-b":"r"},
"listen":{"front":"127.0.0.1:80","ready":"127.0.0.1:81"},"internalPorts":[7200,7215],"heartbeatMs":900,"unknown":{"x":1},
"limits":{"memoryMb":110},"bounds":{"drainMs":1500,"evacuateMs":4000,"graceS":7,"retryBudgetRatio":0.3,"retrySlack":40},"platform":{"address":"127.0.0.1:90"}})";

TEST_CASE("Platform settings - are parsed, and unknown fields are ignored")
{
	Result<NodeSettings> read = ParseNodeSettings(SETTINGS, "file");
	REQUIRE(read);
	CHECK(read.value().name == "n1");
	CHECK(read.value().halls.size() == 2);
	CHECK(read.value().halls.at("hall-b") == "r");
	CHECK(read.value().platform_bounds.empty == std::chrono::milliseconds(4000));
	CHECK(read.value().store.port == 90);
	CHECK(read.value().first_port == 7200);
	CHECK(read.value().platform_bounds.drain == std::chrono::milliseconds(1500));
	CHECK(read.value().platform_bounds.stop_grace == std::chrono::seconds(7));
	CHECK(read.value().platform_bounds.retry_ratio == doctest::Approx(0.3));
}

TEST_CASE("Platform settings - an error names the file and the field")
{
	for (const char *bad : {"", "[]", "{}", R"({"nodeName":1})"}) CHECK(!ParseNodeSettings(bad, "file"));
	std::string text = SETTINGS;
	text.replace(text.find("127.0.0.1:90"), 12, "nowhere");
	Result<NodeSettings> read = ParseNodeSettings(text, "file");
	REQUIRE(!read);
	CHECK(read.error().peer == "file");
	CHECK(read.error().message.find("/platform/address") != std::string::npos);
}

TEST_CASE("Platform configuration - routes, pools, limits and accounts are decoded")
{
	Result<ServingConfiguration> read = DecodeConfiguration(R"({"version":7,"routes":[
	{"name":"s","host":"h","pathPrefix":"/a/","routeType":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":1,
	 "weightedServices":[{"service":"p","weight":90},{"service":"q","weight":10}],"maxAttempts":1,"public":false,"gapAimMs":180,"allowedRegions":["r1","r2"]},
	{"name":"o","host":"h","pathPrefix":"/b/","routeType":"something-new","service":"q","public":true}],
	"services":[{"name":"p","coldStartS":1.5,"coldPerS":25.0,"engine":{"capacity":64,"kvTokenCapacity":34545,"stride":4,"moves":true,"backups":true}},{"name":"q"}],
	"limits":{"maxBodyBytes":100,"idleTimeoutMs":15000},"tenants":[{"name":"t","apiKeys":["k"],"priority":2,"allowedRegions":["r2"]}]})");
	REQUIRE(read);
	const ServingConfiguration &configuration = read.value();
	CHECK(configuration.version == 7);
	CHECK(configuration.routes[0].kind == RouteType::Stream);
	CHECK(configuration.routes[0].pools.size() == 2);
	CHECK(configuration.routes[0].gap_objective == std::chrono::milliseconds(180));
	CHECK(configuration.routes[1].kind == RouteType::Once);
	CHECK(!configuration.routes[1].requires_key);
	CHECK(configuration.pools[0].engine->tokens_per_event == 4);
	CHECK(configuration.pools[0].engine->can_migrate);
	CHECK(!configuration.pools[1].engine);
	CHECK(configuration.limits.max_body_bytes == 100);
	CHECK(configuration.accounts[0].priority_level == 2);
	CHECK(configuration.routes[0].home_regions == std::vector<std::string>{"r1", "r2"});
	CHECK(configuration.routes[1].home_regions.empty());
	CHECK(configuration.accounts[0].home_regions == std::vector<std::string>{"r2"});
	CHECK(configuration.pools[0].cold_start == std::chrono::milliseconds(1500));
	CHECK(configuration.pools[0].cold_rate == doctest::Approx(25));
	CHECK(EvacuatedHallOf("evacuate/hall-a") == "hall-a");
	CHECK(!EvacuatedHallOf("config"));
	CHECK(!DecodeConfiguration("no json"));
	for (const char *text :
	     {"{}", R"({"version":3})", R"({"version":3,"routes":{},"services":[]})", R"({"version":"3","routes":[],"services":[]})"})
		CHECK_FALSE(DecodeConfiguration(text));
}

TEST_CASE("Platform decoders - arbitrary bytes lead to a value or an error")
{
	bool good = rc::check("bytes", [](const std::string &text) {
		(void)DecodeConfiguration(text);
		(void)DecodeTargetRow({"key", text, 1, false});
		(void)DecodeReport(text);
		(void)DecodeMigrationAnswer(200, text);
		(void)DecodeRows(200, text);
		(void)ParseNodeSettings(text, "file");
		HttpHead head;
		for (const char *name : {"X-Token-Count", "X-Prompt-Prefix", "X-Server-Load", "X-Deadline-Ms", "Authorization"}) {
			head.headers.push_back({name, text});
		}
		(void)ReadRequest(head);
		(void)ReadAnswer(head);
	});
	CHECK(good);
}

TEST_CASE("Platform rows - an invalid row is no target, and does not affect other rows")
{
	const std::string good =
	        R"({"service":"a","address":"10.0.0.1:80","zone":"z","capacity":4,"state":"ready","coldRemainingMs":0,"sequence":1})";
	CHECK(DecodeTargetRow({"i-1", good, 1, false}).value().target->incarnation == TargetIncarnation{"i-1", 0});
	auto changed = [&](const std::string &from, const std::string &to) {
		std::string text = good;
		text.replace(text.find(from), from.size(), to);
		return text;
	};
	for (const std::string &invalid_row :
	     {changed("\"a\"", "5"), changed("\"service\":\"a\",", ""), changed("10.0.0.1:80", "nowhere"), changed("\"z\"", "null"),
	      changed("4", "\"4\""), changed("4", "0"), changed("ready", "warming"), changed("\"ready\"", "true"),
	      changed(",\"sequence\":1", ""), changed("Ms\":0", "Ms\":[]"), changed("}", ",\"born\":\"x\"}"), changed("}", ",\"born\":-5}"),
	      changed("}", ",\"born\":1.5}"), std::string("\xff\x00\x01", 3), std::string("[]")}) {
		CAPTURE(invalid_row);
		CHECK_FALSE(DecodeTargetRow({"i-1", invalid_row, 1, false}));
	}
	CHECK(DecodeTargetRow({"i-1", changed("}", ",\"born\":1764723600123,\"new\":[1]}"), 1, false}).value().target->incarnation.started_ms ==
	      1764723600123);
	// Invalid base64, a missing value, an entry that is not an object, and a missing key, in one answer.
	RowsAnswer answer = DecodeRows(200, R"({"rows":[{"tlsKey":"a","value":"!!","ver":5},{"tlsKey":"b","ver":6},7,{"ver":8},
	{"tlsKey":"c","value":"e30=","ver":9}],"hasMore":false,"ver":9})");
	REQUIRE(answer.page);
	REQUIRE(answer.page->rows.size() == 3);
	CHECK(answer.page->rows[0].unreadable);
	CHECK(answer.page->rows[1].unreadable);
	CHECK_FALSE(answer.page->rows[2].unreadable);
	CHECK_FALSE(DecodeTargetRow(answer.page->rows[0]));
}

TEST_CASE("Platform numbers - numbers out of range are clamped")
{
	CHECK(ToInteger<uint32_t>(1e308) == UINT32_MAX);
	CHECK(ToInteger<uint32_t>(-5) == 0);
	CHECK(ToInteger<uint64_t>(1e23) == UINT64_MAX);
	CHECK(ToInteger<int>(-1e308) == INT32_MIN);
	CHECK(ToInteger<int>(std::nan("")) == 0);
	CHECK(ToInteger<uint32_t>(7.9) == 7);
}

TEST_CASE("Platform rows - are decoded from the store's answer")
{
	RowsAnswer answer = DecodeRows(200, R"({"rows":[{"table":"t","part":"","tlsKey":"a","value":"eyJ4IjoxfQ==","ver":5},
	{"tlsKey":"b","deleted":true,"ver":6}],"hasMore":true,"ver":9,"nowMs":1})");
	REQUIRE(answer.page);
	CHECK(answer.page->rows[0].value == R"({"x":1})");
	CHECK(answer.page->rows[1].deleted);
	CHECK(answer.page->more);
	CHECK(answer.page->version == 9);
	CHECK(DecodeRows(410, "").failure == StoreFailure::HistoryUnavailable);
	CHECK(DecodeRows(429, "").failure == StoreFailure::Refused);
	CHECK(DecodeRows(503, "").failure == StoreFailure::Refused);
	CHECK(DecodeRows(0, "").failure == StoreFailure::NoAnswer);
	CHECK(DecodeRows(200, "{").failure == StoreFailure::Malformed);
}

TEST_CASE("Platform requests - fields that only an instance may set are not forwarded from callers")
{
	HttpHeaders received{{"Host", "h"},
	                     {"X-Attempt-Id", "AbC"},
	                     {"x-tenant", "forged"},
	                     {"X-Expect-Instance", "forged"},
	                     {"Kv-From", "forged"},
	                     {"X-KV-Backup", "forged"},
	                     {"X-Hold", "forged"},
	                     {"X-Pin-Ms", "1"},
	                     {"X-Request-Urgency", "0"},
	                     {"X-Deadline-Ms", "99999"},
	                     {"Connection", "X-Extra"},
	                     {"X-Extra", "one hop"},
	                     {"Authorization", "Bearer k"},
	                     {"Transfer-Encoding", "chunked"},
	                     {"X-Model", "m"}};
	SendInfo info;
	info.remaining = std::chrono::milliseconds(1234);
	info.target = "i-1";
	info.account = "t";
	HttpHeaders sent = HeadersForTarget(received, info);
	std::string text;
	AppendHeaders(text, sent);
	CHECK(text.find("forged") == std::string::npos);
	CHECK(text.find("Bearer") == std::string::npos);
	CHECK(text.find("one hop") == std::string::npos);
	CHECK(FindHeader(sent, "X-Attempt-Id") == "AbC");
	CHECK(FindHeader(sent, "X-Model") == "m");
	CHECK(FindHeader(sent, "X-Deadline-Ms") == "1234");
	CHECK(FindHeader(sent, "X-Tenant") == "t");
	CHECK(FindHeader(sent, "X-Expect-Instance") == "i-1");
	CHECK(FindHeader(sent, "X-Request-Urgency").empty());
	info.resume = ResumePoint{"1.2.3.4:5", "h7", 42};
	sent = HeadersForTarget(received, info);
	CHECK(FindHeader(sent, "Kv-From") == "1.2.3.4:5/h7");
	CHECK(FindHeader(sent, "Last-Event-Id") == "42");
}

TEST_CASE("Platform requests - all shared parts of a prompt are read, and an invalid, overlong or surplus one does not affect the others")
{
	auto read = [](const std::string &parts) {
		HttpHead head;
		head.headers.push_back({"x-prompt-prefix", parts});
		return ReadRequest(head);
	};
	RequestInfo info = read("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
	CHECK(info.prompt_parts == std::vector<std::string>{"5c1e07a2", "91bd3f06"});
	CHECK_FALSE(info.parts_malformed);
	CHECK(read("e4402b7d:250").prompt_parts.empty());
	CHECK_FALSE(read("").parts_malformed);
	info = read("5c1e:800,,not hex:5," + std::string(100, 'a') + ":1,91bd,e440:250");
	CHECK(info.prompt_parts == std::vector<std::string>{"5c1e", "91bd"});
	CHECK(info.parts_malformed);
	std::string many;
	for (int i = 0; i < 1000; i++) many += "a1:5,";
	info = read(many + "e440:250");
	CHECK(info.prompt_parts.size() == MAX_PROMPT_PARTS);
	CHECK(info.parts_malformed);
}

TEST_CASE("Platform answers - a request counts as not executed only if the target says so")
{
	HttpHead head;
	head.status = 503;
	CHECK(!ReadAnswer(head).not_executed);
	head.headers.push_back({"X-Not-Executed", "1"});
	CHECK(ReadAnswer(head).not_executed);
	HttpHead other;
	other.status = 421;
	CHECK(ReadAnswer(other).not_executed);
	other.headers.push_back({"X-Server-Load", "3,1,8"});
	CHECK(ReadAnswer(other).load->waiting == 1);
}

TEST_CASE("Platform answers - the fourth load figure is the time factor in percent, and an invalid one does not affect the others")
{
	// Guards against the load of a target that is dropped because of its speed, and against the speed of another target.
	auto read = [](int status, const char *load, bool stamped = true) {
		HttpHead head;
		head.status = status;
		head.headers.push_back({"X-Server-Load", load});
		if (stamped) head.headers.push_back({"X-Server-Stamp", "3e1b"});
		return ReadAnswer(head);
	};
	CHECK(!read(200, "3,1,8").time_factor);
	for (int percent : {5, 55, 100, 137, 300, 2000}) {
		AnswerInfo info = read(200, ("3,1,8," + std::to_string(percent)).c_str());
		REQUIRE(info.time_factor);
		CHECK(*info.time_factor == doctest::Approx(percent / 100.0));
	}
	for (const char *bad : {"3,1,8,4", "3,1,8,2001", "3,1,8,0", "3,1,8,-55", "3,1,8,nan", "3,1,8,inf", "3,1,8,x", "3,1,8,1e2", "3,1,8, "}) {
		CAPTURE(bad);
		AnswerInfo info = read(200, bad);
		CHECK(!info.time_factor);
		REQUIRE(info.load);
		CHECK(info.load->running == 3);
		CHECK(info.load->waiting == 1);
		CHECK(info.load->slots == 8);
	}
	CHECK(!read(200, "3,1,8,55,1").load);
	CHECK(!read(200, "3,1,8,55", false).time_factor);
	CHECK(!read(421, "3,1,8,55").time_factor);
	CHECK(read(503, "3,1,8,55").time_factor == doctest::Approx(0.55));
}

TEST_CASE("Platform answers - a probe takes the speed of the target that it asked, and of no other")
{
	// Guards against the speed of another target that has taken over the address.
	auto answer = [](int status, HttpHeaders headers, UpstreamEnd end = UpstreamEnd::Complete) {
		std::optional<double> result;
		HttpHead head;
		head.status = status;
		head.headers = std::move(headers);
		head.headers.push_back({"X-Server-Load", "0,0,24,55"});
		UpstreamCall call = MakeSpeedCall({"127.0.0.1", 1}, {"i-1", 5}, "/healthz", [&](std::optional<double> factor) { result = factor; });
		CHECK(call.method == "GET");
		CHECK(call.target == "/healthz");
		call.on_head(head);
		call.on_end(end, "");
		return result;
	};
	CHECK(answer(200, {{"X-Instance-Id", "i-1"}}) == doctest::Approx(0.55));
	CHECK(answer(200, {{"X-Server-Stamp", "3e1b"}}) == doctest::Approx(0.55));
	CHECK(!answer(200, {{"X-Instance-Id", "i-2"}, {"X-Server-Stamp", "3e1b"}}));
	CHECK(!answer(421, {{"X-Instance-Id", "i-1"}}));
	CHECK(!answer(200, {}));
	CHECK(!answer(200, {{"X-Instance-Id", "i-1"}}, UpstreamEnd::Broken));
}

/** @return The target's signals in an answer with \a status and \a headers. */
static TargetSignals SignsOf(int status, HttpHeaders headers)
{
	HttpHead head;
	head.status = status;
	head.headers = std::move(headers);
	head.headers.push_back({"X-Server-Stamp", "3e1b"});
	return ReadAnswer(head).signals;
}

TEST_CASE("Platform answers - a target's rate limit is the lowest decimal number, and invalid values are ignored")
{
	CHECK(SignsOf(200, {}) == TargetSignals{});
	TargetSignals parsed = SignsOf(200, {{"server-limit", "2.4"}});
	CHECK(parsed.limit == SignalState::Present);
	CHECK(parsed.limit_per_s == doctest::Approx(2.4));
	CHECK(SignsOf(503, {{"Server-Limit", "7"}, {"Server-Limit", "3"}}).limit_per_s == doctest::Approx(3));
	CHECK(SignsOf(200, {{"Server-Limit", "0"}}).limit == SignalState::Present);
	CHECK(SignsOf(200, {{"Server-Limit", "99999999999999999999"}}).limit_per_s == doctest::Approx(1e6));
	for (const char *bad : {"-1", "1e300", "inf", "nan", "x", "1.2.3", ".", "+1", "1 2", "999999999999999999999999999999999"}) {
		TargetSignals invalid = SignsOf(200, {{"Server-Limit", bad}});
		CHECK_MESSAGE(invalid.limit == SignalState::Unreadable, bad);
		CHECK(invalid.unreadable);
	}
	CHECK(SignsOf(200, {{"Server-Limit", "x"}, {"Server-Limit", "3"}}).limit == SignalState::Present);
	CHECK(SignsOf(421, {{"Server-Limit", "3"}, {"Server-Leaving", "1"}}) == TargetSignals{});
	HttpHead unstamped;
	unstamped.status = 200;
	unstamped.headers = {{"Server-Limit", "3"}, {"Server-Leaving", "1"}};
	CHECK(ReadAnswer(unstamped).signals == TargetSignals{});
}

TEST_CASE("Platform answers - a target announces draining by a header field, and a pause by Retry-After with a 503")
{
	CHECK(SignsOf(200, {{"Server-Leaving", "1"}}).draining);
	CHECK(!SignsOf(200, {{"Server-Leaving", "0"}}).draining);
	CHECK(!SignsOf(200, {{"Server-Leaving", "0"}}).unreadable);
	CHECK(SignsOf(200, {{"Server-Leaving", "yes"}}).unreadable);
	CHECK(!SignsOf(200, {{"Server-Leaving", "yes"}}).draining);
	CHECK(SignsOf(503, {{"Retry-After", "1.5"}}).pause == std::chrono::milliseconds(1500));
	CHECK(SignsOf(503, {{"Retry-After", "1000000"}}).pause == std::chrono::hours(24));
	CHECK(SignsOf(200, {{"Retry-After", "1"}}).pause == Duration(0));
	for (const char *bad : {"-1", "Fri, 31 Dec 1999 23:59:59 GMT", "soon"}) {
		CHECK(SignsOf(503, {{"Retry-After", bad}}).pause == Duration(0));
		CHECK(SignsOf(503, {{"Retry-After", bad}}).unreadable);
	}
}

TEST_CASE("Platform migration - an engine's answer is decoded by its status")
{
	CHECK(DecodeMigrationAnswer(200, R"({"handle":"h","createdRev":12})").kind == MigrationAnswer::Kind::Copied);
	CHECK(DecodeMigrationAnswer(200, R"({"handle":"h","createdRev":12})").events == 12);
	CHECK(DecodeMigrationAnswer(200, "{}").kind == MigrationAnswer::Kind::NoAnswer);
	CHECK(DecodeMigrationAnswer(404, "").kind == MigrationAnswer::Kind::NoRun);
	CHECK(DecodeMigrationAnswer(409, "").kind == MigrationAnswer::Kind::Busy);
	CHECK(DecodeMigrationAnswer(503, R"({"handle":"h"})").handle == "h");
	CHECK(DecodeMigrationAnswer(0, "").kind == MigrationAnswer::Kind::NoAnswer);
}

TEST_CASE("Event splitter - complete events are returned unchanged, however the stream is split")
{
	bool good = rc::check("cuts", [](const std::vector<uint8_t> &sizes, bool crlf) {
		const std::string end = crlf ? "\r\n" : "\n";
		std::string stream;
		for (int i = 1; i <= 6; i++) stream += "x-version: 3" + end + "id: " + std::to_string(i * 3) + end + "data: part" + end + end;
		std::string rest = "id: 99" + end + "data: unfinished";
		EventSplitter splitter;
		std::string input = stream + rest, output;
		std::vector<uint64_t> ids;
		size_t at = 0;
		for (size_t i = 0; at < input.size(); i++) {
			size_t length = std::min<size_t>(sizes.empty() ? 7 : sizes[i % sizes.size()] % 40 + 1, input.size() - at);
			RC_ASSERT(splitter.Add(std::string_view(input).substr(at, length)));
			at += length;
			while (auto event = splitter.Next()) {
				output += event->bytes;
				RC_ASSERT(event->id.has_value());
				ids.push_back(*event->id);
			}
		}
		RC_ASSERT(output == stream);
		RC_ASSERT(ids == (std::vector<uint64_t>{3, 6, 9, 12, 15, 18}));
		RC_ASSERT(splitter.TakeRemainder() == rest);
	});
	CHECK(good);
}

TEST_CASE("Log lines - a stalled reader loses lines without blocking the writer, and gets their number")
{
	int ends[2];
	REQUIRE(pipe(ends) == 0);
	LineBuffer buffer(ends[1], 4096);
	std::string line(99, 'x');
	for (int i = 0; i < 3000; i++) {
		buffer.Add(line);
		buffer.Flush();
	}
	CHECK(buffer.Dropped() > 0);
	CHECK(buffer.Waiting() <= 4096);
	std::string got;
	char bytes[65536];
	for (int i = 0; i < 3; i++) {
		got.append(bytes, static_cast<size_t>(read(ends[0], bytes, sizeof(bytes))));
		buffer.Flush();
		buffer.Add(line);
		buffer.Flush();
	}
	CHECK(got.find("log-lines-dropped") != std::string::npos);
	close(ends[0]);
	close(ends[1]);
}

TEST_CASE("Platform answers - a brittle target says how many refusals it bears; what is not its own word changes nothing")
{
	auto read = [](int status, const HttpHeaders &headers) {
		HttpHead head;
		head.status = status;
		head.headers = headers;
		AnswerInfo info = ReadAnswer(head);
		if (!info.own_signals) CHECK(info.signals == TargetSignals{});
		return info.own_signals ? std::optional(info.signals) : std::nullopt;
	};
	const HttpHeader stamp{"X-Server-Stamp", "s"};
	TargetSignals told = *read(200, {stamp, {"Server-Brittle", "12"}, {"Server-Brittle", "7"}});
	CHECK(told.brittle == SignalState::Present);
	CHECK(told.refusals_per_s == 7);
	CHECK(!told.refused);
	CHECK(read(200, {stamp})->brittle == SignalState::Absent);
	CHECK(read(200, {stamp, {"Server-Brittle", "many"}})->brittle == SignalState::Unreadable);
	CHECK(!read(200, {{"Server-Brittle", "12"}}));
	CHECK(!read(421, {stamp, {"Server-Brittle", "12"}}));
	CHECK(read(503, {{"X-Not-Executed", "1"}})->refused);
	CHECK(!read(503, {})->refused);
}

TEST_CASE("Platform JSON - bytes that are not UTF-8 do not end the process")
{
	CHECK(ToJsonText(Json{{"id", "a\xff"}}) == "{\"id\":\"a\xef\xbf\xbd\"}");
	CHECK(CanNameRun("9c41d07be2a35f68"));
	CHECK(CanNameRun("\xc3\xa6"));
	CHECK_FALSE(CanNameRun("a\xff"));
	UpstreamCall call = MakeMigrationCall({"127.0.0.1", 1}, "engine", "a\xff", "127.0.0.1:2", true, {});
	CHECK(Json::accept(call.body));
}
