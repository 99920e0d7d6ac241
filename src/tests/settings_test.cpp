/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file settings_test.cpp Guards against invalid settings being accepted, crashes on malformed TOML, and an outdated docs/SETTINGS.md. */

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

/** @return The error of \a text, or an empty string. */
static std::string WrongWith(const std::string &text)
{
	auto settings = ParseSettings(text, "file.toml");
	return settings ? "" : FormatError(settings.error());
}

TEST_CASE("Settings - a minimal file is accepted, and values are stored in their members")
{
	auto settings = ParseSettings(GOOD + "[calls]\nstall_ms = 1234\n[dispatch]\nfill_stream = 0.5\nrefuse_early = false\n", "file.toml");
	REQUIRE(settings.has_value());
	CHECK(settings.value().call.stall == std::chrono::milliseconds(1234));
	CHECK(settings.value().dispatch.targets.fill[1] == 0.5);
	CHECK_FALSE(settings.value().dispatch.refuse_early);
}

TEST_CASE("Settings - errors contain file, line, key and allowed values")
{
	CHECK(WrongWith(GOOD + "[calls]\nstal_ms = 1\n").find("file.toml:9 error=\"calls.stal_ms: no such setting") != std::string::npos);
	CHECK(WrongWith(GOOD + "[calls]\nstall_ms = 1\n").find("calls.stall_ms: must be from 10 to") != std::string::npos);
	CHECK(WrongWith(GOOD + "[calls]\nstall_ms = \"x\"\n").find("must be an integer") != std::string::npos);
	CHECK(WrongWith(GOOD + "[log]\nform = \"xml\"\n").find("must be one of text, json") != std::string::npos);
	CHECK(WrongWith(GOOD + "[peers]\nseeds = [1]\n").find("array of strings") != std::string::npos);
	CHECK(WrongWith(GOOD + "[dispatch]\nrefuse_early = 1\n").find("true or false") != std::string::npos);
	CHECK(WrongWith(GOOD + "[peers]\nheartbeat_ms = 3000\n").find("at least twice") != std::string::npos);
	CHECK(WrongWith("[instance]\nname = \"a\"\n").find("instance.hall: is required") != std::string::npos);
	CHECK(WrongWith("[instance\n").find("file.toml:1") != std::string::npos);
	CHECK(WrongWith("x = 1\n").find("must be a table") != std::string::npos);
	CHECK(WrongWith(GOOD + "[calls]\nst\xc3\xa5ll = 1\n").find("file.toml:9 error=\"non-ASCII characters") != std::string::npos);
	CHECK(WrongWith("# H\xc3\xb8rning\n" + GOOD + "[peers]\nseeds = ['\xc3\xa6', \"\\\"\xc3\xb8\"]\n").empty());
}

TEST_CASE("Settings - arbitrary bytes do not crash the parser")
{
	CHECK(rc::check("bytes", [](const std::string &bytes) { (void)ParseSettings(bytes, "file"); }));
	CHECK(rc::check("values", [](const std::string &value) { (void)ParseSettings(GOOD + "[calls]\nstall_ms = " + value, "file"); }));
}

TEST_CASE("Settings - docs/SETTINGS.md matches the code")
{
	std::ifstream page(SOURCE_DIR "/docs/SETTINGS.md");
	std::stringstream text;
	text << page.rdbuf();
	CHECK_MESSAGE(text.str() == SettingsReference(), "regenerate it: build/cottonspool settings > docs/SETTINGS.md");
}

TEST_CASE("Settings - malformed tables, brackets and quotes are rejected, multi-line arrays are accepted")
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
