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
inline std::string StringField(const Json &object, const char *name)
{
	auto found = object.find(name);
	return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/** @return The number field \a name of \a object, or \a fallback. */
inline double NumberField(const Json &object, const char *name, double fallback = 0)
{
	auto found = object.find(name);
	return found != object.end() && found->is_number() ? found->get<double>() : fallback;
}

/** @return \a number truncated to the integer type \a Integer and clamped to its range; 0 for NaN. */
template <typename Integer> Integer ToInteger(double number)
{
	// The maximum of a 64-bit type rounds up to a double out of range, so the next smaller double is the upper limit.
	static const double max_value = std::nextafter(static_cast<double>(std::numeric_limits<Integer>::max()), 0);
	static const auto min_value = static_cast<double>(std::numeric_limits<Integer>::min());
	if (std::isnan(number)) return 0;
	if (number >= max_value) return std::numeric_limits<Integer>::max();
	return number <= min_value ? std::numeric_limits<Integer>::min() : static_cast<Integer>(number);
}

/** @return The number field \a name of \a object as an unsigned integer, or 0. */
inline uint64_t UintField(const Json &object, const char *name)
{
	auto found = object.find(name);
	if (found != object.end() && found->is_number_unsigned()) return found->get<uint64_t>();
	return ToInteger<uint64_t>(NumberField(object, name));
}

/** @return The number field \a name of \a object as a 32-bit unsigned integer, at least \a min_value; \a min_value if the field is absent.
 */
inline uint32_t Uint32Field(const Json &object, const char *name, uint32_t min_value = 0)
{
	return std::max(min_value, ToInteger<uint32_t>(NumberField(object, name, min_value)));
}

/** @return The boolean field \a name of \a object, or false. */
inline bool BoolField(const Json &object, const char *name)
{
	auto found = object.find(name);
	return found != object.end() && found->is_boolean() && found->get<bool>();
}

/** @return The number of milliseconds in the field \a name of \a object, or \a fallback. */
inline Duration MillisecondsField(const Json &object, const char *name, double fallback = 0)
{
	static constexpr double MAX_MS = 1e12; ///< About 30 years; keeps sums of times within the range of Duration.
	return FromSeconds(std::clamp(NumberField(object, name, fallback), -MAX_MS, MAX_MS) / 1000);
}

/** @return The number of seconds in the field \a name of \a object, or zero. */
inline Duration SecondsField(const Json &object, const char *name)
{
	static constexpr double MAX_S = 1e9; ///< About 30 years, as above.
	return FromSeconds(std::clamp(NumberField(object, name), 0.0, MAX_S));
}

/** @return The array field \a name of \a object, or an empty array. */
inline const Json &ArrayField(const Json &object, const char *name)
{
	static const Json none = Json::array();
	auto found = object.find(name);
	return found != object.end() && found->is_array() ? *found : none;
}

} // namespace cottonspool
