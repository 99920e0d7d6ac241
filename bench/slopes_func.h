/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file slopes_func.h Counts the memory that is allocated. */

#pragma once

#include <cstddef>

namespace cottonspool {

/** @return Bytes allocated by this process and not yet freed, as the C library counts them. */
size_t AllocatedBytes();

/** Forget the peak of resident memory so far. @return Resident bytes now. */
size_t ResetPeakBytes();

/** @return The peak of resident bytes since ResetPeakBytes(). */
size_t PeakBytes();

} // namespace cottonspool
