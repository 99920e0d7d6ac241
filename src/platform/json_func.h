/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file json_func.h Fields of JSON objects that others wrote: what is missing or of another type counts as absent. */

#pragma once

#include "core/time_type.h"
#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace cottonspool {

using Json = nlohmann::json;

/** @return The text in the field \a name of \a object, or an empty text. */
inline std::string TextOf(const Json &object, const char *name)
{
	auto found = object.find(name);
	return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/** @return The number in the field \a name of \a object, or \a otherwise. */
inline double NumberOf(const Json &object, const char *name, double otherwise = 0)
{
	auto found = object.find(name);
	return found != object.end() && found->is_number() ? found->get<double>() : otherwise;
}

/** @return The whole part of \a number as a \a Whole; the nearest that there is if it is out of range, 0 if it is no number. */
template <typename Whole> Whole ToWhole(double number)
{
	// The largest double that is not above the largest value, and the smallest that is not below the least one.
	static const double most = std::nextafter(static_cast<double>(std::numeric_limits<Whole>::max()), 0);
	static const auto least = static_cast<double>(std::numeric_limits<Whole>::min());
	if (std::isnan(number)) return 0;
	if (number >= most) return std::numeric_limits<Whole>::max();
	return number <= least ? std::numeric_limits<Whole>::min() : static_cast<Whole>(number);
}

/** @return The whole number, not below 0, in the field \a name of \a object, or 0. */
inline uint64_t CountOf(const Json &object, const char *name)
{
	auto found = object.find(name);
	if (found != object.end() && found->is_number_unsigned()) return found->get<uint64_t>();
	return ToWhole<uint64_t>(NumberOf(object, name));
}

/** @return The same for a number that is kept in 32 bits; at least \a least. */
inline uint32_t SmallCountOf(const Json &object, const char *name, uint32_t least = 0)
{
	return std::max(least, ToWhole<uint32_t>(NumberOf(object, name, least)));
}

/** @return Whether the field \a name of \a object is true. */
inline bool FlagOf(const Json &object, const char *name)
{
	auto found = object.find(name);
	return found != object.end() && found->is_boolean() && found->get<bool>();
}

/** @return The milliseconds in the field \a name of \a object, or \a otherwise. */
inline Duration MillisecondsOf(const Json &object, const char *name, double otherwise = 0)
{
	static constexpr double MOST_MS = 1e12; ///< Some thirty years: longer times mean no bound, and their sums still fit.
	return FromSeconds(std::clamp(NumberOf(object, name, otherwise), -MOST_MS, MOST_MS) / 1000);
}

/** @return The seconds in the field \a name of \a object, or zero. */
inline Duration SecondsOf(const Json &object, const char *name)
{
	static constexpr double MOST_S = 1e9; ///< As for milliseconds.
	return FromSeconds(std::clamp(NumberOf(object, name), 0.0, MOST_S));
}

/** @return The list in the field \a name of \a object, or an empty one. */
inline const Json &ListOf(const Json &object, const char *name)
{
	static const Json none = Json::array();
	auto found = object.find(name);
	return found != object.end() && found->is_array() ? *found : none;
}

} // namespace cottonspool
