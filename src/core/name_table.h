/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file name_table.h Numbers for names, given out in order of first use. */

#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cottonspool {

/** Maps names to small numbers and back; a number is never given to a second name. */
template <typename Id> class NameTable {
public:
	/** @return The number of \a name, a new one when the name is new. */
	Id Intern(std::string_view name)
	{
		auto found = this->numbers.find(std::string(name));
		if (found != this->numbers.end()) return found->second;
		Id id{static_cast<decltype(Id::value)>(this->names.size())};
		this->names.emplace_back(name);
		this->numbers.emplace(this->names.back(), id);
		return id;
	}

	/** @return The name behind \a id. @pre The number came from Intern(). */
	const std::string &Name(Id id) const { return this->names[id.value]; }

	/** @return How many names are known. */
	size_t Size() const { return this->names.size(); }

private:
	std::unordered_map<std::string, Id> numbers; ///< Number of each name.
	std::vector<std::string> names;              ///< Name of each number.
};

} // namespace cottonspool
