/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_store.h HTTP client of the platform's store. */

#pragma once

#include "net/http_upstream.h"
#include "store/table_store_base.h"

namespace cottonspool {

/** The platform's store, called over HTTP. */
class WireStore : public TableStore {
public:
	WireStore(HttpUpstream &upstream, Endpoint address) : upstream(upstream), address(std::move(address)) {}

	uint64_t ReadRows(const std::string &table, const std::string &from, RowsDone done) override;
	uint64_t ReadChanges(const std::string &table, uint64_t version, Duration wait, RowsDone done) override;
	uint64_t WriteRow(const std::string &table, const std::string &key, const std::string &value, WriteDone done) override;
	uint64_t RemoveRow(const std::string &table, const std::string &key, WriteDone done) override;
	void Cancel(uint64_t call) override { this->upstream.Cancel(call); }

	/** Use the address \a new_address for calls from now on. */
	void SetAddress(Endpoint new_address) { this->address = std::move(new_address); }

	static constexpr const char *PEER = "store"; ///< Peer name of its connections in the connection pool.

private:
	/** An answer of the store. */
	struct Answer {
		int status = 0;         ///< HTTP status; 0 if there was no complete answer.
		uint64_t epoch = 0;     ///< Store epoch; 0 if not reported.
		std::string body;       ///< Body.
		const char *cause = ""; ///< Why there was none.
	};
	using AnswerDone = std::function<void(const Answer &)>;

	uint64_t Call(std::string method, std::string target, std::string body, AnswerDone done);
	uint64_t Get(std::string target, RowsDone done);
	uint64_t Transact(std::string body, WriteDone done);

	HttpUpstream &upstream; ///< HTTP client.
	Endpoint address;       ///< Address of the store.
};

/** Decode the store's answer to a read. */
RowsAnswer DecodeRows(int status, const std::string &text);

} // namespace cottonspool
