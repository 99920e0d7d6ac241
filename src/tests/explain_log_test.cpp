/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file explain_log_test.cpp Guards against a wrong or missing cause when `explain` reads the logs of gateways. */

#include "operator/explain_log.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <sstream>

using namespace cottonspool;

namespace {

/** @return A log line, preceded by text as a log collector adds it. */
std::string Line(int at_ms, const std::string &instance, const std::string &event, const std::string &fields)
{
	return R"(  12.5 node {"at_ms":)" + std::to_string(at_ms) + R"(,"event":")" + event + R"(","instance":")" + instance +
	       R"(","level":"info",)" + fields + "}\n";
}

/** @return The trace of \a request in \a log. */
RequestTrace StoryOf(const std::string &request, const std::string &log)
{
	RequestTrace story(request);
	std::istringstream in(log);
	story.Add(in);
	return story;
}

} // namespace

TEST_CASE("Explain - the cause of a stream lost with a draining engine names the engine, the notice and the failed migration")
{
	std::string log = Line(1000, "g1", "received", R"("request":"r1","route":"stream")") +
	                  Line(1001, "g1", "sent", R"("request":"r1","target":"e1")") +
	                  Line(1500, "g2", "target-leaving", R"("target":"e1","source":"removed")") +
	                  Line(2000, "g1", "target-leaving", R"("target":"e1","source":"notice")") +
	                  Line(2001, "g1", "target-leaving", R"("target":"e7","source":"notice")") +
	                  Line(2002, "g1", "move", R"("request":"r1","step":"copy","result":"asked","from":"e1","to":"e2")") +
	                  Line(3700, "g1", "run-lost", R"("request":"r1","target":"e1","events":"56","cause":"closed")") +
	                  Line(3701, "g1", "finished", R"("request":"r1","outcome":"run-lost","status":"0","ms":"2701")");
	RequestTrace story = StoryOf("r1", log);
	CHECK(story.Cause() == "broken off after 2701 ms: e1 was lost (closed) 1.7 s after its drain notice (notice), "
	                       "and the migration did not finish in time (copy: asked)");
	CHECK(story.Text().find("e7") == std::string::npos);
	CHECK(story.Text().find("source=notice") != std::string::npos);
	CHECK(story.Text().find("source=removed") == std::string::npos);
}

TEST_CASE("Explain - overload, an unknown route and an unknown outcome have distinct causes")
{
	std::string log = Line(1, "g1", "received", R"("request":"full")") +
	                  Line(300, "g1", "finished", R"("request":"full","outcome":"deadline-passed","status":"503","ms":"299")") +
	                  Line(5, "g1", "refused", R"("request":"nowhere","status":"404","reason":"no-route")") +
	                  Line(6, "g1", "sent", R"("request":"lost","target":"s1")") +
	                  Line(9, "g1", "send-ended", R"("request":"lost","target":"s1","sent":"maybe","cause":"reset by the other side")") +
	                  Line(9, "g1", "finished", R"("request":"lost","outcome":"answer-lost","status":"502","ms":"3")") +
	                  Line(20, "g1", "received", R"("request":"open")");
	// A notice that arrived after the loss is not its cause.
	std::string late = Line(10, "g1", "target-leaving", R"("target":"s1","source":"lapsed")");
	CHECK(StoryOf("lost", log + late).Cause().find("notice") == std::string::npos);
	CHECK(StoryOf("full", log).Cause() == "answered with 503 after 299 ms: no target had capacity within its wait limit");
	CHECK(StoryOf("nowhere", log).Cause() == "rejected with 404: the current configuration has no such route");
	CHECK(StoryOf("lost", log).Cause() == "answered with 502 after 3 ms: s1 was lost (reset by the other side) before its answer was "
	                                      "complete: the request may have been executed");
	CHECK(StoryOf("open", log).Cause().find("not answered") == 0);
	CHECK(!StoryOf("unknown", log).IsKnown());
}

TEST_CASE("Explain - a log may contain arbitrary bytes")
{
	CHECK(rc::check("bytes", [](const std::string &bytes) {
		RequestTrace story = StoryOf("r", bytes + "\n{\"event\":" + bytes);
		(void)story.Text();
	}));
}
