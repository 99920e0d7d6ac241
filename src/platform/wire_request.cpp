/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_request.cpp Header fields of requests and answers. */

#include "platform/wire_request.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace cottonspool {

/** @return The number at the start of \a text, or nothing. */
static std::optional<uint64_t> LeadingNumber(std::string_view text)
{
	uint64_t value = 0;
	auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
	if (parsed.ec != std::errc()) return std::nullopt;
	return value;
}

/** @return The number at the start of \a text, the largest that 32 bits hold if it is larger, or 0. */
static uint32_t LeadingUint32(std::string_view text)
{
	return static_cast<uint32_t>(std::min<uint64_t>(LeadingNumber(text).value_or(0), UINT32_MAX));
}

/** Split \a text at commas. */
static std::vector<std::string_view> Split(std::string_view text)
{
	std::vector<std::string_view> parts;
	while (!text.empty()) {
		size_t comma = std::min(text.find(','), text.size());
		parts.push_back(text.substr(0, comma));
		text.remove_prefix(std::min(comma + 1, text.size()));
	}
	return parts;
}

RequestInfo ReadRequest(const HttpHead &head)
{
	static constexpr std::string_view SCHEME = "bearer ";
	RequestInfo info;
	info.attempt = FindHeader(head.headers, "X-Attempt-Id");
	static constexpr uint64_t MAX_MS = 1000ULL * 86400 * 365; ///< A year: longer limits mean none, and their sums still fit.
	if (auto ms = LeadingNumber(FindHeader(head.headers, "X-Deadline-Ms")))
		info.deadline = std::chrono::milliseconds(std::min(*ms, MAX_MS));
	std::string_view authorization = FindHeader(head.headers, "Authorization");
	bool bearer = authorization.size() > SCHEME.size() && strncasecmp(authorization.data(), SCHEME.data(), SCHEME.size()) == 0;
	if (bearer) info.key = authorization.substr(SCHEME.size());
	info.model = FindHeader(head.headers, "X-Model");
	// "IN,OUT": tokens of the prompt, and the most that may be generated.
	std::vector<std::string_view> tokens = Split(FindHeader(head.headers, "X-Token-Count"));
	if (!tokens.empty()) info.prompt_tokens = LeadingUint32(tokens[0]);
	if (tokens.size() > 1) info.max_output_tokens = LeadingUint32(tokens[1]);
	info.hinted_tokens = LeadingUint32(FindHeader(head.headers, "X-Length-Hint"));
	// "ID:TOKENS,…": the last part is the request's own, the one before it the last that others may share.
	std::vector<std::string_view> parts = Split(FindHeader(head.headers, "X-Prompt-Prefix"));
	if (parts.size() > 1) info.shared_prefix = parts[parts.size() - 2].substr(0, parts[parts.size() - 2].find(':'));
	return info;
}

/** @return Whether \a name is a field that only an instance may set, so that a caller's own is dropped. */
static bool IsInstanceField(std::string_view name)
{
	static constexpr std::array<std::string_view, 12> FIELDS{
	        "X-Deadline-Ms", "X-Expect-Instance", "X-Tenant", "X-Request-Urgency", "X-Expect-Version", "X-Hold",
	        "X-Pin-Ms",      "X-Kv-Backup",       "Kv-From",  "Kv-Fetch",          "Authorization",    "Expect"};
	return std::any_of(FIELDS.begin(), FIELDS.end(), [&](std::string_view field) {
		return field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0;
	});
}

/** @return \a duration as whole milliseconds, at least 1. */
static std::string Milliseconds(Duration duration)
{
	int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
	return std::to_string(std::max<int64_t>(1, ms));
}

HttpHeaders HeadersForTarget(const HttpHeaders &received, const SendInfo &info)
{
	HttpHeaders headers = WithoutConnectionFields(received);
	std::erase_if(headers, [](const HttpHeader &header) { return IsInstanceField(header.name); });
	if (info.resume) {
		std::erase_if(headers, [](const HttpHeader &header) { return strcasecmp(header.name.c_str(), "Last-Event-Id") == 0; });
	}
	headers.push_back({"X-Deadline-Ms", Milliseconds(info.remaining)});
	headers.push_back({"X-Expect-Instance", info.target});
	if (!info.account.empty()) headers.push_back({"X-Tenant", info.account});
	if (info.urgency) headers.push_back({"X-Request-Urgency", std::to_string(*info.urgency)});
	if (info.resume) {
		headers.push_back({"Kv-From", info.resume->source + "/" + info.resume->handle});
		headers.push_back({"Last-Event-Id", std::to_string(info.resume->last_event)});
	}
	if (!info.backup_address.empty()) headers.push_back({"X-Kv-Backup", info.backup_address});
	return headers;
}

