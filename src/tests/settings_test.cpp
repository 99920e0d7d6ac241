/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file settings_test.cpp Settings are checked, and their reference cannot drift. */

#include "settings/settings_type.h"
#include "settings/toml_parser.h"
#include <doctest/doctest.h>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

using namespace cottonspool;

static const std::string GOOD =
        "[instance]\nname = \"a\"\nhall = \"h\"\n[platform]\nurl = \"http://127.0.0.1:1\"\n[operator]\nkey_sha256 = \"" +
        std::string(64, '0') + "\"\n";

/** @return The error of \a text, or an empty text. */
static std::string WrongWith(const std::string &text)
{
	auto settings = ParseSettings(text, "file.toml");
	return settings ? "" : FormatError(settings.error());
}

TEST_CASE("Settings - a minimal file is enough, values land where they belong")
{
	auto settings = ParseSettings(GOOD + "[calls]\nstall_ms = 1234\n[dispatch]\nfill_stream = 0.5\nrefuse_early = false\n", "file.toml");
	REQUIRE(settings.has_value());
	CHECK(settings.value().call.stall == std::chrono::milliseconds(1234));
	CHECK(settings.value().dispatch.targets.fill[1] == 0.5);
	CHECK_FALSE(settings.value().dispatch.refuse_early);
}

TEST_CASE("Settings - each error names file, line, key and what is allowed")
{
	CHECK(WrongWith(GOOD + "[calls]\nstal_ms = 1\n").find("file.toml:9 error=\"calls.stal_ms: no such setting") != std::string::npos);
	CHECK(WrongWith(GOOD + "[calls]\nstall_ms = 1\n").find("calls.stall_ms: must be from 10 to") != std::string::npos);
	CHECK(WrongWith(GOOD + "[calls]\nstall_ms = \"x\"\n").find("must be a whole number") != std::string::npos);
	CHECK(WrongWith(GOOD + "[log]\nform = \"xml\"\n").find("must be one of text, json") != std::string::npos);
	CHECK(WrongWith(GOOD + "[peers]\nseeds = [1]\n").find("array of texts") != std::string::npos);
	CHECK(WrongWith(GOOD + "[dispatch]\nrefuse_early = 1\n").find("true or false") != std::string::npos);
	CHECK(WrongWith(GOOD + "[peers]\nheartbeat_ms = 3000\n").find("at least twice") != std::string::npos);
	CHECK(WrongWith("[instance]\nname = \"a\"\n").find("instance.hall: is required") != std::string::npos);
	CHECK(WrongWith("[instance\n").find("file.toml:1") != std::string::npos);
	CHECK(WrongWith("x = 1\n").find("must be a table") != std::string::npos);
	CHECK(WrongWith(GOOD + "[calls]\nst\xc3\xa5ll = 1\n").find("file.toml:9 error=\"letters beyond ASCII") != std::string::npos);
	CHECK(WrongWith("# H\xc3\xb8rning\n" + GOOD + "[peers]\nseeds = ['\xc3\xa6', \"\\\"\xc3\xb8\"]\n").empty());
}

TEST_CASE("Settings - any bytes are an error at worst")
{
	CHECK(rc::check("bytes", [](const std::string &bytes) { (void)ParseSettings(bytes, "file"); }));
	CHECK(rc::check("values", [](const std::string &value) { (void)ParseSettings(GOOD + "[calls]\nstall_ms = " + value, "file"); }));
}

TEST_CASE("Settings - docs/SETTINGS.md is what the code says")
{
	std::ifstream page(SOURCE_DIR "/docs/SETTINGS.md");
	std::stringstream text;
	text << page.rdbuf();
	CHECK_MESSAGE(text.str() == SettingsReference(), "make it anew: build/cottonspool settings > docs/SETTINGS.md");
}

TEST_CASE("Settings - a table without a name is an error in its line, and arrays over several lines are none")
{
	for (const char *text : {"[#", "\n[$", "[]", "[ ", "[[", "a = 1\n [\"", "[[ ]]", "[[[1", "[ [1"}) {
		CAPTURE(text);
		CHECK_FALSE(ParseSettings(text, "f"));
	}
	CHECK_FALSE(CheckPlainToml("a = 1\n[#", "f"));
	for (const char *text : {"a = [1}", "a = {b = 1]", "a = [", "a = 1]", "a = }"}) CHECK_FALSE(CheckPlainToml(text, "f"));
	CHECK(CheckPlainToml("a = {b = [1, {c = 2}]}\n[d.e]\n[[f]]\n", "f"));
	CHECK_FALSE(CheckPlainToml("a = \"x\nb = 1", "f"));
	CHECK_FALSE(CheckPlainToml("a = '''x\n", "f"));
	CHECK(CheckPlainToml("a = \"\"\"x\n\\\"y\"\"\"\nb = ''\n", "f"));
	CHECK(CheckPlainToml("a = [\n  [1, 2],\n  [],\n]\n[b]\n[[c]]\n [ \"d\" ]\n", "f"));
	CHECK(CheckPlainToml("a = [1, 2] # [\n[b]\n", "f"));
}
