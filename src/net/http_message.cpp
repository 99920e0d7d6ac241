/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_message.cpp Parses HTTP/1.1 requests, and formats heads of messages. */

#include "net/http_message.h"
#include <algorithm>
#include <array>
#include <http_parser.h>
#include <strings.h>

namespace cottonspool {

/** State of http-parser and the head being received. */
struct RequestReader::Parser {
	http_parser state{};              ///< The parser.
	http_parser_settings callbacks{}; ///< Its callbacks.
	HttpHead head;                    ///< Head received so far.
	bool in_value = false;            ///< The last piece belonged to the value of a field, not to a name.

	static RequestReader *Of(http_parser *parser) { return static_cast<RequestReader *>(parser->data); }
	void AddName(std::string_view piece);
	static int OnHeadersComplete(http_parser *parser);
	static int OnMessageComplete(http_parser *parser);
	static bool CountHead(RequestReader *reader, size_t length);
};

void RequestReader::Parser::AddName(std::string_view piece)
{
	if (this->in_value || this->head.headers.empty()) this->head.headers.emplace_back();
	this->in_value = false;
	this->head.headers.back().name.append(piece);
}

bool RequestReader::Parser::CountHead(RequestReader *reader, size_t length)
{
	reader->head_bytes += length;
	if (reader->head_bytes <= reader->max_head_bytes) return true;
	reader->error = HttpReadError::HeadersTooBig;
	return false;
}

/** @return Whether \a header has a valid name and value; others may be interpreted differently by other software. */
static bool IsUnambiguous(const HttpHeader &header)
{
	static constexpr std::string_view MARKS = "!#$%&'*+-.^_`|~";
	auto token = [](char c) { return isalnum(static_cast<unsigned char>(c)) != 0 || MARKS.find(c) != std::string_view::npos; };
	auto text = [](char c) { return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != 0x7f); };
	if (header.name.empty() || !std::all_of(header.name.begin(), header.name.end(), token)) return false;
	return std::all_of(header.value.begin(), header.value.end(), text);
}

int RequestReader::Parser::OnHeadersComplete(http_parser *parser)
{
	RequestReader *reader = Of(parser);
	HttpHead &head = reader->parser->head;
	if (!std::all_of(head.headers.begin(), head.headers.end(), IsUnambiguous)) {
		reader->error = HttpReadError::Malformed;
		return -1;
	}
	head.keep_alive = http_should_keep_alive(parser) != 0;
	head.chunked = (parser->flags & F_CHUNKED) != 0;
	head.http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
	if ((parser->flags & F_CONTENTLENGTH) != 0) head.length = parser->content_length;
	head.method = http_method_str(static_cast<http_method>(parser->method));
	reader->head_bytes = 0;
	// Upgrades are not supported: ignore a request for one.
	parser->upgrade = 0;
	if (reader->on_head) reader->on_head(std::move(head));
	head = HttpHead{};
	return 0;
}

int RequestReader::Parser::OnMessageComplete(http_parser *parser)
{
	RequestReader *reader = Of(parser);
	parser->upgrade = 0;
	reader->inside = false;
	reader->paused = true;
	http_parser_pause(parser, 1);
	return 0;
}

RequestReader::RequestReader() : parser(std::make_unique<Parser>())
{
	http_parser_init(&this->parser->state, HTTP_REQUEST);
	this->parser->state.data = this;
	http_parser_settings &callbacks = this->parser->callbacks;
	http_parser_settings_init(&callbacks);
	callbacks.on_message_begin = [](http_parser *p) {
		RequestReader *reader = Parser::Of(p);
		reader->inside = true;
		reader->head_bytes = 0;
		reader->parser->head = HttpHead{};
		reader->parser->in_value = false;
		return 0;
	};
	callbacks.on_url = [](http_parser *p, const char *at, size_t length) {
		Parser::Of(p)->parser->head.target.append(at, length);
		return Parser::CountHead(Parser::Of(p), length) ? 0 : 1;
	};
	callbacks.on_header_field = [](http_parser *p, const char *at, size_t length) {
		Parser::Of(p)->parser->AddName(std::string_view(at, length));
		return Parser::CountHead(Parser::Of(p), length) ? 0 : 1;
	};
	callbacks.on_header_value = [](http_parser *p, const char *at, size_t length) {
		Parser &parser = *Parser::Of(p)->parser;
		parser.in_value = true;
		parser.head.headers.back().value.append(at, length);
		return Parser::CountHead(Parser::Of(p), length) ? 0 : 1;
	};
	callbacks.on_headers_complete = &Parser::OnHeadersComplete;
	callbacks.on_body = [](http_parser *p, const char *at, size_t length) {
		RequestReader *reader = Parser::Of(p);
		if (reader->on_body) reader->on_body(std::string_view(at, length));
		return 0;
	};
	callbacks.on_message_complete = &Parser::OnMessageComplete;
}

