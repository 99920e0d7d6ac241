/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file toml_parser.cpp Keeps text away from toml++ that it cannot take. */

#include "settings/toml_parser.h"
#include <algorithm>
#include <toml++/toml.h>

namespace cottonspool {

/** @return The length of the quoted text that begins \a text, with its end mark; 0 when it has none. */
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
		if (text[i] == '\n' && !multi_line) return 0;
		if (text.substr(i, width) == std::string(width, mark)) return i + width;
	}
	return 0;
}

/** @return Whether the table header that begins \a text goes on with something that can begin a name. */
static bool HasTableName(std::string_view text)
{
	size_t at = text.find_first_not_of(" \t", text.starts_with("[[") ? 2 : 1);
	if (at == std::string_view::npos) return false;
	auto c = static_cast<unsigned char>(text[at]);
	return isalnum(c) != 0 || c == '_' || c == '-' || c == '"' || c == '\'';
}

namespace {

/** Follows the brackets of a text outside quotes and comments. */
class BracketCheck {
public:
	/** Take in the text at \a rest, whose first character is neither quoted nor in a comment. @return What is wrong; null for nothing. */
	const char *Consume(std::string_view rest)
	{
		char c = rest[0];
		bool header = c == '[' && this->begins_line && this->open.empty();
		this->begins_line = c == '\n' || (this->begins_line && (c == ' ' || c == '\t'));
		this->in_header = header || (this->in_header && c != '\n');
		if (header) return HasTableName(rest) ? nullptr : "a table has no name";
		if (this->in_header && this->open.empty() && (c == '[' || c == ']')) return nullptr;
		if (c == '[' || c == '{') this->open.push_back(c);
		if (c != ']' && c != '}') return nullptr;
		char wanted = c == '}' ? '{' : '[';
		if (this->open.empty() || this->open.back() != wanted) return "a bracket closes nothing";
		this->open.pop_back();
		return nullptr;
	}

	/** Something quoted, or a comment, was passed over. */
	void Skip() { this->begins_line = false; }

	/** @return Whether some are open. */
	bool HasOpenBrackets() const { return !this->open.empty(); }

private:
	std::string open;        ///< Arrays and tables in values that are open.
	bool begins_line = true; ///< Nothing but blanks so far in this line.
	bool in_header = false;  ///< This line is a table's header, with brackets of its own.
};

} // namespace

Result<void> CheckPlainToml(std::string_view text, const std::string &file)
{
	size_t line = 1;
	BracketCheck brackets;
	auto error_at = [&](const char *what) { return Error{Step::Settings, file + ":" + std::to_string(line), what}; };
	for (size_t i = 0; i < text.size(); i++) {
		size_t skipped = 0;
		bool quoted = text[i] == '"' || text[i] == '\'';
		if (quoted) skipped = QuotedLength(text.substr(i));
		if (quoted && skipped == 0) return error_at("a quote is not closed");
		if (text[i] == '#') skipped = std::min(text.find('\n', i), text.size()) - i;
		if (skipped > 0) {
			std::string_view passed = text.substr(i, skipped);
			line += static_cast<size_t>(std::count(passed.begin(), passed.end(), '\n'));
			i += skipped - 1;
			brackets.Skip();
			continue;
		}
		if (const char *wrong = brackets.Consume(text.substr(i))) return error_at(wrong);
		if (text[i] == '\n') line++;
		if (static_cast<unsigned char>(text[i]) >= 0x80)
			return error_at("letters beyond ASCII are allowed only inside quotes and comments");
	}
	if (brackets.HasOpenBrackets()) return error_at("a bracket is not closed");
	return outcome::success();
}

Result<toml::table> ParseToml(std::string_view text, const std::string &file)
{
	BOOST_OUTCOME_TRYV(CheckPlainToml(text, file));
	// What toml++ does wrong, it does where it reports a fault beside letters beyond ASCII: it sees them once there is no fault.
	std::string plain(text);
	for (char &c : plain) {
		if (static_cast<unsigned char>(c) >= 0x80) c = 'x';
	}
	try {
		static_cast<void>(toml::parse(plain, file));
		return toml::parse(text, file);
	} catch (const toml::parse_error &error) {
		return Error{Step::Settings, file + ":" + std::to_string(error.source().begin.line), std::string(error.description())};
	}
}

} // namespace cottonspool
