/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file ledger_test.cpp Tokens are delivered once, in order and from one generation, and the parser accepts any split of a stream. */

#include "generation/ledger.h"
#include "generation/sse_parser.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;

TEST_CASE("Ledger - tokens 1..n are delivered once and in order, whatever an engine sends")
{
	bool good = rc::check("order", [](const std::vector<std::pair<uint8_t, bool>> &events) {
		GenerationLedger ledger;
		ledger.Bind("own");
		uint64_t delivered = 0;
		for (const auto &[index, other_generation] : events) {
			TokenVerdict verdict = ledger.Accept(other_generation ? "other" : "own", index % 16);
			if (verdict == TokenVerdict::Deliver) {
				RC_ASSERT(!other_generation);
				RC_ASSERT(index % 16U == ++delivered);
			}
			if (!other_generation && index % 16U > delivered) RC_ASSERT(verdict == TokenVerdict::Gap);
			RC_ASSERT(ledger.Delivered() == delivered);
		}
	});
	CHECK(good);
}

TEST_CASE("Ledger - a resume after any token completes the stream")
{
	bool good = rc::check("resume", [] {
		auto length = *rc::gen::inRange<uint64_t>(1, 60);
		GenerationLedger ledger;
		ledger.Bind("own");
		uint64_t delivered = 0;
		for (int link = 0; delivered < length; link++) {
			// A connection starts after any earlier token and ends anywhere; one of its tokens may be missing.
			auto from = *rc::gen::inRange<uint64_t>(0, delivered + 1);
			auto until = link > 20 ? length : *rc::gen::inRange<uint64_t>(from, length + 1);
			auto skipped = *rc::gen::inRange<uint64_t>(0, length + 2);
			for (uint64_t token = from + 1; token <= until; token++) {
				if (token == skipped) continue;
				TokenVerdict verdict = ledger.Accept("own", token);
				if (verdict == TokenVerdict::Gap) break;
				if (verdict == TokenVerdict::Deliver) RC_ASSERT(token == ++delivered);
			}
			if (until < length) continue;
			for (uint64_t token = ledger.Delivered() + 1; token <= length; token++) {
				RC_ASSERT(ledger.Accept("own", token) == TokenVerdict::Deliver);
				delivered++;
			}
		}
		RC_ASSERT(ledger.Delivered() == length);
	});
	CHECK(good);
}

TEST_CASE("SSE - the events do not depend on how the bytes are split")
{
	bool good = rc::check("cuts", [](const std::vector<uint8_t> &cuts) {
		std::string text = ": ok\n\nid: 1\ndata: a\n\nevent: error\r\ndata: b\r\ndata: c\r\n\r\nid: 12x\ndata: d\n\ndata: [DONE]\n\n";
		SseParser parser;
		std::vector<SseEvent> events;
		size_t at = 0;
		for (size_t i = 0; at < text.size(); i++) {
			size_t length = i < cuts.size() ? cuts[i] % 7 + 1 : text.size();
			RC_ASSERT(parser.Add(std::string_view(text).substr(at, length)));
			at += length;
			while (auto event = parser.Next()) events.push_back(*event);
		}
		RC_ASSERT(events.size() == 4U);
		RC_ASSERT(events[0].id == 1U);
		RC_ASSERT(events[1].name == "error");
		RC_ASSERT(events[1].data == "b\nc");
		RC_ASSERT(!events[2].id.has_value());
		RC_ASSERT(events[3].data == "[DONE]");
	});
	CHECK(good);
}

TEST_CASE("SSE - an endless event is rejected, and arbitrary bytes are tolerated")
{
	SseParser parser;
	CHECK_FALSE(parser.Add(std::string(SseParser::MAX_EVENT_BYTES + 1, 'x')));
	bool good = rc::check("bytes", [](const std::string &bytes) {
		SseParser fresh;
		RC_ASSERT(fresh.Add(bytes));
		while (fresh.Next()) {}
	});
	CHECK(good);
}
