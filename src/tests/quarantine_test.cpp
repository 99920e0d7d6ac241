/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine_test.cpp Requests under which targets end: what makes two of them the same one. */

#include "decision/request_print.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;

TEST_CASE("Quarantine - a request that comes again has the same fingerprint, another one has not")
{
	RequestIdentity identity{"POST", "h.example", "/s/x?y=1", "acme", "body"};
	RequestPrint print = PrintRequest(identity);
	CHECK(PrintRequest(identity) == print);
	CHECK(PrintRequest({"GET", "h.example", "/s/x?y=1", "acme", "body"}) != print);
	CHECK(PrintRequest({"POST", "g.example", "/s/x?y=1", "acme", "body"}) != print);
	CHECK(PrintRequest({"POST", "h.example", "/s/x?y=2", "acme", "body"}) != print);
	CHECK(PrintRequest({"POST", "h.example", "/s/x?y=1", "other", "body"}) != print);
	CHECK(PrintRequest({"POST", "h.example", "/s/x?y=1", "acme", "body."}) != print);
	// What moves from one part to the next makes another request.
	CHECK(PrintRequest({"POST", "h.example", "/s/x?y=1", "acm", "ebody"}) != print);
}

TEST_CASE("Quarantine - fingerprints survive being written down, and nothing else is read as one")
{
	rc::check([](uint64_t value) {
		RequestPrint print{value == 0 ? 1 : value};
		RC_ASSERT(ParsePrint(PrintText(print)) == print);
	});
	for (const char *text : {"", "0000000000000000", "123", "00000000000000g1", "+000000000000001", "00000000000000001"}) {
		CAPTURE(text);
		CHECK_FALSE(ParsePrint(text).has_value());
	}
}
