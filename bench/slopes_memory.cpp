/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file slopes_memory.cpp Measures the memory use of this process. */

#include "slopes_func.h"
#include <fstream>
#include <malloc.h>
#include <string>

namespace cottonspool {

size_t AllocatedBytes()
{
	struct mallinfo2 info = mallinfo2();
	return info.uordblks + info.hblkhd;
}

/** @return Value in bytes of the line \a key in /proc/self/status. */
static size_t StatusBytes(const std::string &key)
{
	std::ifstream status("/proc/self/status");
	for (std::string line; std::getline(status, line);) {
		if (line.starts_with(key)) return std::stoul(line.substr(key.size())) * 1024;
	}
	return 0;
}

size_t ResetPeakBytes()
{
	malloc_trim(0);
	std::ofstream("/proc/self/clear_refs") << "5";
	return StatusBytes("VmRSS:");
}

size_t PeakBytes()
{
	return StatusBytes("VmHWM:");
}

} // namespace cottonspool
