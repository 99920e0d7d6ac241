/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file json_func.h Fields of JSON objects that others wrote: what is missing or of another type counts as absent. */

#pragma once

#include "core/time_type.h"
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

/** @return The whole number, not below 0, in the field \a name of \a object, or 0. */
inline uint64_t CountOf(const Json &object, const char *name)
{
	auto found = object.find(name);
	if (found != object.end() && found->is_number_unsigned()) return found->get<uint64_t>();
	return static_cast<uint64_t>(std::max(0.0, NumberOf(object, name)));
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
	return FromSeconds(NumberOf(object, name, otherwise) / 1000);
}

/** @return The list in the field \a name of \a object, or an empty one. */
inline const Json &ListOf(const Json &object, const char *name)
{
	static const Json none = Json::array();
	auto found = object.find(name);
	return found != object.end() && found->is_array() ? *found : none;
}

} // namespace cottonspool
