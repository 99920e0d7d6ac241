/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file tcp_stream.cpp TCP connections and listeners on a libuv event loop. */

#include "net/tcp_stream.h"
#include <algorithm>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>
#include <uv.h>

namespace cottonspool {

static constexpr size_t READ_BUFFER = 64U << 10;            ///< Size of the read buffer.
static constexpr int LISTEN_BACKLOG = 1024;                 ///< Connections that the kernel queues until they are accepted.
static constexpr unsigned int KEEPALIVE_IDLE_S = 2;         ///< Idle time before the first TCP keepalive probe.
static constexpr int KEEPALIVE_INTERVAL_S = 1;              ///< Interval of TCP keepalive probes.
static constexpr int KEEPALIVE_PROBES = 2;                  ///< Unanswered keepalive probes after which an idle connection fails.
static constexpr size_t MAX_KERNEL_BUFFER_BYTES = 4U << 20; ///< Send buffer that is requested at most for a connection.
/** TCP_USER_TIMEOUT where the kernel does not tell of acknowledgements. It also ends connections whose other side does not read. */
static constexpr unsigned int FALLBACK_USER_TIMEOUT_MS = 4000;

Result<Endpoint> ParseEndpoint(std::string_view text)
{
	size_t colon = text.rfind(':');
	unsigned int port = 0;
	std::string_view digits = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
	auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
	bool valid = !digits.empty() && parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
	if (!valid || colon == 0 || port > UINT16_MAX) return Error{Step::Settings, std::string(text), "an address has the form IP:PORT"};
	return Endpoint{std::string(text.substr(0, colon)), static_cast<uint16_t>(port)};
}

/** libuv's handle, which owns the stream until the handle is closed. */
struct TcpStream::Handle {
	uv_tcp_t tcp{};                  ///< The handle itself.
	uv_connect_t connect{};          ///< libuv's request to connect.
	uv_shutdown_t shutdown{};        ///< libuv's request to shut down.
	std::shared_ptr<TcpStream> self; ///< Keeps the stream alive.
};

/** A write in libuv's queue. */
struct QueuedWrite {
	uv_write_t request{}; ///< libuv's request.
	std::string bytes;    ///< Bytes to write.

	/** @return The memory of this write; all of it is in use until the last byte is sent. */
	size_t Memory() const { return sizeof(*this) + this->bytes.capacity(); }
};

TcpStream::TcpStream() : handle(new Handle)
{
}

TcpStream::~TcpStream() = default;

std::shared_ptr<TcpStream> TcpStream::Connect(uv_loop_s *loop, const Endpoint &to)
{
	auto stream = std::make_shared<TcpStream>();
	uv_tcp_init(loop, &stream->handle->tcp);
	stream->handle->tcp.data = stream.get();
	stream->handle->self = stream;
	stream->handle->connect.data = stream.get();
	sockaddr_in address{};
	int failed = uv_ip4_addr(to.ip.c_str(), to.port, &address);
	auto connected = [](uv_connect_t *request, int status) {
		auto *self = static_cast<TcpStream *>(request->data);
		if (self->closed) return;
		if (status < 0) return self->End(status == UV_ECONNREFUSED ? TcpEnd::Refused : TcpEnd::Failed, uv_strerror(status));
		self->opened = true;
		self->SetOptions();
		self->StartReading();
		if (self->on_open) self->on_open();
	};
	if (failed == 0) {
		failed = uv_tcp_connect(&stream->handle->connect, &stream->handle->tcp, reinterpret_cast<const sockaddr *>(&address), connected);
	}
	// Report an immediate failure from the event loop too, as the owner installs its callbacks only after this function.
	if (failed != 0) {
		auto *timer = new uv_timer_t;
		uv_timer_init(loop, timer);
		timer->data = new std::pair<std::weak_ptr<TcpStream>, int>(stream, failed);
		auto report_failure = [](uv_timer_t *t) {
			auto *failure = static_cast<std::pair<std::weak_ptr<TcpStream>, int> *>(t->data);
			if (auto self = failure->first.lock(); self && !self->closed) self->End(TcpEnd::Failed, uv_strerror(failure->second));
			delete failure;
			uv_close(reinterpret_cast<uv_handle_t *>(t), [](uv_handle_t *h) { delete reinterpret_cast<uv_timer_t *>(h); });
		};
		uv_timer_start(timer, report_failure, 0, 0);
	}
	return stream;
}

std::shared_ptr<TcpStream> TcpStream::Accept(uv_stream_s *listener)
{
	auto stream = std::make_shared<TcpStream>();
	uv_tcp_init(listener->loop, &stream->handle->tcp);
	stream->handle->tcp.data = stream.get();
	stream->handle->self = stream;
	if (uv_accept(listener, reinterpret_cast<uv_stream_t *>(&stream->handle->tcp)) != 0) {
		stream->Close();
		return nullptr;
	}
	stream->opened = true;
	stream->SetOptions();
	stream->StartReading();
	return stream;
}

void TcpStream::SetOptions()
{
	uv_tcp_nodelay(&this->handle->tcp, 1);
	uv_tcp_keepalive(&this->handle->tcp, 1, KEEPALIVE_IDLE_S);
	int fd = this->Descriptor();
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &KEEPALIVE_INTERVAL_S, sizeof(KEEPALIVE_INTERVAL_S));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &KEEPALIVE_PROBES, sizeof(KEEPALIVE_PROBES));
}

