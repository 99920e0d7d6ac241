/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file json_text.h Writes JSON whose texts come from outside. */

#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace cottonspool {

/** Spaces of indentation that mean a single line. */
inline constexpr int JSON_ONE_LINE = -1;

/**
 * @return \a value as JSON. Bytes that are not UTF-8, which JSON cannot hold, are replaced by U+FFFD: callers, targets, peers and the store
 *         may send any bytes, and by default the library throws.
 */
inline std::string ToJsonText(const nlohmann::json &value, int indent = JSON_ONE_LINE)
{
	return value.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

/** @return Whether JSON can hold \a text as it is. */
inline bool IsJsonText(const std::string &text)
{
	// Of two replacement policies only one keeps the invalid bytes out, so they differ if there are any.
	using Handler = nlohmann::json::error_handler_t;
	nlohmann::json value(text);
	return value.dump(JSON_ONE_LINE, ' ', false, Handler::replace) == value.dump(JSON_ONE_LINE, ' ', false, Handler::ignore);
}

} // namespace cottonspool
