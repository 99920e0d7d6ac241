/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file ack_state.cpp Tells from TCP acknowledgements whether the other side of a connection is gone, or only reads slowly. */

#include "net/ack_state.h"
// The C library's header lacks the newer fields of tcp_info, and can't be included beside this one.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace cottonspool {

/** Time without any acknowledgement, while one is due, after which the other side is gone. */
static constexpr Duration MAX_SILENCE = std::chrono::seconds(4);
/** Unanswered probes that it takes besides: kernels without a limit on the interval send few, and a link may lose one. */
static constexpr uint32_t MIN_UNANSWERED_PROBES = 2;

static constexpr int RTO_MAX_OPTION = 44; ///< TCP_RTO_MAX_MS, which older headers lack.
/**
 * Longest interval of retransmissions and probes. After ten probes in a row the kernel gives up a connection that its process has closed;
 * callers that stop reading for 20 s shall still get what it holds.
 */
static constexpr int PROBE_INTERVAL_MS = 3000;
static constexpr int DEFAULT_PROBE_INTERVAL_MS = 120000; ///< The kernel's default.

std::optional<AckState> ReadAckState(int fd)
{
	tcp_info info{};
	socklen_t size = sizeof(info);
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
	return AckState{info.tcpi_unacked, info.tcpi_probes, info.tcpi_notsent_bytes, std::chrono::milliseconds(info.tcpi_last_ack_recv)};
}

void LimitProbeInterval(int fd)
{
	setsockopt(fd, IPPROTO_TCP, RTO_MAX_OPTION, &PROBE_INTERVAL_MS, sizeof(PROBE_INTERVAL_MS));
}

void RestoreProbeInterval(int fd)
{
	setsockopt(fd, IPPROTO_TCP, RTO_MAX_OPTION, &DEFAULT_PROBE_INTERVAL_MS, sizeof(DEFAULT_PROBE_INTERVAL_MS));
}

bool AckWatch::IsPeerGone(const AckState &state, TimePoint now)
{
	bool answered = this->awaiting_since != TimePoint{} && now - state.since_ack > this->awaiting_since;
	if (!state.AwaitsAck()) {
		this->awaiting_since = TimePoint{};
		return false;
	}
	if (answered || this->awaiting_since == TimePoint{}) {
		this->awaiting_since = now;
		return false;
	}
	if (now - this->awaiting_since < MAX_SILENCE) return false;
	return state.unacked_segments > 0 || state.unanswered_probes >= MIN_UNANSWERED_PROBES;
}

} // namespace cottonspool
