/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file answer_reader.cpp Parses HTTP/1.1 answers and refuses those that break the protocol. */

#include "net/answer_reader.h"
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace cottonspool {

namespace http = boost::beast::http;
using boost::beast::string_view;
using ErrorCode = boost::beast::error_code;

static constexpr int MIN_STATUS = 100;          ///< Lowest valid status.
static constexpr int MAX_STATUS = 599;          ///< Highest valid status.
static constexpr int SWITCHING_PROTOCOLS = 101; ///< Status of an answer after which another protocol follows.
static constexpr size_t MINOR_VERSION_AT = 7;   ///< Offset of the minor version in an answer.
static constexpr size_t MAX_FAULT_BYTES = 48;   ///< Bytes of a malformed answer that are shown.

/** @return \a text as std::string_view. */
static std::string_view View(string_view text)
{
	return {text.data(), text.size()};
}

/** Boost.Beast's parser, which collects the head of one answer and checks what Boost.Beast does not. */
class AnswerReader::Parser : public http::basic_parser<false> {
public:
	explicit Parser(AnswerReader &reader) : reader(reader)
	{
		this->eager(true);
		this->skip(reader.answers_head_request);
		this->header_limit(static_cast<uint32_t>(reader.max_head_bytes));
		this->body_limit(UINT64_MAX);
	}

	const char *what = nullptr; ///< What this class found to break the protocol; null for nothing.

private:
	void on_request_impl(http::verb, string_view, string_view, int, ErrorCode &) override {}

	void on_response_impl(int status, string_view reason, int version, ErrorCode &error) override
	{
		this->head.status = status;
		this->head.reason = View(reason);
		this->head.http_1_0 = version == 10;
		if (status < MIN_STATUS || status > MAX_STATUS) return this->Refuse("the status is not between 100 and 599", error);
		// No request of this client asks for another protocol.
		if (status == SWITCHING_PROTOCOLS) this->Refuse("status 101 without a request for another protocol", error);
	}

	void on_field_impl(http::field field, string_view name, string_view value, ErrorCode &) override
	{
		// The fields behind the last chunk are read for their form only.
		if (this->is_header_done()) return;
		this->head.headers.push_back({std::string(name), std::string(value)});
		if (field != http::field::transfer_encoding) return;
		this->has_coding = true;
		this->has_other_coding |= !boost::beast::iequals(value, "chunked");
	}

	void on_header_impl(ErrorCode &error) override
	{
		if (!this->CheckTransferCoding(error)) return;
		this->head.keep_alive = this->keep_alive();
		this->head.chunked = this->chunked();
		if (auto length = this->content_length()) this->head.length = *length;
		if (this->reader.on_head) this->reader.on_head(std::move(this->head));
	}

	void on_body_init_impl(const boost::optional<uint64_t> &, ErrorCode &) override {}

	size_t on_body_impl(string_view bytes, ErrorCode &) override
	{
		if (this->reader.on_body) this->reader.on_body(View(bytes));
		return bytes.size();
	}

	void on_chunk_header_impl(uint64_t, string_view, ErrorCode &) override {}

	size_t on_chunk_body_impl(uint64_t, string_view bytes, ErrorCode &error) override { return this->on_body_impl(bytes, error); }

	void on_finish_impl(ErrorCode &) override { this->reader.paused = true; }

	void Refuse(const char *why, ErrorCode &error)
	{
		this->what = why;
		error = http::error::bad_value;
	}

	/** Refuse bodies that this client cannot decode, and those whose end is uncertain. @return Whether the body can be read. */
	bool CheckTransferCoding(ErrorCode &error)
	{
		if (!this->has_coding) return true;
		if (this->head.http_1_0) return this->Refuse("a transfer coding in an answer of HTTP/1.0", error), false;
		bool readable = this->chunked() && !this->has_other_coding;
		if (!readable) this->Refuse("a transfer coding other than chunked, which was not asked for", error);
		return readable;
	}

	AnswerReader &reader;          ///< Reader.
	HttpHead head;                 ///< Head received so far.
	bool has_coding = false;       ///< The head names a transfer coding.
	bool has_other_coding = false; ///< The head names another one than chunked.
};

/** @return What breaks the protocol where Boost.Beast reports \a error. */
static const char *DescribeError(const ErrorCode &error)
{
	if (error == http::error::bad_version) return "the answer does not begin with HTTP/1.x and a blank";
	if (error == http::error::bad_status) return "the status is not three digits and a blank";
	if (error == http::error::bad_reason) return "the reason phrase contains a control byte";
	if (error == http::error::bad_field) return "the name of a field is empty or contains a byte that is not allowed";
	if (error == http::error::bad_value) return "the value of a field contains a byte that is not allowed";
	if (error == http::error::bad_line_ending) return "a line does not end with CR LF";
	if (error == http::error::bad_content_length) return "the Content-Length is invalid, or there is another length";
	if (error == http::error::bad_transfer_encoding) return "the Transfer-Encoding is repeated, or there is a Content-Length as well";
	if (error == http::error::bad_chunk) return "the size of a chunk is invalid, or no CR LF follows the chunk";
	if (error == http::error::bad_chunk_extension) return "an extension of a chunk is invalid";
	if (error == http::error::header_limit) return "the head exceeds its size limit";
	return "it breaks the protocol";
}

/** @return The first bytes of \a bytes, up to the end of the line, in a form for logs. */
static std::string Excerpt(std::string_view bytes)
{
	static const char *const DIGITS = "0123456789abcdef";
	bytes = bytes.substr(0, std::min(bytes.find("\r\n"), MAX_FAULT_BYTES));
	std::string text;
	for (char c : bytes) {
		auto code = static_cast<unsigned char>(c);
		if (code >= ' ' && code < 0x7f) {
			text += c;
		} else {
			text += std::string("\\x") + DIGITS[code / 16] + DIGITS[code % 16];
		}
	}
	return text;
}

AnswerReader::AnswerReader() = default;

AnswerReader::~AnswerReader() = default;

bool AnswerReader::Fail(const char *what, std::string_view near)
{
	this->fault = std::string("malformed answer: ") + what + ": '" + Excerpt(near) + "'";
	return false;
}

/** @return Whether an answer that begins with \a bytes has a later minor version than 1.1; RFC 9110, section 2.5, has it read as 1.1. */
static bool HasLaterMinorVersion(std::string_view bytes)
{
	static constexpr std::string_view BEGIN = "HTTP/1.";
	return bytes.starts_with(BEGIN) && bytes.size() > MINOR_VERSION_AT && bytes[MINOR_VERSION_AT] >= '2' && bytes[MINOR_VERSION_AT] <= '9';
}

/** @return Whether \a bytes contain a line feed without a carriage return before it. */
static bool HasBareLineFeed(std::string_view bytes)
{
	for (size_t at = bytes.find('\n'); at != std::string_view::npos; at = bytes.find('\n', at + 1)) {
		if (at == 0 || bytes[at - 1] != '\r') return true;
	}
	return false;
}

bool AnswerReader::Parse(std::string_view bytes)
{
	if (!this->parser && HasLaterMinorVersion(bytes)) {
		std::string as_1_1(bytes);
		as_1_1[MINOR_VERSION_AT] = '1';
		return this->Parse(as_1_1);
	}
	// Made only now, as the settings apply to the next answer.
	if (!this->parser) this->parser = std::make_unique<Parser>(*this);
	std::string_view rest = bytes;
	while (!rest.empty() && !this->paused) {
		ErrorCode error;
		size_t used = this->parser->put({rest.data(), rest.size()}, error);
		rest.remove_prefix(used);
		if (error == http::error::need_more) break;
		if (error) return this->Fail(this->parser->what != nullptr ? this->parser->what : DescribeError(error), rest);
	}
	bool in_head = !this->paused && !this->parser->is_header_done();
	// Boost.Beast would wait for the end of the head before it looks at more of it. So that a fault is found at once, the next bytes are
	// parsed together with those before them.
	if (in_head) this->parser.reset();
	this->unparsed.assign(in_head ? bytes : rest);
	if (!this->paused) return this->CheckIncomplete(in_head);
	if (this->on_complete) this->on_complete();
	return true;
}

bool AnswerReader::CheckIncomplete(bool in_head)
{
	if (this->unparsed.size() > this->max_head_bytes) return this->Fail(DescribeError(http::error::header_limit), this->unparsed);
	// The same for the lines of chunks, and the fields behind the last one.
	return in_head || !HasBareLineFeed(this->unparsed) || this->Fail(DescribeError(http::error::bad_line_ending), this->unparsed);
}

bool AnswerReader::Add(std::string_view bytes)
{
	if (!this->fault.empty()) return false;
	if (this->paused) {
		this->unparsed.append(bytes);
		return true;
	}
	if (this->unparsed.empty()) return this->Parse(bytes);
	std::string joined = std::move(this->unparsed);
	joined.append(bytes);
	return this->Parse(joined);
}

void AnswerReader::AddEof()
{
	if (this->paused || !this->fault.empty() || !this->parser || !this->parser->is_header_done()) return;
	ErrorCode error;
	this->parser->put_eof(error);
	if (this->paused && this->on_complete) this->on_complete();
}

bool AnswerReader::Resume()
{
	if (!this->fault.empty()) return false;
	if (!this->paused) return true;
	this->paused = false;
	this->parser.reset();
	std::string bytes = std::move(this->unparsed);
	this->unparsed.clear();
	return bytes.empty() || this->Parse(bytes);
}

} // namespace cottonspool
