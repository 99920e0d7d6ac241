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
inline std::string StringField(const Json &object, const char *name)
{
	auto found = object.find(name);
	return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/** @return The number in the field \a name of \a object, or \a fallback. */
inline double NumberField(const Json &object, const char *name, double fallback = 0)
{
	auto found = object.find(name);
	return found != object.end() && found->is_number() ? found->get<double>() : fallback;
}

/** @return The whole part of \a number as a \a Integer; the nearest that there is if it is out of range, 0 if it is no number. */
template <typename Integer> Integer ToInteger(double number)
{
	// The largest double that is not above the largest value, and the smallest that is not below the least one.
	static const double max_value = std::nextafter(static_cast<double>(std::numeric_limits<Integer>::max()), 0);
	static const auto min_value = static_cast<double>(std::numeric_limits<Integer>::min());
	if (std::isnan(number)) return 0;
	if (number >= max_value) return std::numeric_limits<Integer>::max();
	return number <= min_value ? std::numeric_limits<Integer>::min() : static_cast<Integer>(number);
}

/** @return The whole number, not below 0, in the field \a name of \a object, or 0. */
inline uint64_t UintField(const Json &object, const char *name)
{
	auto found = object.find(name);
	if (found != object.end() && found->is_number_unsigned()) return found->get<uint64_t>();
	return ToInteger<uint64_t>(NumberField(object, name));
}

/** @return The same for a number that is kept in 32 bits; at least \a min_value. */
inline uint32_t Uint32Field(const Json &object, const char *name, uint32_t min_value = 0)
{
	return std::max(min_value, ToInteger<uint32_t>(NumberField(object, name, min_value)));
}

/** @return Whether the field \a name of \a object is true. */
inline bool BoolField(const Json &object, const char *name)
{
	auto found = object.find(name);
	return found != object.end() && found->is_boolean() && found->get<bool>();
}

/** @return The milliseconds in the field \a name of \a object, or \a fallback. */
inline Duration MillisecondsField(const Json &object, const char *name, double fallback = 0)
{
	static constexpr double MAX_MS = 1e12; ///< Some thirty years: longer times mean no bound, and their sums still fit.
	return FromSeconds(std::clamp(NumberField(object, name, fallback), -MAX_MS, MAX_MS) / 1000);
}

/** @return The seconds in the field \a name of \a object, or zero. */
inline Duration SecondsField(const Json &object, const char *name)
{
	static constexpr double MAX_S = 1e9; ///< As for milliseconds.
	return FromSeconds(std::clamp(NumberField(object, name), 0.0, MAX_S));
}

/** @return The list in the field \a name of \a object, or an empty one. */
inline const Json &ArrayField(const Json &object, const char *name)
{
	static const Json none = Json::array();
	auto found = object.find(name);
	return found != object.end() && found->is_array() ? *found : none;
}

} // namespace cottonspool
