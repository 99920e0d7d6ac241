/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file platform_client.h HTTP client of the platform's table, object store and instance list. */

#pragma once

#include "http/http_client.h"
#include "platform/platform_base.h"

namespace cottonspool {

/** Counters of platform calls. */
struct PlatformCounters {
	uint64_t reads = 0;    ///< Reads sent.
	uint64_t writes = 0;   ///< Writes sent.
	uint64_t failures = 0; ///< Calls without a usable answer.
	uint64_t refused = 0;  ///< Calls not sent because too many were in flight.
};

/** Calls the platform over HTTP, with a deadline per call and a limit on the calls in flight. */
class PlatformClient : public Platform {
public:
	PlatformClient(HttpClient &client, std::string base, Duration deadline) : client(client), base(std::move(base)), deadline(deadline) {}

	void ReadRow(const std::string &key, ReadDone done) override;
	void InsertRow(const std::string &key, const std::string &value, WriteDone done) override;
	void ReplaceRow(const std::string &key, const std::string &value, const std::string &version, WriteDone done) override;
	void ScanRows(const std::string &prefix, const std::string &after, ScanDone done) override;
	void ReadObject(const std::string &key, ReadDone done) override;
	void WriteObject(const std::string &key, const std::string &value, const std::string &version, WriteDone done) override;
	void ListInstances(ListDone done) override;

	/** @return Counters since the start. */
	const PlatformCounters &Counters() const { return this->counters; }

private:
	using AnswerDone = std::function<void(const HttpCallResult &, const HttpHeaders &, const std::string &)>;

	void Send(const std::string &method, const std::string &path, HttpHeaders headers, const std::string &body, AnswerDone done);
	void Read(const std::string &path, Step step, ReadDone done);
	void Write(const std::string &path, const std::string &value, HttpHeaders headers, WriteDone done);

	static constexpr size_t MAX_CALLS = 64; ///< Limit on the calls in flight.

	HttpClient &client;         ///< HTTP client.
	std::string base;           ///< Base URL.
	Duration deadline;          ///< Time limit per call.
	size_t calls_in_flight = 0; ///< Calls in flight.
	PlatformCounters counters;  ///< Counters.
};

} // namespace cottonspool
