/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file tcp_stream.h One TCP connection on the libuv loop. */

#pragma once

#include "core/error_type.h"
#include "core/time_type.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct uv_loop_s;
struct uv_stream_s;

namespace cottonspool {

/** An IPv4 address with a port. */
struct Endpoint {
	std::string ip;    ///< Address in dotted form.
	uint16_t port = 0; ///< Port.

	bool operator==(const Endpoint &) const = default;

	/** @return "IP:PORT". */
	std::string Text() const { return this->ip + ":" + std::to_string(this->port); }
};

/** Read "IP:PORT". */
Result<Endpoint> ParseEndpoint(std::string_view text);

/** How the other side ended a connection. */
enum class TcpEnd : uint8_t {
	Refused, ///< It was never open, as nobody listens: no byte has left.
	Failed,  ///< It was never open for another reason: no byte has left.
	Closed,  ///< The other side has sent everything and closed.
	Reset,   ///< It broke: bytes may be lost in both directions.
};

/** One TCP connection. It keeps itself alive until it is closed; after Close() or Abort() no function is called any more. */
class TcpStream : public std::enable_shared_from_this<TcpStream> {
public:
	std::function<void()> on_open;                    ///< The connection is open (outgoing ones only).
	std::function<void(std::string_view)> on_data;    ///< Bytes came.
	std::function<void(TcpEnd, const char *)> on_end; ///< The other side ended it; the text is the cause.
	std::function<void()> on_drained;                 ///< Everything written has been handed to the kernel after having waited.

	TcpStream();
	~TcpStream();
	TcpStream(const TcpStream &) = delete;
	TcpStream &operator=(const TcpStream &) = delete;

	/** Begin to connect to \a to; bytes may be written at once. @return The connection; a failure is told through on_end. */
	static std::shared_ptr<TcpStream> Connect(uv_loop_s *loop, const Endpoint &to);

	/** Accept a connection of \a listener. @return Null when it is gone already. */
	static std::shared_ptr<TcpStream> Accept(uv_stream_s *listener);

	/** Send \a bytes after everything written before. */
	void Write(std::string bytes);

	/** Read on, or let the other side wait. */
	void SetReading(bool reading);

	/** Close without waiting for what is still to be written. */
	void Close();

	/** Close after everything written has been sent. */
	void CloseAfterWrites();

	/** Close so that the other side sees a reset. */
	void Abort();

	/** @return Bytes written and not yet handed to the kernel. */
	size_t Backlog() const;

	/** @return Whether the connection has been open. */
	bool WasOpen() const { return this->opened; }

	/** @return Whether nothing more can be written. */
	bool IsClosed() const { return this->closed; }

	struct Handle;

private:
	void StartReading();
	void OnRead(long length, const char *bytes);
	void OnWritten(int status);
	void End(TcpEnd end, const char *cause);
	void SetOptions();
	bool IsReset() const;

	Handle *handle;                    ///< libuv's handle; freed by its close callback.
	bool opened = false;               ///< Was connected.
	bool closed = false;               ///< Close() was called or the other side ended it.
	bool reading = false;              ///< Bytes are being read.
	bool want_read = true;             ///< Reading is wanted.
	bool closing_after_writes = false; ///< To be closed once everything is written.

	friend class TcpListener;
};

/** Listens on one address. */
class TcpListener {
public:
	using OnStream = std::function<void(std::shared_ptr<TcpStream>)>;

	TcpListener(uv_loop_s *loop, OnStream on_stream);
	~TcpListener();
	TcpListener(const TcpListener &) = delete;
	TcpListener &operator=(const TcpListener &) = delete;

	/** Listen on \a at; port 0 takes a free one. @return The port. */
	Result<uint16_t> Listen(const Endpoint &at);

	/** Take no more connections. */
	void Stop();

private:
	struct Handle;
	uv_loop_s *loop;    ///< Loop.
	OnStream on_stream; ///< Gets each connection.
	Handle *handle;     ///< libuv's handle; null before Listen() and after Stop().
};

} // namespace cottonspool
