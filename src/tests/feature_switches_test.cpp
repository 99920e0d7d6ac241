/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file feature_switches_test.cpp Features that can be switched off or on one by one. */

#include "gateway/feature_switches.h"
#include "platform/node_settings.h"
#include <doctest/doctest.h>
#include <set>

using namespace cottonspool;

TEST_CASE("Switches - names are unique, and several can be switched at once")
{
	std::set<std::string> names;
	for (const FeatureSwitch &feature : FeatureSwitches()) CHECK(names.insert(feature.name).second);
	GatewayLimits limits;
	REQUIRE(ApplySwitches("moves,cached-prefix,held-memory-bound", limits).has_value());
	CHECK_FALSE(limits.use_migration);
	CHECK_FALSE(limits.router.use_prefix);
	CHECK_FALSE(limits.memory.use);
	CHECK(limits.router.use_interval);
	limits = GatewayLimitsFor(NodeSettings{});
	CHECK_FALSE(limits.dispatch.shares.use);
	REQUIRE(ApplySwitches("account-shares", limits).has_value());
	CHECK(limits.dispatch.shares.use);
}

TEST_CASE("Switches - the speeds of targets can be left unused")
{
	GatewayLimits limits;
	CHECK(limits.use_target_speeds);
	REQUIRE(ApplySwitches("target-speeds", limits).has_value());
	CHECK_FALSE(limits.use_target_speeds);
}

TEST_CASE("Switches - without event-driven moves, copies are requested at intervals, counted and ordered as before")
{
	GatewayLimits limits = GatewayLimitsFor(NodeSettings{});
	CHECK(limits.migration.event_driven);
	CHECK(limits.dispatch.use_rescue_order);
	REQUIRE(ApplySwitches("event-driven-moves", limits).has_value());
	CHECK_FALSE(limits.migration.event_driven);
	CHECK_FALSE(limits.dispatch.use_rescue_order);
	CHECK_FALSE(limits.dispatch.targets.use_migration_headroom);
}

TEST_CASE("Switches - an empty list changes nothing, and an unknown name is an error")
{
	GatewayLimits limits;
	REQUIRE(ApplySwitches("", limits).has_value());
	CHECK(limits.use_migration);
	Result<void> wrong = ApplySwitches("moves,no-such", limits);
	REQUIRE_FALSE(wrong.has_value());
	CHECK(FormatError(wrong.error()).find("'no-such' is not a known feature") != std::string::npos);
}
