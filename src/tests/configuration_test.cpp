/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file configuration_test.cpp Accepted changes take effect everywhere in one order, and no instance reverts to an older configuration. */

#include "configuration/configuration_state.h"
#include "fake_platform.h"
#include "instance/configuration_manager.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;

/** @return A change that sets one share record. */
static Change MakeChange(const std::string &id, const std::string &share, int weight, uint64_t base)
{
	Change change;
	change.id = id;
	change.author = "author-" + id;
	change.base = base;
	change.records.push_back({RecordKind::Share, share, false, "{\"hall\":" + std::to_string(weight) + "}"});
	return change;
}

TEST_CASE("Configuration - entries and snapshots in any order only move forward, to the one state of each sequence")
{
	bool good = rc::check("forward", [](uint32_t seed) {
		pcg32 random(seed);
		std::vector<Entry> entries;
		std::vector<std::string> states{ConfigurationState().Snapshot()};
		ConfigurationState writer;
		for (uint64_t i = 1; i <= 12; i++) {
			Change change = MakeChange("c" + std::to_string(i), "s" + std::to_string(random() % 3), static_cast<int>(i), i);
			change.records[0].removed = random() % 4 == 0;
			entries.push_back({i, change});
			RC_ASSERT(writer.Apply(entries.back()));
			states.push_back(writer.Snapshot());
		}
		ConfigurationState reader;
		uint64_t before = 0;
		for (int i = 0; i < 200; i++) {
			uint64_t chosen = random() % 12;
			if (random() % 8 == 0) {
				RC_ASSERT(reader.Load(states[chosen]).has_value() || chosen == 0);
			} else {
				reader.Apply(entries[chosen]);
			}
			RC_ASSERT(reader.Sequence() >= before);
			before = reader.Sequence();
			RC_ASSERT(reader.Snapshot() == states[reader.Sequence()]);
		}
	});
	CHECK(good);
}

namespace {

/** Instances that share their configuration through a fake platform, with concurrent operators. */
struct ConfigurationHarness {
	explicit ConfigurationHarness(uint32_t seed) : platform(seed), random(seed)
	{
		for (size_t i = 0; i < 3; i++) {
			auto changed = [this, i](const std::vector<std::string> &) {
				uint64_t sequence = this->managers[i]->State().Sequence();
				if (sequence < this->seen[i]) this->reverted = true;
				this->seen[i] = sequence;
			};
			this->managers.push_back(std::make_unique<ConfigurationManager>(this->platform, 4, PolicyCheck{}, changed));
		}
	}

	FakePlatform platform;                                       ///< Fake platform.
	pcg32 random;                                                ///< Random number generator.
	std::vector<std::unique_ptr<ConfigurationManager>> managers; ///< Configuration of each instance.
	std::array<uint64_t, 3> seen{};                              ///< Last sequence seen at each instance.
	bool reverted = false;                                       ///< Whether an instance went back to an older sequence.
	std::map<std::string, uint64_t> accepted;                    ///< Sequences of the changes reported as accepted.
	std::set<std::string> refused;                               ///< Changes reported as failed, of which nothing was written.
	std::set<std::string> unknown;                               ///< Changes of which a request ended with an unknown outcome.
	int answers = 0;                                             ///< Requests that were answered.
};

} // namespace

TEST_CASE("Configuration - with racing operators and lost or late answers, accepted changes are written exactly once")
{
	size_t refused_only = 0;
	bool good = rc::check("races", [&refused_only](uint32_t seed) {
		ConfigurationHarness harness(seed);
		harness.platform.lost_answers = 0.2;
		// With 0.1 alone, both requests for a change seldom fail.
		harness.platform.not_sent = seed % 2 == 0 ? 0.1 : 0.4;
		harness.platform.late_effects = 0.15;
		for (int i = 0; i < 14; i++) {
			ConfigurationManager &manager = *harness.managers[harness.random() % 3];
			std::string id = "change" + std::to_string(i / 2); // Every change is submitted twice, possibly to two instances.
			Change change = MakeChange(id, "s" + std::to_string(i % 3), i / 2, 1000);
			manager.Accept(change, [&harness, id](const ApplyResult &result) {
				harness.answers++;
				if (result.end == ApplyOutcome::Accepted) {
					auto [found, added] = harness.accepted.emplace(id, result.sequence);
					RC_ASSERT(added || found->second == result.sequence);
				}
				if (result.end == ApplyOutcome::Failed) harness.refused.insert(id);
				if (result.end == ApplyOutcome::Unknown) harness.unknown.insert(id);
			});
			harness.platform.Run(harness.random() % 12);
			if (harness.random() % 3 == 0) harness.managers[harness.random() % 3]->Poll();
		}
		harness.platform.RunAll();
		harness.platform.lost_answers = harness.platform.not_sent = harness.platform.late_effects = 0;
		std::map<std::string, int> written;
		for (const auto &manager : harness.managers) {
			manager->Poll();
			harness.platform.RunAll();
		}
		for (const auto &[key, row] : harness.platform.rows) {
			if (key.starts_with("config/entry/")) written[ParseEntry(row.value).value().change.id]++;
		}
		RC_ASSERT(!harness.reverted);
		for (const auto &[id, count] : written) RC_ASSERT(count == 1);
		for (const auto &[id, sequence] : harness.accepted) RC_ASSERT(written.contains(id));
		RC_ASSERT(harness.answers == 14);
		for (const std::string &id : harness.refused) {
			if (harness.accepted.contains(id) || harness.unknown.contains(id)) continue;
			refused_only++;
			RC_ASSERT(!written.contains(id));
		}
		for (const auto &manager : harness.managers) {
			RC_ASSERT(manager->State().Sequence() == written.size());
			RC_ASSERT(manager->State().Snapshot() == harness.managers[0]->State().Snapshot());
		}
	});
	CHECK(good);
	CHECK_MESSAGE(refused_only > 0, "no change was rejected, so nothing was checked about it");
}

