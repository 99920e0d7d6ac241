/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file explain_log_test.cpp From a request's id to its cause, by log lines alone. */

#include "operator/explain_log.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <sstream>

using namespace cottonspool;

namespace {

/** @return A log line. */
std::string Line(int at_ms, const std::string &instance, const std::string &event, const std::string &fields)
{
	return R"(  12.5 node {"at_ms":)" + std::to_string(at_ms) + R"(,"event":")" + event + R"(","instance":")" + instance +
	       R"(","level":"info",)" + fields + "}\n";
}

/** @return The story of \a request in \a log. */
RequestTrace StoryOf(const std::string &request, const std::string &log)
{
	RequestTrace story(request);
	std::istringstream in(log);
	story.Add(in);
	return story;
}

} // namespace

TEST_CASE("Explain - a stream that was lost with an engine that left names the engine, its notice and the move that failed")
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
	CHECK(story.Cause() == "broken off after 2701 ms: e1 was lost (closed) 1.7 s after it was known to leave (notice), "
	                       "and its move did not end in time (copy: asked)");
	CHECK(story.Text().find("e7") == std::string::npos);
	CHECK(story.Text().find("source=notice") != std::string::npos);
	CHECK(story.Text().find("source=removed") == std::string::npos);
}

TEST_CASE("Explain - a refusal under load, an unknown route and an unknown outcome each name their cause")
{
	std::string log = Line(1, "g1", "received", R"("request":"full")") +
	                  Line(300, "g1", "finished", R"("request":"full","outcome":"deadline-passed","status":"503","ms":"299")") +
	                  Line(5, "g1", "refused", R"("request":"nowhere","status":"404","reason":"no-route")") +
	                  Line(6, "g1", "sent", R"("request":"lost","target":"s1")") +
	                  Line(9, "g1", "send-ended", R"("request":"lost","target":"s1","sent":"maybe","cause":"reset by the other side")") +
	                  Line(9, "g1", "finished", R"("request":"lost","outcome":"answer-lost","status":"502","ms":"3")") +
	                  Line(20, "g1", "received", R"("request":"open")");
	// What was learned only after the loss is not its cause.
	std::string late = Line(10, "g1", "target-leaving", R"("target":"s1","source":"lapsed")");
	CHECK(StoryOf("lost", log + late).Cause().find("leave") == std::string::npos);
	CHECK(StoryOf("full", log).Cause() == "answered with 503 after 299 ms: no target had room within the time it could wait");
	CHECK(StoryOf("nowhere", log).Cause() == "refused with 404: the configuration in force has no such route");
	CHECK(StoryOf("lost", log).Cause() ==
	      "answered with 502 after 3 ms: s1 was lost (reset by the other side) before its answer was whole: it may have run");
	CHECK(StoryOf("open", log).Cause().find("not answered") == 0);
	CHECK(!StoryOf("unknown", log).IsKnown());
}

TEST_CASE("Explain - a log may hold any bytes")
{
	CHECK(rc::check("bytes", [](const std::string &bytes) {
		RequestTrace story = StoryOf("r", bytes + "\n{\"event\":" + bytes);
		(void)story.Text();
	}));
}
