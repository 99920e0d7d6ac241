/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file platform_client.h Calls to the platform's table, object store and instance list. */

#pragma once

#include "core/error_type.h"
#include "decision/lease.h"
#include "http/http_client.h"
#include <optional>

namespace cottonspool {

/** A row of the table, or an object. */
struct PlatformRow {
	std::string key;     ///< Key.
	std::string value;   ///< Content.
	std::string version; ///< Version for Replace(); empty when there is no such row.
};

/** How a write ended. */
struct WriteOutcome {
	WriteResult result = WriteResult::Unknown; ///< Done, not done, or unknown.
	std::string version;                       ///< New version, when done.
};

/** An instance as the platform's list shows it, with a lag. */
struct ListedInstance {
	std::string name;     ///< Name of an instance or a target.
	bool leaving = false; ///< Shown as leaving.
};

/** Counters of platform calls. */
struct PlatformCounters {
	uint64_t reads = 0;    ///< Reads sent.
	uint64_t writes = 0;   ///< Writes sent.
	uint64_t failures = 0; ///< Calls without a usable answer.
	uint64_t refused = 0;  ///< Calls not sent because too many were under way.
};

/** Makes platform calls, each with a deadline, and at most so many at once. */
class PlatformClient {
public:
	using ReadDone = std::function<void(Result<PlatformRow>)>;
	using ScanDone = std::function<void(Result<std::vector<PlatformRow>>)>;
	using WriteDone = std::function<void(WriteOutcome)>;
	using ListDone = std::function<void(Result<std::vector<ListedInstance>>)>;

	PlatformClient(HttpClient &client, std::string base, Duration deadline) : client(client), base(std::move(base)), deadline(deadline) {}

	void ReadRow(const std::string &key, ReadDone done);                              ///< Read a row of the table.
	void InsertRow(const std::string &key, const std::string &value, WriteDone done); ///< Write a row if there is none.
	/** Write a row if it still has \a version. */
	void ReplaceRow(const std::string &key, const std::string &value, const std::string &version, WriteDone done);
	/** Read up to 500 rows whose keys begin with \a prefix and come after \a after. */
	void ScanRows(const std::string &prefix, const std::string &after, ScanDone done);
	void ReadObject(const std::string &key, ReadDone done); ///< Read an object.
	/** Write an object if it still has \a version; an empty version means if there is none. */
	void WriteObject(const std::string &key, const std::string &value, const std::string &version, WriteDone done);
	void ListInstances(ListDone done); ///< Read the list of live and leaving instances.

	/** @return Counters since the start. */
	const PlatformCounters &Counters() const { return this->counters; }

private:
	using AnswerDone = std::function<void(const HttpEnd &, const HttpHeaders &, const std::string &)>;

	void Send(const std::string &method, const std::string &path, HttpHeaders headers, const std::string &body, AnswerDone done);
	void Read(const std::string &path, Step step, ReadDone done);
	void Write(const std::string &path, const std::string &value, HttpHeaders headers, WriteDone done);

	static constexpr size_t MAX_CALLS = 64; ///< Most calls under way.

	HttpClient &client;        ///< HTTP.
	std::string base;          ///< Base URL.
	Duration deadline;         ///< Deadline of one call.
	size_t under_way = 0;      ///< Calls under way.
	PlatformCounters counters; ///< Counters.
};

} // namespace cottonspool
