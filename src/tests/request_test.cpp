/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file request_test.cpp Callers' requests, targets' reports, metrics and steps: checked and bounded. */

#include "instance/call_trace.h"
#include "instance/completion_request.h"
#include "instance/target_poller.h"
#include "metrics/metrics.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;

/** @return The name of the field that is wrong in \a body, or an empty text. */
static std::string WrongWith(const std::string &body, const char *path = "/v1/completions")
{
	auto parsed = ParseCompletion(HttpRequest{"POST", path, "", {}, body});
	return parsed ? "" : parsed.error().reason;
}

TEST_CASE("Completions - each wrong field is named")
{
	CHECK(WrongWith("{") == "bad-body");
	CHECK(WrongWith("[]") == "bad-body");
	CHECK(WrongWith(R"({"prompt":"x"})") == "bad-model");
	CHECK(WrongWith(R"({"model":"m","prompt":7})") == "bad-prompt");
	CHECK(WrongWith(R"({"model":"m","prompt":"x","stream":"yes"})") == "bad-stream");
	CHECK(WrongWith(R"({"model":"m","prompt":"x","max_tokens":-1})") == "bad-max_tokens");
	CHECK(WrongWith(R"({"model":"m","prompt":"x","max_tokens":1.5})") == "bad-max_tokens");
	CHECK(WrongWith(R"({"model":"m","prompt":"x","n":2})") == "bad-n");
	CHECK(WrongWith(R"({"model":"m","messages":[]})", "/v1/chat/completions") == "bad-messages");
	CHECK(WrongWith(R"({"model":"m","messages":[{"content":"x"}]})", "/v1/chat/completions") == "bad-messages");
	CHECK(WrongWith(R"({"model":"m","prompt":"x","max_tokens":5})").empty());
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

TEST_CASE("Parsers of outside input - any bytes are an error at worst")
{
	bool good = rc::check("bytes", [](const std::string &bytes) {
		(void)WrongWith(bytes);
		(void)WrongWith(R"({"model":"m","prompt":)" + bytes + "}");
		(void)ParseCompletionChunk(bytes);
		ReportedState state;
		(void)ParseLoadReport(bytes, &state);
		(void)ParseLoadReport(R"({"sequence":1,"capacity_tokens":2,"used_tokens":)" + bytes + "}", &state);
		(void)QueryValue(bytes, "a");
	});
	CHECK(good);
}

TEST_CASE("Failures - say what was wrong, whether it ran, and when to come back")
{
	CallFailure failure{503, "wait-too-long", "given up", ExecutionState::No, std::chrono::milliseconds(1500)};
	std::string body = FormatFailureBody(failure, "r1");
	CHECK(body.find("\"ran\":\"no\"") != std::string::npos);
	CHECK(body.find("\"retry_after_seconds\":1.5") != std::string::npos);
	CHECK(FormatFailureEvent(failure, "r1").starts_with("event: error\ndata: {"));
}

TEST_CASE("Steps - are bounded per call and in calls")
{
	CallTraceBuffer ring(2);
	for (int i = 0; i < 100; i++) ring.Add("a", TimePoint{}, "step");
	CHECK(ring.Find("a").size() == CallTraceBuffer::MAX_EVENTS);
	ring.Add("b", TimePoint{}, "x");
	ring.Add("c", TimePoint{}, "x");
	CHECK(ring.Find("a").empty());
	CHECK(ring.Find("c").size() == 1);
}

TEST_CASE("Metrics - histograms per class and account, the number of accounts bounded")
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