int TcpStream::Descriptor() const
{
	uv_os_fd_t fd = -1;
	return uv_fileno(reinterpret_cast<const uv_handle_t *>(&this->handle->tcp), &fd) == 0 ? fd : -1;
}

void TcpStream::CheckPeer(TimePoint now)
{
	if (this->closed || !this->opened) return;
	// An idle connection without undelivered bytes is left to the keepalive probes.
	bool wrote = std::exchange(this->checked_bytes, this->written_bytes) != this->written_bytes;
	if (!wrote && !this->has_undelivered) return;
	int fd = this->Descriptor();
	std::optional<AckState> state = ReadAckState(fd);
	if (!state) {
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &FALLBACK_USER_TIMEOUT_MS, sizeof(FALLBACK_USER_TIMEOUT_MS));
		return;
	}
	this->has_undelivered = state->HasUndelivered() || state->AwaitsAck();
	if (this->has_undelivered && !this->limits_probe_interval) {
		this->limits_probe_interval = true;
		LimitProbeInterval(fd);
	}
	if (this->ack_watch.IsPeerGone(*state, now)) this->End(TcpEnd::Reset, "the other side acknowledges nothing");
}

void TcpStream::StartReading()
{
	if (this->closed || this->reading || !this->opened || !this->want_read) return;
	this->reading = true;
	auto allocate = [](uv_handle_t *handle, size_t, uv_buf_t *buffer) {
		static char shared[READ_BUFFER]; // Shared by all connections: the bytes are consumed before the next read.
		size_t size = std::min(sizeof(shared), static_cast<TcpStream *>(handle->data)->held.MaxReadBytes());
		*buffer = uv_buf_init(shared, static_cast<unsigned int>(size));
	};
	auto read = [](uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer) {
		static_cast<TcpStream *>(stream->data)->OnRead(length, buffer->base);
	};
	uv_read_start(reinterpret_cast<uv_stream_t *>(&this->handle->tcp), allocate, read);
}

