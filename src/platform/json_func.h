/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file json_func.h Reads fields of JSON objects from outside; a missing field and one of another type are treated alike. */

#pragma once

#include "core/time_type.h"
#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace cottonspool {

using Json = nlohmann::json;

/** @return The string field \a name of \a object, or an empty string. */
inline std::string TextOf(const Json &object, const char *name)
{
	auto found = object.find(name);
	return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/** @return The number field \a name of \a object, or \a otherwise. */
inline double NumberOf(const Json &object, const char *name, double otherwise = 0)
{
	auto found = object.find(name);
	return found != object.end() && found->is_number() ? found->get<double>() : otherwise;
}

/** @return \a number truncated to the integer type \a Whole and clamped to its range; 0 for NaN. */
template <typename Whole> Whole ToWhole(double number)
{
	// The maximum of a 64-bit type rounds up to a double out of range, so the next smaller double is the upper limit.
	static const double most = std::nextafter(static_cast<double>(std::numeric_limits<Whole>::max()), 0);
	static const auto least = static_cast<double>(std::numeric_limits<Whole>::min());
	if (std::isnan(number)) return 0;
	if (number >= most) return std::numeric_limits<Whole>::max();
	return number <= least ? std::numeric_limits<Whole>::min() : static_cast<Whole>(number);
}

/** @return The number field \a name of \a object as an unsigned integer, or 0. */
inline uint64_t CountOf(const Json &object, const char *name)
{
	auto found = object.find(name);
	if (found != object.end() && found->is_number_unsigned()) return found->get<uint64_t>();
	return ToWhole<uint64_t>(NumberOf(object, name));
}

/** @return The number field \a name of \a object as a 32-bit unsigned integer, at least \a least; \a least if the field is absent. */
inline uint32_t SmallCountOf(const Json &object, const char *name, uint32_t least = 0)
{
	return std::max(least, ToWhole<uint32_t>(NumberOf(object, name, least)));
}

/** @return The boolean field \a name of \a object, or false. */
inline bool FlagOf(const Json &object, const char *name)
{
	auto found = object.find(name);
	return found != object.end() && found->is_boolean() && found->get<bool>();
}

/** @return The number of milliseconds in the field \a name of \a object, or \a otherwise. */
inline Duration MillisecondsOf(const Json &object, const char *name, double otherwise = 0)
{
	static constexpr double MOST_MS = 1e12; ///< About 30 years; keeps sums of times within the range of Duration.
	return FromSeconds(std::clamp(NumberOf(object, name, otherwise), -MOST_MS, MOST_MS) / 1000);
}

/** @return The number of seconds in the field \a name of \a object, or zero. */
inline Duration SecondsOf(const Json &object, const char *name)
{
	static constexpr double MOST_S = 1e9; ///< About 30 years, as above.
	return FromSeconds(std::clamp(NumberOf(object, name), 0.0, MOST_S));
}

/** @return The array field \a name of \a object, or an empty array. */
inline const Json &ListOf(const Json &object, const char *name)
{
	static const Json none = Json::array();
	auto found = object.find(name);
	return found != object.end() && found->is_array() ? *found : none;
}

} // namespace cottonspool
