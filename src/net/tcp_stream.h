/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file tcp_stream.h TCP connections and listeners on a libuv event loop. */

#pragma once

#include "core/error_type.h"
#include "core/time_type.h"
#include "net/ack_state.h"
#include "net/held_counter.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct uv_loop_s;
struct uv_stream_s;

namespace cottonspool {

static constexpr Duration PEER_CHECK_INTERVAL = std::chrono::seconds(1); ///< Interval of TcpStream::CheckPeer().

/** An IPv4 address and port. */
struct Endpoint {
	std::string ip;    ///< Address in dotted form.
	uint16_t port = 0; ///< Port.

	bool operator==(const Endpoint &) const = default;

	/** @return "IP:PORT". */
	std::string Text() const { return this->ip + ":" + std::to_string(this->port); }
};

/** Parse "IP:PORT". */
Result<Endpoint> ParseEndpoint(std::string_view text);

/** How a connection ended, other than by Close() or Abort(). */
enum class TcpEnd : uint8_t {
	Refused, ///< The connection was refused; nothing was sent.
	Failed,  ///< Connecting failed in another way; nothing was sent.
	Closed,  ///< The other side closed it in order.
	Reset,   ///< It failed or was reset; bytes may be lost in both directions.
};

/** A TCP connection. The object exists at least until it is closed; after Close() or Abort() no callback is called any more. */
class TcpStream : public std::enable_shared_from_this<TcpStream> {
public:
	std::function<void()> on_open;                    ///< The connection was established (outgoing ones only).
	std::function<void(std::string_view)> on_data;    ///< Bytes were received.
	std::function<void(TcpEnd, const char *)> on_end; ///< The connection ended; the text is the cause.
	std::function<void()> on_drained;                 ///< The queue of unsent bytes became empty.

	TcpStream();
	~TcpStream();
	TcpStream(const TcpStream &) = delete;
	TcpStream &operator=(const TcpStream &) = delete;

	/** Connect to \a to; bytes may be written at once. @return The connection; a failure is reported through on_end. */
	static std::shared_ptr<TcpStream> Connect(uv_loop_s *loop, const Endpoint &to);

	/** Accept a connection of \a listener. @return The connection; null if that failed. */
	static std::shared_ptr<TcpStream> Accept(uv_stream_s *listener);

	/**
	 * Ends the connection if the other side is gone, as opposed to one that does not read at present; to be called at intervals of
	 * PEER_CHECK_INTERVAL. Idle connections are ended by the kernel's keepalive probes.
	 */
	void CheckPeer(TimePoint now);

	/** Send \a bytes. */
	void Write(std::string bytes);

	/** Resume or pause reading. */
	void SetReading(bool reading);

	/** Close and discard unsent bytes. */
	void Close();

	/**
	 * Send what is unsent and the end of the stream. The connection is closed when the other side closes it, or by Close(): its
	 * UndeliveredBytes() tell whether all bytes have arrived.
	 */
	void CloseAfterWrites();

	/** Reset the connection, if it is open. */
	void Abort();

	/**
	 * Lets the kernel take as many of the unsent bytes as it can, as it delivers what it has even after the end of this process. To be
	 * called when that is near.
	 */
	void PassBacklogToKernel();

	/** @return Number of bytes that were written but not yet passed to the kernel. */
	size_t Backlog() const;

	/**
	 * @return Number of bytes written that have not arrived at the other side's kernel: those of Backlog(), and those that this kernel
	 * still holds, as far as it tells them.
	 */
	size_t UndeliveredBytes() const;

	/** @return Number of bytes passed to the kernel so far. */
	uint64_t SentBytes() const { return this->written_bytes - this->Backlog(); }

	/** @return Whether the connection has been established. */
	bool WasOpen() const { return this->opened; }

	/** @return Whether the connection is closed on this side. */
	bool IsClosed() const { return this->closed; }

	struct Handle;

	HeldPart held; ///< Counts the memory of the unsent bytes.

private:
	void StartReading();
	void Submit(std::string bytes);
	void CountHeld();
	void OnRead(long length, const char *bytes);
	void OnWritten(size_t memory, int status);
	void End(TcpEnd end, const char *cause);
	void SetOptions();
	bool IsReset() const;
	/** @return The descriptor of the socket; -1 if there is none. */
	int Descriptor() const;

	Handle *handle;                     ///< libuv's handle; deleted by its close callback.
	bool opened = false;                ///< The connection has been established.
	bool closed = false;                ///< Closed here, or ended by the other side.
	bool reading = false;               ///< libuv is reading.
	bool want_read = true;              ///< Reading is not paused.
	bool closing_after_writes = false;  ///< Nothing more is written.
	bool shut_down = false;             ///< The end of the stream has been passed to the kernel.
	std::string joined;                 ///< Bytes that wait for the current write to end.
	size_t submitted_memory = 0;        ///< Memory of the writes in libuv's queue.
	size_t submitted_writes = 0;        ///< Number of writes in libuv's queue.
	uint64_t written_bytes = 0;         ///< Number of bytes passed to Write() so far.
	uint64_t checked_bytes = 0;         ///< Those at the last check of the other side.
	bool has_undelivered = false;       ///< Bytes had not arrived at the last check.
	bool limits_probe_interval = false; ///< The kernel's probe interval is limited.
	bool backlog_passed = false;        ///< PassBacklogToKernel() was called.
	AckWatch ack_watch;                 ///< Tells whether the other side is gone.

	friend class TcpListener;
};

/** Accepts connections on an address. */
class TcpListener {
public:
	using OnStream = std::function<void(std::shared_ptr<TcpStream>)>;

	TcpListener(uv_loop_s *loop, OnStream on_stream);
	~TcpListener();
	TcpListener(const TcpListener &) = delete;
	TcpListener &operator=(const TcpListener &) = delete;

	/** Listen on \a at; port 0 selects a free one. @return The port. */
	Result<uint16_t> Listen(const Endpoint &at);

	/** Stop accepting connections. */
	void Stop();

private:
	struct Handle;
	uv_loop_s *loop;    ///< Event loop.
	OnStream on_stream; ///< Called for each connection.
	Handle *handle;     ///< libuv's handle; null before Listen() and after Stop().
};

} // namespace cottonspool
