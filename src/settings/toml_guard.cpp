/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file toml_guard.cpp Keeps text away from toml++ that it cannot take. */

#include "settings/toml_guard.h"
#include <algorithm>

namespace cottonspool {

/** @return The length of the quoted text that begins \a text: up to its end mark, or to the line's end when it has none. */
static size_t QuotedLength(std::string_view text)
{
	char mark = text[0];
	bool multi_line = text.size() >= 3 && text[1] == mark && text[2] == mark;
	size_t width = multi_line ? 3 : 1;
	for (size_t i = width; i < text.size(); i++) {
		if (text[i] == '\\' && mark == '"') {
			i++;
			continue;
		}
		if (text[i] == '\n' && !multi_line) return i;
		if (text.substr(i, width) == std::string(width, mark)) return i + width;
	}
	return text.size();
}

Result<void> CheckPlainToml(std::string_view text, const std::string &file)
{
	size_t line = 1;
	for (size_t i = 0; i < text.size(); i++) {
		size_t skipped = 0;
		if (text[i] == '"' || text[i] == '\'') skipped = QuotedLength(text.substr(i));
		if (text[i] == '#') skipped = std::min(text.find('\n', i), text.size()) - i;
		if (skipped > 0) {
			line += static_cast<size_t>(
			        std::count(text.begin() + static_cast<long>(i), text.begin() + static_cast<long>(i + skipped), '\n'));
			i += skipped - 1;
			continue;
		}
		if (text[i] == '\n') line++;
		if (static_cast<unsigned char>(text[i]) < 0x80) continue;
		return Error{Step::Settings, file + ":" + std::to_string(line), "letters beyond ASCII are allowed only inside quotes and comments"};
	}
	return outcome::success();
}

} // namespace cottonspool
