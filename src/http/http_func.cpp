/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_func.cpp Lookup of header fields and query parameters. */

#include "http/http_type.h"
#include <curl/curl.h>
#include <strings.h>

namespace cottonspool {

std::string_view FindHeader(const HttpHeaders &headers, std::string_view name)
{
	for (const HttpHeader &header : headers) {
		if (header.name.size() == name.size() && strncasecmp(header.name.data(), name.data(), name.size()) == 0) return header.value;
	}
	return {};
}

std::string QueryValue(std::string_view query, std::string_view key)
{
	while (!query.empty()) {
		std::string_view part = query.substr(0, query.find('&'));
		query.remove_prefix(std::min(query.size(), part.size() + 1));
		if (part.size() <= key.size() || part.substr(0, key.size()) != key || part[key.size()] != '=') continue;
		int length = 0;
		char *decoded = curl_easy_unescape(nullptr, part.data() + key.size() + 1, static_cast<int>(part.size() - key.size() - 1), &length);
		std::string value(decoded == nullptr ? "" : std::string(decoded, static_cast<size_t>(length)));
		curl_free(decoded);
		return value;
	}
	return {};
}

} // namespace cottonspool
