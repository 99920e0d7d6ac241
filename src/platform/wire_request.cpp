/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_request.cpp Decodes and encodes header fields of requests and answers. */

#include "platform/wire_request.h"
#include "decision/target_speed.h"
#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <limits>
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

/** @return The number at the start of \a text, limited to 32 bits; 0 if there is none. */
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

/** @return Whether \a id may be the id of a part of a prompt. */
static bool IsPartId(std::string_view id)
{
	static constexpr size_t MAX_LENGTH = 64; ///< Longest accepted id.
	return !id.empty() && id.size() <= MAX_LENGTH && std::all_of(id.begin(), id.end(), [](unsigned char sign) { return isxdigit(sign); });
}

/** Read the parts of the prompt. The last one belongs to this request alone, so it is left out. */
static void ReadPromptParts(const HttpHead &head, RequestInfo *info)
{
	// "ID:TOKENS,…", with the ids in hexadecimal.
	std::vector<std::string_view> parts = Split(FindHeader(head.headers, "X-Prompt-Prefix"));
	if (parts.empty()) return;
	parts.pop_back();
	info->parts_malformed = parts.size() > MAX_PROMPT_PARTS;
	parts.resize(std::min(parts.size(), MAX_PROMPT_PARTS));
	for (std::string_view part : parts) {
		std::string_view id = part.substr(0, part.find(':'));
		if (IsPartId(id)) info->prompt_parts.emplace_back(id);
		if (!IsPartId(id)) info->parts_malformed = true;
	}
}

RequestInfo ReadRequest(const HttpHead &head)
{
	static constexpr std::string_view SCHEME = "bearer ";
	RequestInfo info;
	info.attempt = FindHeader(head.headers, "X-Attempt-Id");
	static constexpr uint64_t MAX_MS = 1000ULL * 86400 * 365; ///< A year; keeps sums of times within the range of Duration.
	if (auto ms = LeadingNumber(FindHeader(head.headers, "X-Deadline-Ms")))
		info.deadline = std::chrono::milliseconds(std::min(*ms, MAX_MS));
	std::string_view authorization = FindHeader(head.headers, "Authorization");
	bool bearer = authorization.size() > SCHEME.size() && strncasecmp(authorization.data(), SCHEME.data(), SCHEME.size()) == 0;
	if (bearer) info.key = authorization.substr(SCHEME.size());
	info.model = FindHeader(head.headers, "X-Model");
	// "IN,OUT": prompt tokens and the limit on output tokens.
	std::vector<std::string_view> tokens = Split(FindHeader(head.headers, "X-Token-Count"));
	if (!tokens.empty()) info.prompt_tokens = LeadingUint32(tokens[0]);
	if (tokens.size() > 1) info.max_output_tokens = LeadingUint32(tokens[1]);
	info.hinted_tokens = LeadingUint32(FindHeader(head.headers, "X-Length-Hint"));
	ReadPromptParts(head, &info);
	return info;
}

/** @return Whether \a name is a field that only an instance may set; it is dropped from callers' requests. */
static bool IsInstanceField(std::string_view name)
{
	static constexpr std::array<std::string_view, 12> FIELDS{
	        "X-Deadline-Ms", "X-Expect-Instance", "X-Tenant", "X-Request-Urgency", "X-Expect-Version", "X-Hold",
	        "X-Pin-Ms",      "X-Kv-Backup",       "Kv-From",  "Kv-Fetch",          "Authorization",    "Expect"};
	return std::any_of(FIELDS.begin(), FIELDS.end(), [&](std::string_view field) {
		return field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0;
	});
}

/** @return \a duration in milliseconds, at least 1. */
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

HttpHeaders HeadersForInstance(const HttpHeaders &received, Duration remaining)
{
	HttpHeaders headers = WithoutConnectionFields(received);
	std::erase_if(headers, [](const HttpHeader &header) {
		return strcasecmp(header.name.c_str(), "X-Deadline-Ms") == 0 || strcasecmp(header.name.c_str(), "Expect") == 0;
	});
	headers.push_back({"X-Deadline-Ms", Milliseconds(remaining)});
	return headers;
}