bool TcpStream::IsReset() const
{
	// libuv reports EOF on a hang-up after a partial read, even if the connection was reset. The socket tells them apart: a read returns 0
	// after an orderly close and an error after a reset.
	char byte = 0;
	ssize_t length = recv(this->Descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return length < 0 && errno != EAGAIN && errno != EINTR;
}

void TcpStream::OnRead(long length, const char *bytes)
{
	if (length == 0 || this->closed) return;
	auto self_reference = this->shared_from_this();
	if (length < 0 && this->shut_down) return this->Close();
	if (length < 0 && this->closing_after_writes) return this->SetReading(false);
	if (length == UV_EOF && !this->IsReset()) return this->End(TcpEnd::Closed, "closed by the other side");
	if (length == UV_EOF) return this->End(TcpEnd::Reset, "reset by the other side");
	if (length < 0) return this->End(TcpEnd::Reset, uv_strerror(static_cast<int>(length)));
	if (this->on_data) this->on_data(std::string_view(bytes, static_cast<size_t>(length)));
}

void TcpStream::End(TcpEnd end, const char *cause)
{
	auto self_reference = this->shared_from_this();
	this->Close();
	if (this->on_end && !this->closing_after_writes) this->on_end(end, cause);
}

void TcpStream::Write(std::string bytes)
{
	if (this->closed || bytes.empty()) return;
	this->written_bytes += bytes.size();
	// Joined, as each write in libuv's queue costs some 300 bytes beside its content, ten times as much as a short event of a stream.
	if (this->submitted_writes > 0) {
		this->joined += bytes;
		return this->CountHeld();
	}
	auto *stream = reinterpret_cast<uv_stream_t *>(&this->handle->tcp);
	if (this->opened && uv_stream_get_write_queue_size(stream) == 0) {
		uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned int>(bytes.size()));
		int written = uv_try_write(stream, &buffer, 1);
		if (written == static_cast<int>(bytes.size())) return;
		if (written > 0) bytes = bytes.substr(static_cast<size_t>(written));
	}
	this->Submit(std::move(bytes));
}

void TcpStream::Submit(std::string bytes)
{
	auto *queued = new QueuedWrite;
	queued->bytes = std::move(bytes);
	queued->request.data = queued;
	uv_buf_t buffer = uv_buf_init(queued->bytes.data(), static_cast<unsigned int>(queued->bytes.size()));
	auto done = [](uv_write_t *request, int status) {
		auto *self = static_cast<TcpStream *>(request->handle->data);
		auto *over = static_cast<QueuedWrite *>(request->data);
		size_t memory = over->Memory();
		delete over;
		self->OnWritten(memory, status);
	};
	if (uv_write(&queued->request, reinterpret_cast<uv_stream_t *>(&this->handle->tcp), &buffer, 1, done) != 0) {
		delete queued;
		return;
	}
	this->submitted_memory += queued->Memory();
	this->submitted_writes++;
	this->CountHeld();
}

void TcpStream::CountHeld()
{
	this->held.Set(this->closed ? 0 : this->submitted_memory + (this->joined.empty() ? 0 : this->joined.capacity()));
}

void TcpStream::OnWritten(size_t memory, int status)
{
	this->submitted_memory -= memory;
	this->submitted_writes--;
	if (this->closed) return;
	auto self_reference = this->shared_from_this();
	if (status >= 0 && this->submitted_writes == 0 && !this->joined.empty()) this->Submit(std::exchange(this->joined, {}));
	this->CountHeld();
	if (status < 0) return this->End(this->opened ? TcpEnd::Reset : TcpEnd::Failed, uv_strerror(status));
	if (this->Backlog() == 0 && this->on_drained) this->on_drained();
}

void TcpStream::SetReading(bool wanted)
{
	this->want_read = wanted;
	if (wanted) return this->StartReading();
	if (!this->reading || this->closed) return;
	this->reading = false;
	uv_read_stop(reinterpret_cast<uv_stream_t *>(&this->handle->tcp));
}

size_t TcpStream::Backlog() const
{
	if (this->closed) return 0;
	return uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t *>(&this->handle->tcp)) + this->joined.size();
}

size_t TcpStream::UndeliveredBytes() const
{
	if (this->closed) return 0;
	int in_kernel = 0;
	bool is_known = ioctl(this->Descriptor(), SIOCOUTQ, &in_kernel) == 0;
	return this->Backlog() + (is_known ? static_cast<size_t>(in_kernel) : 0);
}

/** Delete \a handle, which releases its stream. */
static void FreeHandle(uv_handle_t *handle)
{
	auto *owner = reinterpret_cast<TcpStream::Handle *>(handle);
	delete owner;
}

