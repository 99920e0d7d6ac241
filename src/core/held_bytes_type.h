/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file held_bytes_type.h Bytes that a process holds for callers and targets, in sum and by holder. */

#pragma once

#include "core/time_type.h"
#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace cottonspool {

/** Bytes held in memory for callers and targets. */
struct HeldBytes {
	size_t answers = 0;  ///< Answers that are buffered, or not yet passed to the kernel.
	size_t requests = 0; ///< Requests that are not yet passed to the kernel.
	size_t bodies = 0;   ///< Bodies of callers' requests, received or being received.

	/** @return All bytes held at present. */
	size_t Total() const { return this->answers + this->requests + this->bodies; }

	/** @return Total(), and the bytes that sending the received bodies will need: each body is copied when it is sent. */
	size_t Committed() const { return this->answers + this->bodies + std::max(this->bodies, this->requests); }
};

/** One caller's connection that holds bytes. */
struct MemoryHolder {
	uint64_t id = 0;        ///< Number of the connection.
	size_t bytes = 0;       ///< Bytes whose growth ends when the holder is paused.
	TimePoint since;        ///< When the current request began to arrive.
	bool receiving = false; ///< Its request is still being received, so that it can be rejected as not executed.
	bool completes = false; ///< Its memory becomes free only once the request or the answer is complete.
	TimePoint paused_since; ///< When it was paused; zero if it is not.
};

} // namespace cottonspool
