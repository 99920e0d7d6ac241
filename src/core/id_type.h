/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file id_type.h Strongly typed numbers that name calls, targets, accounts and models. */

#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace cottonspool {

/** A number that cannot be mixed up with a number of another kind. */
template <typename Tag, typename Number = uint32_t> struct StrongId {
	Number value = 0; ///< The bare number.

	auto operator<=>(const StrongId &) const = default;
};

using CallId = StrongId<struct CallTag, uint64_t>; ///< One caller's request at one instance.
using TargetNumber = StrongId<struct TargetTag>;   ///< A target known to one instance.
using AccountNumber = StrongId<struct AccountTag>; ///< A client account known to one instance.
using ModelNumber = StrongId<struct ModelTag>;     ///< A model or a service name known to one instance.

/** Hash of a strong id, for unordered containers. */
struct StrongIdHash {
	template <typename Tag, typename Number> size_t operator()(const StrongId<Tag, Number> &id) const
	{
		return std::hash<Number>()(id.value);
	}
};

} // namespace cottonspool