TEST_CASE("Configuration - of two changes with the same base, the second gets a conflict that names the first")
{
	ConfigurationHarness harness(7);
	harness.managers[0]->Accept(MakeChange("first", "s", 1, 0), [](const ApplyResult &) {});
	harness.platform.RunAll();
	ApplyResult second;
	harness.managers[1]->Accept(MakeChange("second", "s", 2, 0), [&](const ApplyResult &result) { second = result; });
	harness.platform.RunAll();
	CHECK(second.end == ApplyOutcome::Conflict);
	CHECK(second.other.id == "first");
	CHECK(second.other.author == "author-first");
}

TEST_CASE("Configuration - an instance starts from a snapshot and later entries, and a peer serves them if the table is unavailable")
{
	ConfigurationHarness harness(9);
	for (uint64_t i = 0; i < 10; i++) {
		harness.managers[0]->Accept(MakeChange("c" + std::to_string(i), "s", static_cast<int>(i), i), [](const ApplyResult &) {});
		harness.platform.RunAll();
	}
	CHECK(harness.platform.rows.contains("object/config/snapshot"));
	harness.managers[1]->Bootstrap();
	harness.platform.RunAll();
	CHECK(harness.managers[1]->State().Sequence() == 10);
	harness.platform.down = true;
	harness.managers[2]->Bootstrap();
	harness.platform.RunAll();
	CHECK(harness.managers[2]->State().Sequence() == 0);
	CHECK(harness.managers[2]->ConfirmedAt() == TimePoint{});
	PeerMessage answer = harness.managers[1]->MakeFetchReply(0);
	REQUIRE(std::holds_alternative<SnapshotMessage>(answer));
	harness.managers[2]->OnSnapshot(std::get<SnapshotMessage>(answer).snapshot);
	CHECK(harness.managers[2]->State().Sequence() == 10);
	PeerMessage tail = harness.managers[0]->MakeFetchReply(7);
	REQUIRE(std::holds_alternative<EntriesMessage>(tail));
	CHECK(std::get<EntriesMessage>(tail).entries.size() == 3);
}

TEST_CASE("Configuration - the share of an account takes precedence over that of a model or service, and both over the default")
{
	ConfigurationState state;
	Change change = MakeChange("c", "*", 1, 0);
	for (const char *name : {"model:small", "account:kiosk"})
		change.records.push_back({RecordKind::Share, name, false, std::string("{\"") + name + "\":1}"});
	REQUIRE(state.Apply({1, change}));
	CHECK(state.FindShare("kiosk", "model:small")->halls.at(0).hall == "account:kiosk");
	CHECK(state.FindShare("other", "model:small")->halls.at(0).hall == "model:small");
	CHECK(state.FindShare("other", "service:pay")->halls.at(0).hall == "hall");
}

TEST_CASE("Configuration - validation errors name the problem")
{
	ConfigurationState state;
	auto wrong = [&](const char *json) {
		auto change = ParseChange(json);
		if (!change) return change.error().peer + " " + change.error().message;
		auto valid = state.Validate(change.value(), {});
		return valid ? std::string() : valid.error().peer + " " + valid.error().message;
	};
	CHECK(wrong("[]").find("object") != std::string::npos);
	CHECK(wrong(R"({"id":"a","author":"b","records":[]})").find("empty") != std::string::npos);
	CHECK(wrong(R"({"id":"a","author":"b","records":[{"kind":"modell","name":"x","content":{}}]})").find("no such kind") !=
	      std::string::npos);
	CHECK(wrong(R"({"id":"a","author":"b","records":[{"kind":"model","name":"x","content":{"contxt":1}}]})").find("no such field") !=
	      std::string::npos);
	CHECK(wrong(R"({"id":"a","author":"b","records":[{"kind":"target","name":"t","content":{"address":"1:2","hall":"h","serves":["m"]}}]})")
	              .find("unknown model m") != std::string::npos);
	CHECK(wrong(R"({"id":"a","author":"b","records":[{"kind":"account","name":"x","content":{"key_sha256":"zz"}}]})").find("hexadecimal") !=
	      std::string::npos);
	CHECK(wrong(R"({"id":"a","author":"b","records":[{"kind":"model","name":"m","content":{}}]})").empty());
}

TEST_CASE("Configuration - arbitrary bytes are tolerated")
{
	bool good = rc::check("bytes", [](const std::string &bytes) {
		(void)ParseChange(bytes);
		(void)ParseEntry(bytes);
		(void)ParseChangeFile(bytes, "file");
		(void)ConfigurationState().Load(bytes);
		(void)ParseTarget("name", bytes);
		(void)ParseAccount("name", bytes);
	});
	CHECK(good);
}
