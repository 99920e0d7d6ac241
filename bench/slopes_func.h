/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file slopes_func.h Measures the memory use of this process. */

#pragma once

#include <cstddef>

namespace cottonspool {

/** @return Bytes allocated and not yet freed, from the statistics of the C library. */
size_t AllocatedBytes();

/** Reset the recorded peak of resident memory. @return Resident bytes now. */
size_t ResetPeakBytes();

/** @return Peak of resident bytes since ResetPeakBytes(). */
size_t PeakBytes();

} // namespace cottonspool