void TcpStream::Close()
{
	if (this->closed) return;
	this->closed = true;
	this->CountHeld();
	auto *handle_base = reinterpret_cast<uv_handle_t *>(&this->handle->tcp);
	if (uv_is_closing(handle_base)) return;
	// With the limit the kernel would soon give up what it still has to deliver to a side that does not read at present.
	if (this->limits_probe_interval) RestoreProbeInterval(this->Descriptor());
	uv_close(handle_base, FreeHandle);
}

void TcpStream::CloseAfterWrites()
{
	if (this->closed || this->closing_after_writes) return;
	this->closing_after_writes = true;
	if (!this->joined.empty()) this->Submit(std::exchange(this->joined, {}));
	this->handle->shutdown.data = this;
	auto done = [](uv_shutdown_t *request, int status) {
		auto *self = static_cast<TcpStream *>(request->data);
		if (self->closed) return;
		self->shut_down = true;
		if (status < 0 || self->UndeliveredBytes() == 0) return self->Close();
		// The other side may have closed it already, when reading was stopped for that.
		self->SetReading(true);
	};
	if (uv_shutdown(&this->handle->shutdown, reinterpret_cast<uv_stream_t *>(&this->handle->tcp), done) != 0) this->Close();
}

void TcpStream::Abort()
{
	if (this->closed) return;
	this->closed = true;
	this->CountHeld();
	auto *handle_base = reinterpret_cast<uv_handle_t *>(&this->handle->tcp);
	if (uv_is_closing(handle_base)) return;
	if (!this->opened || this->closing_after_writes || uv_tcp_close_reset(&this->handle->tcp, FreeHandle) != 0)
		uv_close(handle_base, FreeHandle);
}

void TcpStream::PassBacklogToKernel()
{
	if (this->closed || this->backlog_passed || this->Backlog() == 0) return;
	this->backlog_passed = true;
	// The kernel counts its own overhead as well, and limits the value by itself.
	int bytes = static_cast<int>(std::min<size_t>(2 * this->UndeliveredBytes(), MAX_KERNEL_BUFFER_BYTES));
	setsockopt(this->Descriptor(), SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

/** libuv's handle of a listener. */
struct TcpListener::Handle {
	uv_tcp_t tcp{}; ///< The handle itself.
};

TcpListener::TcpListener(uv_loop_s *loop, OnStream on_stream) : loop(loop), on_stream(std::move(on_stream)), handle(nullptr)
{
}

TcpListener::~TcpListener()
{
	this->Stop();
}

Result<uint16_t> TcpListener::Listen(const Endpoint &at)
{
	this->handle = new Handle;
	uv_tcp_init(this->loop, &this->handle->tcp);
	this->handle->tcp.data = this;
	sockaddr_in address{};
	int failed = uv_ip4_addr(at.ip.c_str(), at.port, &address);
	if (failed == 0) failed = uv_tcp_bind(&this->handle->tcp, reinterpret_cast<const sockaddr *>(&address), 0);
	auto accept = [](uv_stream_t *stream, int status) {
		auto *self = static_cast<TcpListener *>(stream->data);
		if (status < 0) return;
		if (auto accepted = TcpStream::Accept(stream)) self->on_stream(std::move(accepted));
	};
	if (failed == 0) failed = uv_listen(reinterpret_cast<uv_stream_t *>(&this->handle->tcp), LISTEN_BACKLOG, accept);
	sockaddr_in bound{};
	int size = sizeof(bound);
	if (failed == 0) failed = uv_tcp_getsockname(&this->handle->tcp, reinterpret_cast<sockaddr *>(&bound), &size);
	if (failed != 0) return Error{Step::Listen, at.Text(), uv_strerror(failed)};
	return ntohs(bound.sin_port);
}

void TcpListener::Stop()
{
	if (this->handle == nullptr) return;
	uv_close(reinterpret_cast<uv_handle_t *>(&this->handle->tcp), [](uv_handle_t *h) { delete reinterpret_cast<Handle *>(h); });
	this->handle = nullptr;
}

} // namespace cottonspool
