/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file request_features.cpp Features of requests. */

#include "decision/request_features.h"
#include "core/hash_func.h"
#include <algorithm>
#include <array>

namespace cottonspool {

static constexpr std::array<char, 3> KIND_LETTERS{'w', 'p', 'a'}; ///< Letters of the kinds, in the order of FeatureKind.
static constexpr char SEPARATOR = ',';                            ///< Between formatted features.

/** Sort \a features and remove duplicates. */
static void Normalize(FeatureList &features)
{
	std::sort(features.begin(), features.end());
	features.erase(std::unique(features.begin(), features.end()), features.end());
}

bool RequestFeatures::Has(const RequestFeature &feature) const
{
	if (feature.kind == FeatureKind::WholeRequest) return feature.hash != 0 && feature.hash == this->fingerprint.value;
	return std::binary_search(this->shared.begin(), this->shared.end(), feature);
}

bool RequestFeatures::HasAll(const FeatureList &features) const
{
	if (features.empty()) return false;
	return std::all_of(features.begin(), features.end(), [this](const RequestFeature &feature) { return this->Has(feature); });
}

RequestFeature WholeRequest(RequestFingerprint fingerprint)
{
	return {FeatureKind::WholeRequest, fingerprint.value};
}

RequestFeature PromptPart(std::string_view id)
{
	return {FeatureKind::PromptPart, HashText(id)};
}

RequestFeatures MakeFeatures(RequestFingerprint fingerprint, const std::vector<std::string> &prompt_parts, std::string_view account)
{
	RequestFeatures features{fingerprint, {}};
	for (const std::string &part : prompt_parts) features.shared.push_back(PromptPart(part));
	if (!account.empty()) features.shared.push_back({FeatureKind::Account, HashText(account)});
	Normalize(features.shared);
	return features;
}

std::string FormatFeature(const RequestFeature &feature)
{
	return KIND_LETTERS[static_cast<size_t>(feature.kind)] + FormatFingerprint(RequestFingerprint{feature.hash});
}

std::optional<RequestFeature> ParseFeature(std::string_view text)
{
	if (text.empty()) return std::nullopt;
	const auto *letter = std::find(KIND_LETTERS.begin(), KIND_LETTERS.end(), text.front());
	std::optional<RequestFingerprint> hash = ParseFingerprint(text.substr(1));
	if (letter == KIND_LETTERS.end() || !hash) return std::nullopt;
	return RequestFeature{static_cast<FeatureKind>(letter - KIND_LETTERS.begin()), hash->value};
}

std::string FormatFeatures(const FeatureList &features)
{
	std::string text;
	for (const RequestFeature &feature : features) text += (text.empty() ? "" : std::string(1, SEPARATOR)) + FormatFeature(feature);
	return text;
}

FeatureList ParseFeatures(std::string_view text, size_t max_count)
{
	FeatureList features;
	while (!text.empty() && features.size() < max_count) {
		size_t end = std::min(text.find(SEPARATOR), text.size());
		if (std::optional<RequestFeature> feature = ParseFeature(text.substr(0, end))) features.push_back(*feature);
		text.remove_prefix(std::min(end + 1, text.size()));
	}
	Normalize(features);
	return features;
}

} // namespace cottonspool
