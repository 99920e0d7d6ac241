/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file fake_platform.h In-memory platform for unit tests, with late and lost answers and calls that are not sent, chosen by a seed. */

#pragma once

#include "platform/platform_base.h"
#include <deque>
#include <map>
#include <pcg_random.hpp>

namespace cottonspool {

/** A platform whose calls proceed when the test runs them. */
class FakePlatform : public Platform {
public:
	explicit FakePlatform(uint64_t seed) : random(seed) {}

	void ReadRow(const std::string &key, ReadDone done) override { this->Read(key, std::move(done)); }
	void ReadObject(const std::string &key, ReadDone done) override { this->Read("object/" + key, std::move(done)); }

	void InsertRow(const std::string &key, const std::string &value, WriteDone done) override
	{
		this->Write(key, value, "", std::move(done));
	}

	void ReplaceRow(const std::string &key, const std::string &value, const std::string &version, WriteDone done) override
	{
		this->Write(key, value, version, std::move(done));
	}

	void WriteObject(const std::string &key, const std::string &value, const std::string &version, WriteDone done) override
	{
		this->Write("object/" + key, value, version, std::move(done));
	}

	void ScanRows(const std::string &prefix, const std::string &after, ScanDone done) override
	{
		this->Enqueue([this, prefix, after, done = std::move(done)] {
			if (this->Chance(this->not_sent) || this->down) return done(Error{Step::Table, "fake", "not sent"});
			std::vector<PlatformRow> found;
			for (auto it = this->rows.upper_bound(std::max(prefix, after)); it != this->rows.end() && found.size() < SCAN_PAGE; ++it) {
				if (it->first.starts_with(prefix)) found.push_back(it->second);
			}
			this->Enqueue([done, found] { done(found); });
		});
	}

	void ListInstances(ListDone done) override
	{
		this->Enqueue([done = std::move(done)] { done(std::vector<ListedInstance>{}); });
	}

	/** Run up to \a count pending steps, in random order. */
	void Run(size_t count)
	{
		for (size_t i = 0; i < count && !this->waiting.empty(); i++) {
			size_t chosen = this->random() % std::min<size_t>(this->waiting.size(), 4);
			auto step = std::move(this->waiting[chosen]);
			this->waiting.erase(this->waiting.begin() + static_cast<long>(chosen));
			step();
		}
	}

	/** Run all steps, including those that they add. */
	void RunAll()
	{
		while (!this->waiting.empty()) this->Run(1);
	}

	double lost_answers = 0;                 ///< Fraction of writes whose answers are lost.
	double not_sent = 0;                     ///< Fraction of calls that are not sent.
	double late_effects = 0;                 ///< Fraction of writes that take effect after their outcome was reported as unknown.
	bool down = false;                       ///< The platform is unreachable.
	std::map<std::string, PlatformRow> rows; ///< Rows and objects by key.

private:
	bool Chance(double probability) { return static_cast<double>(this->random() % 10000) < probability * 10000; }
	void Enqueue(std::function<void()> step) { this->waiting.push_back(std::move(step)); }

	void Read(const std::string &key, ReadDone done)
	{
		this->Enqueue([this, key, done = std::move(done)] {
			if (this->Chance(this->not_sent) || this->down) return done(Error{Step::Table, "fake", "not sent"});
			auto found = this->rows.find(key);
			PlatformRow row = found == this->rows.end() ? PlatformRow{key, "", ""} : found->second;
			this->Enqueue([done, row] { done(row); });
		});
	}

	WriteOutcome ApplyWrite(const std::string &key, const std::string &value, const std::string &version)
	{
		auto found = this->rows.find(key);
		std::string present = found == this->rows.end() ? "" : found->second.version;
		if (present != version) return {WriteResult::Conflict, ""};
		std::string next = "v" + std::to_string(++this->versions);
		this->rows[key] = PlatformRow{key, value, next};
		return {WriteResult::Done, next};
	}

	void Write(const std::string &key, const std::string &value, const std::string &version, WriteDone done)
	{
		this->Enqueue([=, this, done = std::move(done)] {
			if (this->Chance(this->not_sent) || this->down) return done({WriteResult::NotDone, ""});
			if (this->Chance(this->late_effects)) {
				this->Enqueue([=, this] { this->ApplyWrite(key, value, version); });
				return done({WriteResult::Unknown, ""});
			}
			WriteOutcome outcome = this->ApplyWrite(key, value, version);
			if (this->Chance(this->lost_answers)) outcome = {WriteResult::Unknown, ""};
			this->Enqueue([done, outcome] { done(outcome); });
		});
	}

	pcg64 random;                              ///< Random generator.
	std::deque<std::function<void()>> waiting; ///< Pending steps.
	uint64_t versions = 0;                     ///< Number of versions issued.
};

} // namespace cottonspool
