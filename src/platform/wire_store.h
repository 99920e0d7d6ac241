/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_store.h The platform's store behind the interface that the product uses. */

#pragma once

#include "net/http_upstream.h"
#include "store/table_store_base.h"

namespace cottonspool {

/** Calls to the platform's store. */
class WireStore : public TableStore {
public:
	WireStore(HttpUpstream &upstream, Endpoint address) : upstream(upstream), address(std::move(address)) {}

	uint64_t ReadRows(const std::string &table, const std::string &from, RowsDone done) override;
	uint64_t ReadChanges(const std::string &table, uint64_t version, Duration wait, RowsDone done) override;
	uint64_t WriteRow(const std::string &table, const std::string &key, const std::string &value, WriteDone done) override;
	uint64_t RemoveRow(const std::string &table, const std::string &key, WriteDone done) override;
	void Cancel(uint64_t call) override { this->upstream.Cancel(call); }

	/** The store is at \a new_address from now on. */
	void SetAddress(Endpoint new_address) { this->address = std::move(new_address); }

	static constexpr const char *PEER = "store"; ///< Name under which its connections are kept.

private:
	/** A whole answer of the store, or none. */
	struct Answer {
		int status = 0;         ///< Status; 0 if no whole answer came.
		uint64_t epoch = 0;     ///< Which life of the store it is; 0 if it does not tell.
		std::string body;       ///< Body.
		const char *cause = ""; ///< Why none came.
	};
	using AnswerDone = std::function<void(const Answer &)>;

	uint64_t Call(std::string method, std::string target, std::string body, AnswerDone done);
	uint64_t Get(std::string target, RowsDone done);
	uint64_t Transact(std::string body, WriteDone done);

	HttpUpstream &upstream; ///< HTTP.
	Endpoint address;       ///< Where the store is.
};

/** Decode an answer of the store to a read. */
RowsAnswer DecodeRows(int status, const std::string &text);

} // namespace cottonspool
