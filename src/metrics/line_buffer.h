/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file line_buffer.h Lines on their way to a reader who may be slow: bounded, never waited for, drops counted. */

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cottonspool {

/** Holds lines for one file descriptor. */
class LineBuffer {
public:
	LineBuffer(int fd, size_t most) : fd(fd), most(most) {}

	/** Add \a line, without its end, or count it as dropped when there is no room. */
	void Add(std::string_view line);

	/** Write what the reader takes without being waited for. */
	void Flush();

	/** @return Lines dropped so far. */
	uint64_t Dropped() const { return this->dropped; }

	/** @return Bytes that wait. */
	size_t Waiting() const { return this->bytes.size(); }

private:
	int fd;               ///< Where to.
	size_t most;          ///< Most bytes that may wait.
	std::string bytes;    ///< Lines that wait.
	uint64_t dropped = 0; ///< Lines dropped.
	uint64_t told = 0;    ///< Of those, told in a line of their own.
};

} // namespace cottonspool
