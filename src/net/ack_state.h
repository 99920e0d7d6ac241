/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file ack_state.h Tells from TCP acknowledgements whether the other side of a connection is gone, or only reads slowly. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <optional>

namespace cottonspool {

/** What the kernel knows about the bytes that it was given to send over a connection. */
struct AckState {
	uint32_t unacked_segments = 0;  ///< Segments that were sent and not acknowledged.
	uint32_t unanswered_probes = 0; ///< Consecutive probes, of a closed window or of an idle connection, without an answer.
	uint32_t unsent_bytes = 0;      ///< Bytes that were not sent yet, as the window does not allow it.
	Duration since_ack{0};          ///< Time since the last acknowledgement was received.

	/** @return Whether bytes have not arrived at the other side's kernel. */
	bool HasUndelivered() const { return this->unacked_segments > 0 || this->unsent_bytes > 0; }

	/** @return Whether something was sent that the other side's kernel has to answer and has not answered. */
	bool AwaitsAck() const { return this->unacked_segments > 0 || this->unanswered_probes > 0; }
};

/** @return The state of the connection of the socket \a fd; nothing if the kernel does not tell it. */
std::optional<AckState> ReadAckState(int fd);

/**
 * Limits the kernel's interval between two retransmissions, or two probes of a closed window, on the socket \a fd. Without a limit it
 * doubles up to two minutes, so that a side that is gone would be noticed late. Kernels before 6.15 ignore it.
 */
void LimitProbeInterval(int fd);

/**
 * Removes the limit of LimitProbeInterval(), for a socket that the kernel serves on after this process has closed it: the kernel gives up
 * such a connection once the interval would exceed its limit.
 */
void RestoreProbeInterval(int fd);

/**
 * Judges whether the other side of a connection is gone. A side that does not read closes its window but still answers the kernel's
 * probes, so that undelivered bytes prove nothing; a side that is gone answers nothing.
 */
class AckWatch {
public:
	/** Handles the \a state of the connection at \a now. @return Whether the other side is gone. */
	bool IsPeerGone(const AckState &state, TimePoint now);

private:
	TimePoint awaiting_since; ///< First check since the last acknowledgement that found something unanswered; zero for none.
};

} // namespace cottonspool
