/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file line_buffer.cpp Non-blocking buffer for log lines. */

#include "metrics/line_buffer.h"
#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace cottonspool {

void LineBuffer::Add(std::string_view line)
{
	if (this->bytes.size() + line.size() + 1 > this->max_bytes) {
		this->dropped++;
		return;
	}
	if (this->dropped > this->reported_drops) {
		this->bytes += "{\"event\":\"log-lines-dropped\",\"lines\":" + std::to_string(this->dropped - this->reported_drops) + "}\n";
		this->reported_drops = this->dropped;
	}
	this->bytes += line;
	this->bytes += '\n';
}

void LineBuffer::Flush()
{
	size_t done = 0;
	while (done < this->bytes.size()) {
		// A pipe that is ready for writing accepts at least PIPE_BUF bytes, so a write of this size does not block.
		pollfd ready{this->fd, POLLOUT, 0};
		if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) break;
		ssize_t written = write(this->fd, this->bytes.data() + done, std::min<size_t>(this->bytes.size() - done, PIPE_BUF));
		if (written < 0 && errno == EINTR) continue;
		if (written <= 0) break;
		done += static_cast<size_t>(written);
	}
	this->bytes.erase(0, done);
}

} // namespace cottonspool
