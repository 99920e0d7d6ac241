/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file request_test.cpp Guards against malformed requests and reports that are accepted, and call traces and metrics that grow forever.
 */

#include "instance/call_trace.h"
#include "instance/completion_request.h"
#include "instance/target_poller.h"
#include "metrics/metrics.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;

/** @return The error for the request \a body, or an empty string if it is valid. */
static std::string ErrorFor(const std::string &body, const char *path = "/v1/completions")
{
	auto parsed = ParseCompletion(HttpRequest{"POST", path, "", {}, body});
	return parsed ? "" : parsed.error().reason;
}

TEST_CASE("Completions - the error names the invalid field")
{
	CHECK(ErrorFor("{") == "bad-body");
	CHECK(ErrorFor("[]") == "bad-body");
	CHECK(ErrorFor(R"({"prompt":"x"})") == "bad-model");
	CHECK(ErrorFor(R"({"model":"m","prompt":7})") == "bad-prompt");
	CHECK(ErrorFor(R"({"model":"m","prompt":"x","stream":"yes"})") == "bad-stream");
	CHECK(ErrorFor(R"({"model":"m","prompt":"x","max_tokens":-1})") == "bad-max_tokens");
	CHECK(ErrorFor(R"({"model":"m","prompt":"x","max_tokens":1.5})") == "bad-max_tokens");
	CHECK(ErrorFor(R"({"model":"m","prompt":"x","n":2})") == "bad-n");
	CHECK(ErrorFor(R"({"model":"m","messages":[]})", "/v1/chat/completions") == "bad-messages");
	CHECK(ErrorFor(R"({"model":"m","messages":[{"content":"x"}]})", "/v1/chat/completions") == "bad-messages");
	CHECK(ErrorFor(R"({"model":"m","prompt":"x","max_tokens":5})").empty());
}

TEST_CASE("Completions - a caller cannot set the engine's priority, and the engine always streams")
{
	auto parsed = ParseCompletion(HttpRequest{"POST", "/v1/completions", "", {}, R"({"model":"m","prompt":"x","priority":999})"});
	REQUIRE(parsed.has_value());
	std::string body = FormatEngineBody(parsed.value(), 7);
	CHECK(body.find("999") == std::string::npos);
	CHECK(body.find("\"priority\":7}") != std::string::npos);
	CHECK(body.find("\"stream\":true") != std::string::npos);
}

TEST_CASE("Completions - the parsers of external input handle arbitrary bytes")
{
	bool good = rc::check("bytes", [](const std::string &bytes) {
		(void)ErrorFor(bytes);
		(void)ErrorFor(R"({"model":"m","prompt":)" + bytes + "}");
		(void)ParseCompletionChunk(bytes);
		ReportedState state;
		(void)ParseLoadReport(bytes, &state);
		(void)ParseLoadReport(R"({"sequence":1,"capacity_tokens":2,"used_tokens":)" + bytes + "}", &state);
		(void)QueryValue(bytes, "a");
	});
	CHECK(good);
}

TEST_CASE("Failures - the body contains the execution state and the retry time")
{
	CallFailure failure{503, "wait-too-long", "given up", ExecutionState::No, std::chrono::milliseconds(1500)};
	std::string body = FormatFailureBody(failure, "r1");
	CHECK(body.find("\"ran\":\"no\"") != std::string::npos);
	CHECK(body.find("\"retry_after_seconds\":1.5") != std::string::npos);
	CHECK(FormatFailureEvent(failure, "r1").starts_with("event: error\ndata: {"));
}

TEST_CASE("Traces - the number of calls and of events per call is limited")
{
	CallTraceBuffer ring(2);
	for (int i = 0; i < 100; i++) ring.Add("a", TimePoint{}, "step");
	CHECK(ring.Find("a").size() == CallTraceBuffer::MAX_EVENTS);
	ring.Add("b", TimePoint{}, "x");
	ring.Add("c", TimePoint{}, "x");
	CHECK(ring.Find("a").empty());
	CHECK(ring.Find("c").size() == 1);
}

TEST_CASE("Metrics - histograms by class and account, with a limited number of accounts")
{
	Metrics metrics(2);
	for (int i = 1; i <= 1000; i++) {
		metrics.Observe(Measure::StallSeconds, "account" + std::to_string(i % 10), ServiceClass::Stream, i / 1000.0);
	}
	const Histogram &histogram = metrics.OfClass(Measure::StallSeconds, ServiceClass::Stream);
	CHECK(histogram.Count() == 1000);
	CHECK(histogram.Quantile(1) == doctest::Approx(0.95).epsilon(0.05));
	std::string text = metrics.Render();
	CHECK(text.find("cottonspool_stall_seconds_bucket{class=\"stream\",le=\"0.5\"} 500") != std::string::npos);
	CHECK(text.find("account=\"other\"") != std::string::npos);
	CHECK(text.find("account=\"account5\"") == std::string::npos);
}
