/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_store.cpp HTTP client of the platform's store. */

#include "platform/wire_store.h"
#include "configuration/json_text.h"
#include "platform/json_func.h"
#include <charconv>
#include <openssl/evp.h>

namespace cottonspool {

static constexpr int PAGE_ROWS = 500;                    ///< Rows per page; the store allows no more.
static constexpr const char *EPOCH_HEADER = "Store-Era"; ///< Header field that holds the store epoch.

/** @return The epoch in \a text; 0 if it is not a number. */
static uint64_t ParseEpoch(std::string_view text)
{
	uint64_t epoch = 0;
	auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), epoch);
	return error == std::errc() && end == text.data() + text.size() ? epoch : 0;
}

/** Decode base64 \a text. @return Nothing if it is invalid. */
static std::optional<std::string> DecodeBase64(const std::string &text)
{
	if (text.empty()) return std::string();
	if (text.size() % 4 != 0) return std::nullopt;
	std::string bytes(text.size() / 4 * 3, '\0');
	int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()),
	                             static_cast<int>(text.size()));
	if (length < 0) return std::nullopt;
	size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
	bytes.resize(static_cast<size_t>(length) - padding);
	return bytes;
}

/** Encode \a bytes as base64. */
static std::string EncodeBase64(const std::string &bytes)
{
	std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
	int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()),
	                             static_cast<int>(bytes.size()));
	text.resize(static_cast<size_t>(length));
	return text;
}

/** @return \a text percent-encoded for a query string. */
static std::string EscapeQuery(std::string_view text)
{
	static constexpr char HEX[] = "0123456789ABCDEF";
	std::string out;
	for (char c : text) {
		bool plain = isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
		if (plain) {
			out += c;
			continue;
		}
		auto byte = static_cast<unsigned char>(c);
		out += {'%', HEX[byte >> 4], HEX[byte & 15]};
	}
	return out;
}

/** Decode a row. @return Nothing if it has no key; a row with an invalid value is marked as unreadable. */
static std::optional<StoredRow> DecodeRow(const Json &from)
{
	// This field holds the key of the row.
	if (!from.is_object() || StringField(from, "tlsKey").empty()) return std::nullopt;
	StoredRow row;
	row.key = StringField(from, "tlsKey");
	row.version = UintField(from, "ver");
	row.deleted = BoolField(from, "deleted");
	if (row.deleted) return row;
	std::optional<std::string> value = DecodeBase64(StringField(from, "value"));
	row.unreadable = !value || from.find("value") == from.end();
	if (value) row.value = std::move(*value);
	return row;
}

RowsAnswer DecodeRows(int status, const std::string &text)
{
	if (status == 410) return {std::nullopt, StoreFailure::HistoryUnavailable, "410"};
	if (status == 429 || status == 503) return {std::nullopt, StoreFailure::Refused, std::to_string(status)};
	if (status == 0) return {std::nullopt, StoreFailure::NoAnswer, "incomplete answer"};
	Json root = Json::parse(text, nullptr, false);
	if (status != 200 || !root.is_object() || !root.contains("ver")) return {std::nullopt, StoreFailure::Malformed, std::to_string(status)};
	RowsPage page;
	page.version = UintField(root, "ver");
	page.more = BoolField(root, "hasMore");
	for (const Json &row : ArrayField(root, "rows")) {
		// An invalid row must not affect the others.
		if (std::optional<StoredRow> decoded = DecodeRow(row)) page.rows.push_back(std::move(*decoded));
	}
	return {std::move(page), StoreFailure::NoAnswer, {}};
}

uint64_t WireStore::Call(std::string method, std::string target, std::string body, AnswerDone done)
{
	auto answer = std::make_shared<Answer>();
	UpstreamCall call;
	call.to = this->address;
	call.peer = PEER;
	call.method = std::move(method);
	call.target = std::move(target);
	call.headers = {{"Host", this->address.Text()}};
	if (!body.empty()) call.headers.push_back({"Content-Type", "application/json"});
	call.body = std::move(body);
	call.on_head = [answer](const HttpHead &head) {
		answer->status = head.status;
		answer->epoch = ParseEpoch(FindHeader(head.headers, EPOCH_HEADER));
		return true;
	};
	call.on_body = [answer](std::string_view bytes) { answer->body.append(bytes); };
	call.on_end = [answer, done = std::move(done)](UpstreamEnd end, const char *cause) {
		if (end != UpstreamEnd::Complete) answer->status = 0;
		answer->cause = cause;
		done(*answer);
	};
	return this->upstream.Start(std::move(call));
}

uint64_t WireStore::Get(std::string target, RowsDone done)
{
	return this->Call("GET", std::move(target), {}, [done = std::move(done)](const Answer &answer) {
		RowsAnswer rows = DecodeRows(answer.status, answer.body);
		rows.epoch = answer.epoch;
		if (answer.status == 0) rows.cause = answer.cause;
		done(std::move(rows));
	});
}

uint64_t WireStore::Transact(std::string body, WriteDone done)
{
	return this->Call("POST", "/-/rows-tx", std::move(body), [done = std::move(done)](const Answer &answer) {
		int status = answer.status;
		bool refused = status == 412 || status == 429 || status == 503 || status == 403;
		done(status == 200 ? StoreWriteResult::Done : refused ? StoreWriteResult::NotDone : StoreWriteResult::Unknown);
	});
}

uint64_t WireStore::WriteRow(const std::string &table, const std::string &key, const std::string &value, WriteDone done)
{
	Json row{{"table", table}, {"part", ""}, {"tlsKey", key}, {"value", EncodeBase64(value)}};
	Json body{{"expectedRev", Json::array()}, {"setKeys", Json::array({row})}, {"remove", Json::array()}};
	return this->Transact(ToJsonText(body), std::move(done));
}

uint64_t WireStore::RemoveRow(const std::string &table, const std::string &key, WriteDone done)
{
	Json row{{"table", table}, {"part", ""}, {"tlsKey", key}};
	Json body{{"expectedRev", Json::array()}, {"setKeys", Json::array()}, {"remove", Json::array({row})}};
	return this->Transact(ToJsonText(body), std::move(done));
}

uint64_t WireStore::ReadRows(const std::string &table, const std::string &from, RowsDone done)
{
	// The system's own tables have one part, with an empty name.
	std::string target = "/-/rows-get?table=" + EscapeQuery(table) + "&part=&limit=" + std::to_string(PAGE_ROWS);
	if (!from.empty()) target += "&from=" + EscapeQuery(from);
	return this->Get(std::move(target), std::move(done));
}

uint64_t WireStore::ReadChanges(const std::string &table, uint64_t version, Duration wait, RowsDone done)
{
	int64_t wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
	std::string target = "/-/rows-feed?table=" + EscapeQuery(table) + "&sinceRev=" + std::to_string(version);
	return this->Get(target + "&waitMs=" + std::to_string(wait_ms), std::move(done));
}

} // namespace cottonspool
