/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file ledger.cpp Implementation of the token order of a stream. */

#include "generation/ledger.h"
#include <cassert>

namespace cottonspool {

void GenerationLedger::Bind(std::string new_generation)
{
	assert(this->delivered == 0);
	this->generation = std::move(new_generation);
}

TokenVerdict GenerationLedger::Accept(const std::string &from, uint64_t index)
{
	if (from != this->generation) return TokenVerdict::Foreign;
	if (index <= this->delivered) return TokenVerdict::Duplicate;
	if (index != this->delivered + 1) return TokenVerdict::Gap;
	this->delivered = index;
	return TokenVerdict::Deliver;
}

void GenerationLedger::Reset()
{
	this->delivered = 0;
	this->generation.clear();
}

} // namespace cottonspool
