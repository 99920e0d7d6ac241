/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file rule_switches_test.cpp Features that can be switched off or on one by one. */

#include "gateway/rule_switches.h"
#include <doctest/doctest.h>
#include <set>

using namespace cottonspool;

TEST_CASE("Switches - names are unique, and several can be switched at once")
{
	std::set<std::string> names;
	for (const RuleSwitch &rule : RuleSwitches()) CHECK(names.insert(rule.name).second);
	GatewayLimits limits;
	REQUIRE(SwitchRules("moves,cached-prefix", limits).has_value());
	CHECK_FALSE(limits.use_moves);
	CHECK_FALSE(limits.router.use_prefix);
	CHECK(limits.router.use_interval);
}

TEST_CASE("Switches - an empty list changes nothing, and an unknown name is an error")
{
	GatewayLimits limits;
	REQUIRE(SwitchRules("", limits).has_value());
	CHECK(limits.use_moves);
	Result<void> wrong = SwitchRules("moves,no-such", limits);
	REQUIRE_FALSE(wrong.has_value());
	CHECK(FormatError(wrong.error()).find("'no-such' is not a known feature") != std::string::npos);
}
