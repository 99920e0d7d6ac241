/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file request_features.h Features of requests: what requests that crash targets may have in common. */

#pragma once

#include "decision/request_fingerprint.h"
#include <vector>

namespace cottonspool {

/** Kind of a feature. */
enum class FeatureKind : uint8_t {
	WholeRequest, ///< The whole request, as repeated by its caller.
	PromptPart,   ///< A part of its prompt that other requests may share.
	Account,      ///< Its client account.
};

/** A property of a request, equal at all instances. */
struct RequestFeature {
	FeatureKind kind = FeatureKind::WholeRequest;
	uint64_t hash = 0; ///< Hash of its content.

	auto operator<=>(const RequestFeature &) const = default;
};

/** Features that a request or a rule has, sorted and without duplicates. */
using FeatureList = std::vector<RequestFeature>;

/** All features of one request. */
struct RequestFeatures {
	RequestFingerprint fingerprint; ///< Fingerprint of the whole request; zero for none.
	FeatureList shared;             ///< Features that other requests may have as well.

	/** @return Whether the request has the feature \a feature. */
	bool Has(const RequestFeature &feature) const;

	/** @return Whether the request has all of \a features, of which there is at least one. */
	bool HasAll(const FeatureList &features) const;
};

/** @return The feature for the whole request \a fingerprint. */
RequestFeature WholeRequest(RequestFingerprint fingerprint);

/** @return The feature for the part of a prompt with the id \a id. */
RequestFeature PromptPart(std::string_view id);

/**
 * @return The features of the request \a fingerprint.
 * @param prompt_parts Ids of the parts of its prompt that other requests may share.
 * @param account Its client account; empty for none.
 */
RequestFeatures MakeFeatures(RequestFingerprint fingerprint, const std::vector<std::string> &prompt_parts, std::string_view account);

/** @return \a feature as a letter for its kind and 16 hexadecimal digits. */
std::string FormatFeature(const RequestFeature &feature);

/** @return The feature in \a text, or nothing if it is malformed or of an unknown kind. */
std::optional<RequestFeature> ParseFeature(std::string_view text);

/** @return \a features, separated by commas. */
std::string FormatFeatures(const FeatureList &features);

/** @return The features in \a text, at most \a max_count; malformed ones and those of unknown kinds are left out. */
FeatureList ParseFeatures(std::string_view text, size_t max_count);

} // namespace cottonspool
