/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file line_buffer.h Non-blocking buffer of limited size for log lines; lines that don't fit are dropped and counted. */

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cottonspool {

/** Buffers lines for one file descriptor. */
class LineBuffer {
public:
	/**
	 * @param fd File descriptor to write to.
	 * @param max_bytes Maximum number of buffered bytes.
	 */
	LineBuffer(int fd, size_t max_bytes) : fd(fd), max_bytes(max_bytes) {}

	/** Add \a line, given without line end, or drop it if the buffer is full. */
	void Add(std::string_view line);

	/** Write as much as possible without blocking. */
	void Flush();

	/** @return Number of dropped lines. */
	uint64_t Dropped() const { return this->dropped; }

	/** @return Number of buffered bytes. */
	size_t Waiting() const { return this->bytes.size(); }

private:
	int fd;                      ///< File descriptor to write to.
	size_t max_bytes;            ///< Maximum number of buffered bytes.
	std::string bytes;           ///< Buffered lines.
	uint64_t dropped = 0;        ///< Number of dropped lines.
	uint64_t reported_drops = 0; ///< Number of dropped lines already reported in a log line.
};

} // namespace cottonspool
