/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file id_type.h Strongly typed ids of calls, targets, accounts and models. */

#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace cottonspool {

/** Number that does not convert to ids of other types. */
template <typename Tag, typename Number = uint32_t> struct StrongId {
	Number value = 0; ///< Plain number.

	auto operator<=>(const StrongId &) const = default;
};

using CallId = StrongId<struct CallTag, uint64_t>; ///< Call of one instance.
using TargetNumber = StrongId<struct TargetTag>;   ///< Target known to one instance.
using AccountNumber = StrongId<struct AccountTag>; ///< Client account known to one instance.
using ModelNumber = StrongId<struct ModelTag>;     ///< Name of a model or service known to one instance.

/** Hash of a strong id, for unordered containers. */
struct StrongIdHash {
	template <typename Tag, typename Number> size_t operator()(const StrongId<Tag, Number> &id) const
	{
		return std::hash<Number>()(id.value);
	}
};

} // namespace cottonspool
