/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file stream_outlook.cpp What the instance learns from its streams of one pool. */

#include "decision/stream_outlook.h"
#include <algorithm>
#include <bit>
#include <cmath>

namespace cottonspool {

/** Time over which prompts are counted: about the length of a long stream, for which the rate is used. */
static constexpr Duration PROMPT_WINDOW = std::chrono::seconds(4);
static constexpr double EVENT_SMOOTHING = 0.005;  ///< Weight of each event in the mean gap and the tokens per event.
static constexpr double UNLIMITED_TOKENS = 1024;  ///< Expected length of a stream without a maximum while nothing is learned.
static constexpr double GROWTH_BEYOND_SEEN = 0.5; ///< Expected growth, relative to its length, of a stream longer than all known ones.

double PromptCounter::CountAt(TimePoint now) const
{
	return this->count * std::exp(-std::max(0.0, Seconds(now - this->at)) / Seconds(PROMPT_WINDOW));
}

void PromptCounter::Add(TimePoint now)
{
	this->count = this->CountAt(now) + 1;
	this->at = now;
	this->total++;
}

double PromptCounter::Rate(TimePoint now) const
{
	return this->CountAt(now) / Seconds(PROMPT_WINDOW);
}

void StreamLengths::Learn(uint32_t max_tokens, uint32_t tokens)
{
	this->lengths[std::bit_width(max_tokens)].Add(tokens);
}

double StreamLengths::Residual(uint32_t max_tokens, uint32_t generated) const
{
	double most = max_tokens == 0 ? std::max(UNLIMITED_TOKENS, generated * GROWTH_BEYOND_SEEN)
	                              : static_cast<double>(max_tokens > generated ? max_tokens - generated : 0);
	double learned = this->lengths[std::bit_width(max_tokens)].Residual(generated);
	return learned < 0 ? most : std::min(learned, most);
}

void StreamOutlook::Learn(const Episode &episode, double factor)
{
	if (episode.events == 0 || factor <= 0) return;
	this->gaps.Learn(episode, factor);
	double part = 1 - std::pow(1 - EVENT_SMOOTHING, episode.events);
	this->usual_gap += part * (Seconds(episode.total) / episode.events / factor - this->usual_gap);
	this->tokens_per_event += part * (static_cast<double>(episode.tokens) / episode.events - this->tokens_per_event);
}

RunOutlook StreamOutlook::Expect(const CallSpec &call, uint32_t generated) const
{
	double events = this->lengths.Residual(call.max_tokens, generated) / std::max(1.0, this->tokens_per_event);
	// The first event of a new run has no gap before it.
	if (generated == 0) events = std::max(0.0, events - 1);
	return {.events = events, .usual_gap = FromSeconds(this->usual_gap)};
}

Duration StreamOutlook::TimeLeft(const CallSpec &call, uint32_t generated, double factor) const
{
	return FromSeconds(this->Expect(call, generated).events * this->usual_gap * factor);
}

} // namespace cottonspool
