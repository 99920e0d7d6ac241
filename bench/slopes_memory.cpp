/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file slopes_memory.cpp Counts the memory that is allocated. */

#include "slopes_func.h"
#include <malloc.h>

namespace cottonspool {

size_t AllocatedBytes()
{
	struct mallinfo2 info = mallinfo2();
	return info.uordblks + info.hblkhd;
}

} // namespace cottonspool
