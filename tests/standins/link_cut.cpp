/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file link_cut.cpp Library for LD_PRELOAD that cuts a program under test off from some ports of this machine. */

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <netinet/in.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

static constexpr size_t MAX_FDS = 65536; ///< Descriptors above are not cut off.

/** Port to which each descriptor is connected; 0 for none. */
static std::array<uint16_t, MAX_FDS> connected_ports;

/** How the program is cut off, read anew from the file in COTTONSPOOL_TEST_LINKS: "MODE PORT ...". */
struct Cut {
	std::string mode;         ///< "refuse" (new connections only), "silent" or "reset"; anything else for no cut.
	std::set<uint16_t> ports; ///< Ports that cannot be reached.

	/** @return Whether \a port is cut off. */
	bool Concerns(uint16_t port) const { return !this->mode.empty() && this->ports.contains(port); }
};

static Cut ReadCut()
{
	Cut cut;
	const char *path = getenv("COTTONSPOOL_TEST_LINKS");
	FILE *file = path == nullptr ? nullptr : fopen(path, "re");
	if (file == nullptr) return cut;
	char mode[16] = "";
	unsigned int port = 0;
	if (fscanf(file, "%15s", mode) == 1) cut.mode = mode;
	while (fscanf(file, "%u", &port) == 1) cut.ports.insert(static_cast<uint16_t>(port));
	fclose(file);
	if (cut.mode != "refuse" && cut.mode != "silent" && cut.mode != "reset") cut.mode.clear();
	return cut;
}

/** @return The function \a name of the C library. */
template <typename Function> static Function Real(const char *name)
{
	return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

using ConnectFunction = int (*)(int, const sockaddr *, socklen_t);

/** @return An address at which a connection is neither accepted nor refused: the queue of its listener is full. */
static sockaddr_in SilentAddress()
{
	static const sockaddr_in address = [] {
		static constexpr int FILLERS = 4; // The queue takes one more connection than its backlog, and some are still being completed.
		sockaddr_in at{};
		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		socklen_t size = sizeof(at);
		int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		bind(listener, reinterpret_cast<sockaddr *>(&at), size);
		listen(listener, 0);
		getsockname(listener, reinterpret_cast<sockaddr *>(&at), &size);
		for (int i = 0; i < FILLERS; i++) {
			int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
			Real<ConnectFunction>("connect")(filler, reinterpret_cast<sockaddr *>(&at), size);
		}
		return at;
	}();
	return address;
}

extern "C" int connect(int fd, const sockaddr *address, socklen_t size)
{
	static auto real = Real<ConnectFunction>("connect");
	if (address->sa_family != AF_INET || fd < 0 || static_cast<size_t>(fd) >= MAX_FDS) return real(fd, address, size);
	uint16_t port = ntohs(reinterpret_cast<const sockaddr_in *>(address)->sin_port);
	connected_ports[static_cast<size_t>(fd)] = port;
	Cut cut = ReadCut();
	if (!cut.Concerns(port)) return real(fd, address, size);
	if (cut.mode == "refuse") {
		errno = ECONNREFUSED;
		return -1;
	}
	sockaddr_in silent = SilentAddress();
	return real(fd, reinterpret_cast<sockaddr *>(&silent), sizeof(silent));
}

/** @return Whether bytes written to \a fd are lost; sets errno if the connection is to look reset. */
static bool LosesBytes(int fd, bool *reset)
{
	if (fd < 0 || static_cast<size_t>(fd) >= MAX_FDS || connected_ports[static_cast<size_t>(fd)] == 0) return false;
	Cut cut = ReadCut();
	if (!cut.Concerns(connected_ports[static_cast<size_t>(fd)]) || cut.mode == "refuse") return false;
	*reset = cut.mode == "reset";
	if (*reset) errno = ECONNRESET;
	return true;
}

extern "C" ssize_t write(int fd, const void *bytes, size_t size)
{
	static auto real = Real<ssize_t (*)(int, const void *, size_t)>("write");
	bool reset = false;
	if (!LosesBytes(fd, &reset)) return real(fd, bytes, size);
	return reset ? -1 : static_cast<ssize_t>(size);
}

extern "C" ssize_t writev(int fd, const iovec *parts, int count)
{
	static auto real = Real<ssize_t (*)(int, const iovec *, int)>("writev");
	bool reset = false;
	if (!LosesBytes(fd, &reset)) return real(fd, parts, count);
	ssize_t size = 0;
	for (int i = 0; i < count; i++) size += static_cast<ssize_t>(parts[i].iov_len);
	return reset ? -1 : size;
}

/** @return \a fd, a new descriptor, whose number may have belonged to a connection that was closed by a system call. */
static int Forget(int fd)
{
	if (fd >= 0 && static_cast<size_t>(fd) < MAX_FDS) connected_ports[static_cast<size_t>(fd)] = 0;
	return fd;
}

extern "C" int socket(int domain, int type, int protocol)
{
	static auto real = Real<int (*)(int, int, int)>("socket");
	return Forget(real(domain, type, protocol));
}

extern "C" int accept4(int listener, sockaddr *address, socklen_t *size, int flags)
{
	static auto real = Real<int (*)(int, sockaddr *, socklen_t *, int)>("accept4");
	return Forget(real(listener, address, size, flags));
}

extern "C" int accept(int listener, sockaddr *address, socklen_t *size)
{
	static auto real = Real<int (*)(int, sockaddr *, socklen_t *)>("accept");
	return Forget(real(listener, address, size));
}
