/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file name_table.h Consecutive numbers for names. */

#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cottonspool {

/** Maps names to consecutive numbers and back; a number always keeps its name. */
template <typename Id> class NameTable {
public:
	/** @return The number of \a name; a new one if the name is unknown. */
	Id Intern(std::string_view name)
	{
		auto found = this->numbers.find(std::string(name));
		if (found != this->numbers.end()) return found->second;
		Id id{static_cast<decltype(Id::value)>(this->names.size())};
		this->names.emplace_back(name);
		this->numbers.emplace(this->names.back(), id);
		return id;
	}

	/** @return The name of \a id. @pre The id was returned by Intern(). */
	const std::string &Name(Id id) const { return this->names[id.value]; }

	/** @return The number of known names. */
	size_t Size() const { return this->names.size(); }

private:
	std::unordered_map<std::string, Id> numbers; ///< Number of each name.
	std::vector<std::string> names;              ///< Name of each number.
};

} // namespace cottonspool
