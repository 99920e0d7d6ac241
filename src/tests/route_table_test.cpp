/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file route_table_test.cpp Route lookup, weighted pools and account keys follow the newest configuration. */

#include "decision/route_table.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;

namespace {

ServingConfiguration Sample(uint64_t version)
{
	ServingConfiguration configuration;
	configuration.version = version;
	configuration.routes.push_back({.name = "all", .host = "a.example", .path_prefix = "/", .pools = {{"x", 1}}});
	configuration.routes.push_back({.name = "deep", .host = "a.example", .path_prefix = "/p/q/", .pools = {{"x", 3}, {"y", 1}}});
	configuration.routes.push_back({.name = "open", .host = "b.example", .path_prefix = "/p/", .pools = {{"x", 0}}, .requires_key = false});
	configuration.pools.push_back({.name = "x"});
	configuration.accounts.push_back({.name = "one", .keys = {"k1", "k2"}, .priority_level = 2});
	configuration.has_accounts = true;
	return configuration;
}

} // namespace

TEST_CASE("Routes - the longest prefix of the host wins, and only complete path segments match")
{
	RouteTable table;
	REQUIRE(table.Apply(Sample(1)));
	CHECK(table.FindRoute("a.example", "/p/q/r")->name == "deep");
	CHECK(table.FindRoute("a.example", "/p/q/")->name == "deep");
	CHECK(table.FindRoute("a.example", "/p/q")->name == "all");
	CHECK(table.FindRoute("a.example", "/p/qq/")->name == "all");
	CHECK(table.FindRoute("b.example", "/other/") == nullptr);
	CHECK(table.FindRoute("c.example", "/") == nullptr);
	CHECK(table.FindRoute("a.example", "no-slash") == nullptr);
}

TEST_CASE("Routes - a configuration never replaces a newer one")
{
	bool good = rc::check("forward", [](const std::vector<uint8_t> &versions) {
		RouteTable table;
		uint64_t newest = 0;
		for (uint8_t version : versions) {
			bool expected = !table.IsKnown() || version > newest;
			RC_ASSERT(table.Apply(Sample(version)) == expected);
			if (expected) newest = version;
			RC_ASSERT(table.IsKnown());
			RC_ASSERT(table.Configuration().version == newest);
		}
		for (uint8_t version : versions) RC_ASSERT(newest >= version);
	});
	CHECK(good);
}

TEST_CASE("Routes - pools are chosen by weight, and a pool without weight gets nothing")
{
	RouteTable table;
	table.Apply(Sample(1));
	const Route &split = *table.FindRoute("a.example", "/p/q/r");
	int x = 0;
	for (int i = 0; i < 1000; i++) x += RouteTable::ChoosePool(split, i / 1000.0) == "x" ? 1 : 0;
	CHECK(x == 750);
	CHECK(RouteTable::ChoosePool(*table.FindRoute("b.example", "/p/"), 0.5).empty());
}

TEST_CASE("Routes - keys identify their account, and unknown keys are rejected")
{
	RouteTable table;
	table.Apply(Sample(1));
	const Route &route = *table.FindRoute("a.example", "/");
	const ClientAccount *account = nullptr;
	CHECK(table.CheckKey(route, "k2", &account) == KeyCheckResult::Known);
	CHECK(account->name == "one");
	CHECK(table.CheckKey(route, "k3", &account) == KeyCheckResult::Unknown);
	CHECK(table.CheckKey(route, "", &account) == KeyCheckResult::Unknown);
	CHECK(table.CheckKey(*table.FindRoute("b.example", "/p/"), "k3", &account) == KeyCheckResult::NotNeeded);
	CHECK(account == nullptr);
}