/** @return The decimal number \a text, limited to \a max_value; nothing unless it consists of digits and at most one decimal point. */
static std::optional<double> DecimalNumber(std::string_view text, double max_value)
{
	static constexpr size_t MAX_LENGTH = 32; ///< Longest accepted text.
	auto is_part = [](char sign) { return (sign >= '0' && sign <= '9') || sign == '.'; };
	bool digit_first = !text.empty() && text.front() != '.';
	if (!digit_first || text.size() > MAX_LENGTH || !std::all_of(text.begin(), text.end(), is_part)) return std::nullopt;
	double value = 0;
	auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
	if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
	return std::min(value, max_value);
}

/**
 * Read the header fields \a name, which hold a number that a target states for a second. The lowest counts; invalid ones are ignored.
 * @param state Receives whether there is a valid one.
 * @param lowest Receives the number.
 * @param unreadable Set if there is an invalid one.
 */
static void ReadLowestPerSecond(const HttpHead &head, const char *name, SignalState *state, double *lowest, bool *unreadable)
{
	static constexpr double MAX_PER_S = 1e6; ///< Higher numbers count as this one.
	for (const HttpHeader &header : head.headers) {
		if (strcasecmp(header.name.c_str(), name) != 0) continue;
		std::optional<double> number = DecimalNumber(header.value, MAX_PER_S);
		if (!number) {
			*unreadable = true;
			if (*state == SignalState::Absent) *state = SignalState::Unreadable;
			continue;
		}
		*lowest = *state == SignalState::Present ? std::min(*lowest, *number) : *number;
		*state = SignalState::Present;
	}
}

/** Read the Retry-After time, in seconds, of an answer that rejects its request. */
static void ReadRetryAfter(const HttpHead &head, TargetSignals *signals)
{
	static constexpr double MAX_S = 86400; ///< A day; longer times count as one day.
	std::string_view text = FindHeader(head.headers, "Retry-After");
	if (head.status != 503 || text.empty()) return;
	std::optional<double> seconds = DecimalNumber(text, MAX_S);
	if (!seconds) signals->unreadable = true;
	signals->pause = FromSeconds(seconds.value_or(0));
}

/** @return The signals of a target in the header fields of its answer. */
static TargetSignals ReadSignals(const HttpHead &head)
{
	TargetSignals signals;
	// Ignore an answer from another target that has taken over the address (421), and a success without the target's stamp.
	bool stamped = !FindHeader(head.headers, "X-Server-Stamp").empty();
	if (head.status == 421 || (head.status / 100 == 2 && !stamped)) return signals;
	ReadLowestPerSecond(head, "Server-Limit", &signals.limit, &signals.limit_per_s, &signals.unreadable);
	ReadLowestPerSecond(head, "Server-Brittle", &signals.brittle, &signals.refusals_per_s, &signals.unreadable);
	signals.refused = head.status == 503 && !FindHeader(head.headers, "X-Not-Executed").empty();
	ReadRetryAfter(head, &signals);
	std::string_view draining = FindHeader(head.headers, "Server-Leaving");
	signals.draining = draining == "1";
	if (!draining.empty() && draining != "1" && draining != "0") signals.unreadable = true;
	return signals;
}

std::optional<double> ReadTimeFactor(const HttpHead &head)
{
	static constexpr double PERCENT = 100;
	// "RUNNING,WAITING,SLOTS,PERCENT"; the last figure is missing at targets that don't state their speed.
	std::vector<std::string_view> load = Split(FindHeader(head.headers, "X-Server-Load"));
	if (load.size() != 4) return std::nullopt;
	std::optional<double> percent = DecimalNumber(load[3], std::numeric_limits<double>::max());
	if (!percent || !IsTimeFactor(*percent / PERCENT)) return std::nullopt;
	return *percent / PERCENT;
}

AnswerInfo ReadAnswer(const HttpHead &head)
{
	AnswerInfo info;
	info.attempt = FindHeader(head.headers, "X-Attempt-Id");
	// 421 comes from another target that has taken over the address, so that the request was not executed.
	info.not_executed = !FindHeader(head.headers, "X-Not-Executed").empty() || head.status == 421;
	info.stamped = !FindHeader(head.headers, "X-Server-Stamp").empty();
	std::vector<std::string_view> load = Split(FindHeader(head.headers, "X-Server-Load"));
	if (load.size() == 3 || load.size() == 4) {
		info.load = TargetLoad{LeadingUint32(load[0]), LeadingUint32(load[1]), LeadingUint32(load[2])};
	}
	info.signals = ReadSignals(head);
	info.own_signals = head.status != 421 && (head.status / 100 != 2 || info.stamped);
	if (info.stamped && head.status != 421) info.time_factor = ReadTimeFactor(head);
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