/** @return The decimal number that \a text is, digits and at most one point, cut to \a max_value; nothing if it is none. */
static std::optional<double> DecimalNumber(std::string_view text, double max_value)
{
	static constexpr size_t LONGEST = 32; ///< Signs: no sender needs more.
	auto is_part = [](char sign) { return (sign >= '0' && sign <= '9') || sign == '.'; };
	bool digit_first = !text.empty() && text.front() != '.';
	if (!digit_first || text.size() > LONGEST || !std::all_of(text.begin(), text.end(), is_part)) return std::nullopt;
	double value = 0;
	auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
	if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
	return std::min(value, max_value);
}

/** Read the limit in \a head; of several the lowest counts, and one that cannot be read says nothing. */
static void ReadLimit(const HttpHead &head, TargetSignals *signals)
{
	static constexpr double MAX_PER_S = 1e6; ///< A limit beyond it binds nobody.
	for (const HttpHeader &header : head.headers) {
		if (strcasecmp(header.name.c_str(), "Server-Limit") != 0) continue;
		std::optional<double> limit = DecimalNumber(header.value, MAX_PER_S);
		if (!limit) {
			signals->unreadable = true;
			if (signals->limit == SignalState::Absent) signals->limit = SignalState::Unreadable;
			continue;
		}
		signals->limit_per_s = signals->limit == SignalState::Present ? std::min(signals->limit_per_s, *limit) : *limit;
		signals->limit = SignalState::Present;
	}
}

/** Read the pause that \a head asks for: a number of seconds behind a status that turns the request away. */
static void ReadPause(const HttpHead &head, TargetSignals *signals)
{
	static constexpr double MAX_S = 86400; ///< A day: longer pauses count as one.
	std::string_view text = FindHeader(head.headers, "Retry-After");
	if (head.status != 503 || text.empty()) return;
	std::optional<double> seconds = DecimalNumber(text, MAX_S);
	if (!seconds) signals->unreadable = true;
	signals->pause = FromSeconds(seconds.value_or(0));
}

/** @return What the target that gave the answer \a head says of itself. */
static TargetSignals ReadSigns(const HttpHead &head)
{
	TargetSignals signals;
	// It is the word of another target, which has the address by now, or of nobody: a success without a stamp.
	bool stamped = !FindHeader(head.headers, "X-Server-Stamp").empty();
	if (head.status == 421 || (head.status / 100 == 2 && !stamped)) return signals;
	ReadLimit(head, &signals);
	ReadPause(head, &signals);
	std::string_view draining = FindHeader(head.headers, "Server-Leaving");
	signals.draining = draining == "1";
	if (!draining.empty() && draining != "1" && draining != "0") signals.unreadable = true;
	return signals;
}

AnswerInfo ReadAnswer(const HttpHead &head)
{
	AnswerInfo info;
	info.attempt = FindHeader(head.headers, "X-Attempt-Id");
	// Another target has the address (421): by its kind that answer says that the request has not run.
	info.not_executed = !FindHeader(head.headers, "X-Not-Executed").empty() || head.status == 421;
	info.stamped = !FindHeader(head.headers, "X-Server-Stamp").empty();
	std::vector<std::string_view> load = Split(FindHeader(head.headers, "X-Server-Load"));
	if (load.size() == 3) {
		info.load = TargetLoad{LeadingUint32(load[0]), LeadingUint32(load[1]), LeadingUint32(load[2])};
	}
	info.signals = ReadSigns(head);
	return info;
}

HttpHeaders HeadersForCaller(const HttpHeaders &received)
{
	return WithoutConnectionFields(received);
}

HttpHeaders OwnAnswerHeaders(const std::string &attempt, std::optional<Duration> retry_after)
{
	HttpHeaders headers;
	if (!attempt.empty()) headers.push_back({"X-Attempt-Id", attempt});
	if (retry_after) {
		char text[32];
		snprintf(text, sizeof(text), "%.2f", Seconds(*retry_after));
		headers.push_back({"Retry-After", text});
	}
	return headers;
}

bool IsReadinessPath(std::string_view path)
{
	return path == "/-/readyz";
}

} // namespace cottonspool