RequestReader::~RequestReader() = default;

bool RequestReader::Parse(std::string_view bytes)
{
	size_t used = http_parser_execute(&this->parser->state, &this->parser->callbacks, bytes.data(), bytes.size());
	auto code = static_cast<http_errno>(this->parser->state.http_errno);
	if (code == HPE_PAUSED) {
		// The message is complete; buffer the bytes behind it.
		this->buffered.append(bytes.substr(std::min(bytes.size(), used)));
		if (this->on_complete) this->on_complete();
		return true;
	}
	if (code == HPE_OK && used == bytes.size()) return true;
	if (this->error == HttpReadError::None) {
		this->error = code == HPE_HEADER_OVERFLOW ? HttpReadError::HeadersTooBig : HttpReadError::Malformed;
	}
	return false;
}

bool RequestReader::Add(std::string_view bytes)
{
	if (this->error != HttpReadError::None) return false;
	if (this->paused) {
		this->buffered.append(bytes);
		return true;
	}
	return this->Parse(bytes);
}

bool RequestReader::Resume()
{
	if (this->error != HttpReadError::None) return false;
	if (!this->paused) return true;
	this->paused = false;
	http_parser_pause(&this->parser->state, 0);
	std::string bytes = std::move(this->buffered);
	this->buffered.clear();
	return bytes.empty() || this->Parse(bytes);
}

const char *FramingName(const HttpHead &head)
{
	if (head.status == 0) return "";
	if (head.chunked) return "chunks";
	return head.length ? "length" : "close";
}

const char *ReasonPhrase(int status)
{
	switch (status) {
#define COTTONSPOOL_STATUS(number, name, text)                                                                                             \
	case number:                                                                                                                           \
		return #text;
		HTTP_STATUS_MAP(COTTONSPOOL_STATUS)
#undef COTTONSPOOL_STATUS
	default:
		return "Unknown";
	}
}

void AppendHeaders(std::string &out, const HttpHeaders &headers)
{
	for (const HttpHeader &header : headers) {
		out += header.name;
		out += ": ";
		out += header.value;
		out += "\r\n";
	}
}

bool IsConnectionField(std::string_view name)
{
	static constexpr std::array<std::string_view, 10> FIELDS{
	        "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
	        "trailer",    "transfer-encoding", "upgrade",          "content-length"};
	return std::any_of(FIELDS.begin(), FIELDS.end(), [&](std::string_view field) {
		return field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0;
	});
}

/** @return Whether the comma-separated \a list contains \a name. */
static bool ListContains(std::string_view list, std::string_view name)
{
	while (!list.empty()) {
		size_t comma = std::min(list.find(','), list.size());
		std::string_view item = list.substr(0, comma);
		while (!item.empty() && item.front() == ' ') item.remove_prefix(1);
		while (!item.empty() && item.back() == ' ') item.remove_suffix(1);
		if (item.size() == name.size() && strncasecmp(item.data(), name.data(), name.size()) == 0) return true;
		list.remove_prefix(std::min(comma + 1, list.size()));
	}
	return false;
}

HttpHeaders WithoutConnectionFields(const HttpHeaders &headers)
{
	std::string_view named = FindHeader(headers, "connection");
	HttpHeaders kept;
	for (const HttpHeader &header : headers) {
		if (!IsConnectionField(header.name) && !ListContains(named, header.name)) kept.push_back(header);
	}
	return kept;
}

} // namespace cottonspool
