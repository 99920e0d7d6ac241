/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file world.h Small stand-ins for the review cases: HTTP over blocking sockets, the platform's store, gateway processes, and clients.
 *
 * They follow the pages PROTOCOL.md and DEPLOY.md. Each connection has its own thread. Only the C++ standard library and POSIX are used.
 */

#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

/** @return Milliseconds on the steady clock since the start of this program. */
inline int64_t NowMs()
{
	static const auto start = std::chrono::steady_clock::now();
	return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

inline void SleepMs(int64_t ms)
{
	if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Text file in which a case records what was sent, answered and run. */
class Record {
public:
	void Open(const std::string &path) { this->file = fopen(path.c_str(), "w"); }

	void Line(const char *format, ...) __attribute__((format(printf, 2, 3)))
	{
		char text[2048];
		va_list arguments;
		va_start(arguments, format);
		vsnprintf(text, sizeof(text), format, arguments);
		va_end(arguments);
		std::lock_guard<std::mutex> lock(this->mutex);
		if (this->file == nullptr) return;
		fprintf(this->file, "%8lld %s\n", static_cast<long long>(NowMs()), text);
		fflush(this->file);
	}

private:
	FILE *file = nullptr;
	std::mutex mutex;
};

inline Record record; ///< The record of this run.

/** @return The value of the field \a name; empty if there is none. */
inline std::string Field(const Headers &headers, const char *name)
{
	for (const auto &[key, value] : headers) {
		if (strcasecmp(key.c_str(), name) == 0) return value;
	}
	return {};
}

/** A message that was read from a socket. */
struct Message {
	std::string first;  ///< First line.
	std::string method; ///< Method (requests).
	std::string target; ///< Path with query (requests).
	int status = 0;     ///< Status (answers).
	Headers headers;
	std::string body;
	bool complete = false; ///< The end of the body was seen.
};

/** A TCP connection. */
class Connection {
public:
	explicit Connection(int fd) : fd(fd) {}
	~Connection() { this->Close(); }
	Connection(const Connection &) = delete;
	Connection &operator=(const Connection &) = delete;

	/** Write all of \a bytes. @return Whether that succeeded. */
	bool Write(const std::string &bytes)
	{
		size_t done = 0;
		while (done < bytes.size()) {
			ssize_t sent = send(this->fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
			if (sent <= 0) return false;
			done += static_cast<size_t>(sent);
		}
		return true;
	}

	/** Read more bytes into the buffer. @param timeout_ms Limit; -1 for none. @return 1: bytes; 0: end of input; -1: reset; -2: timeout. */
	int Fill(int64_t timeout_ms)
	{
		pollfd wait{this->fd, POLLIN, 0};
		int ready = poll(&wait, 1, static_cast<int>(timeout_ms));
		if (ready == 0) return -2;
		char bytes[16384];
		ssize_t length = recv(this->fd, bytes, std::min(sizeof(bytes), this->max_read), 0);
		if (length == 0) return 0;
		if (length < 0) return -1;
		this->buffer.append(bytes, static_cast<size_t>(length));
		return 1;
	}

	/** @return Whether the other side has closed the connection. */
	bool IsClosedByPeer()
	{
		char byte = 0;
		ssize_t length = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
		return length == 0 || (length < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
	}

	void Close()
	{
		if (this->fd >= 0) close(this->fd);
		this->fd = -1;
	}

	/** Close with a reset. */
	void Reset()
	{
		if (this->fd < 0) return;
		linger now{1, 0};
		setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		this->Close();
	}

	int fd;                     ///< Socket.
	std::string buffer;         ///< Bytes that were read and not yet used.
	size_t max_read = 16384;    ///< Most bytes taken by one read.
	std::function<void()> pace; ///< Called before each read of a body, so that a client can read slowly.
	std::string late;           ///< An answer that a server still has to send on this channel, before its next one.
};

/** Read the head of a message. @return Whether a complete head arrived within \a timeout_ms. */
inline bool ReadHead(Connection &connection, Message &message, int64_t timeout_ms)
{
	int64_t stop = timeout_ms < 0 ? -1 : NowMs() + timeout_ms;
	size_t end = 0;
	while ((end = connection.buffer.find("\r\n\r\n")) == std::string::npos) {
		int64_t left = stop < 0 ? -1 : stop - NowMs();
		if (stop >= 0 && left <= 0) return false;
		if (connection.Fill(left) != 1) return false;
	}
	std::string head = connection.buffer.substr(0, end + 2);
	connection.buffer.erase(0, end + 4);
	size_t at = head.find("\r\n");
	message.first = head.substr(0, at);
	if (message.first.rfind("HTTP/", 0) == 0) {
		message.status = atoi(message.first.c_str() + 9);
	} else {
		size_t space = message.first.find(' ');
		size_t second = message.first.find(' ', space + 1);
		message.method = message.first.substr(0, space);
		message.target = message.first.substr(space + 1, second - space - 1);
	}
	for (at += 2; at < head.size();) {
		size_t stop_at = head.find("\r\n", at);
		std::string line = head.substr(at, stop_at - at);
		size_t colon = line.find(':');
		size_t value = colon + 1;
		while (value < line.size() && line[value] == ' ') value++;
		if (colon != std::string::npos) message.headers.push_back({line.substr(0, colon), line.substr(value)});
		at = stop_at + 2;
	}
	return true;
}

/** Read the body behind a head. @return Whether it is complete. */
inline bool ReadBody(Connection &connection, Message &message, int64_t timeout_ms)
{
	int64_t stop = NowMs() + timeout_ms;
	auto fill = [&] {
		if (connection.pace) connection.pace();
		int64_t left = stop - NowMs();
		return left > 0 && connection.Fill(left) == 1;
	};
	if (strcasecmp(Field(message.headers, "Transfer-Encoding").c_str(), "chunked") == 0) {
		while (true) {
			size_t end = 0;
			while ((end = connection.buffer.find("\r\n")) == std::string::npos) {
				if (!fill()) return false;
			}
			size_t size = strtoul(connection.buffer.c_str(), nullptr, 16);
			while (connection.buffer.size() < end + 2 + size + 2) {
				// What has arrived of a chunk is part of the answer, also if the rest never comes.
				if (!fill()) {
					if (connection.buffer.size() > end + 2) message.body += connection.buffer.substr(end + 2);
					return false;
				}
			}
			message.body += connection.buffer.substr(end + 2, size);
			connection.buffer.erase(0, end + 2 + size + 2);
			if (size == 0) return message.complete = true;
		}
	}
	size_t length = strtoul(Field(message.headers, "Content-Length").c_str(), nullptr, 10);
	while (connection.buffer.size() < length) {
		if (!fill()) {
			message.body = connection.buffer;
			return false;
		}
	}
	message.body = connection.buffer.substr(0, length);
	connection.buffer.erase(0, length);
	return message.complete = true;
}

/** @return The text of an answer with a length. */
inline std::string Answer(int status, const Headers &headers, const std::string &body)
{
	std::string text = "HTTP/1.1 " + std::to_string(status) +
	                   (status == 200   ? " OK"
	                    : status == 503 ? " Service Unavailable"
	                                    : " Status") +
	                   "\r\n";
	for (const auto &[name, value] : headers) text += name + ": " + value + "\r\n";
	return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** HTTP server with a thread for each connection. */
class Server {
public:
	/** Handles one request; writes the answer to the connection. @return Whether the connection stays open. */
	using Handler = std::function<bool(Connection &, const Message &)>;

	/** Listen on \a ip, at any free port. */
	void Start(const std::string &ip, Handler to_call)
	{
		this->handler = std::move(to_call);
		this->listener = socket(AF_INET, SOCK_STREAM, 0);
		int one = 1;
		setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		sockaddr_in at{};
		at.sin_family = AF_INET;
		inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
		if (bind(this->listener, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0 || listen(this->listener, 512) != 0) exit(2);
		socklen_t size = sizeof(at);
		getsockname(this->listener, reinterpret_cast<sockaddr *>(&at), &size);
		this->address = ip + ":" + std::to_string(ntohs(at.sin_port));
		std::thread([this] { this->Accept(); }).detach();
	}

	/** Crash: reset all connections and refuse new ones. */
	void Crash()
	{
		std::lock_guard<std::mutex> lock(this->mutex);
		this->crashed = true;
		shutdown(this->listener, SHUT_RDWR);
		close(this->listener);
		linger now{1, 0};
		for (int fd : this->open) {
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
			// Wakes up the thread that reads or writes; it then closes the socket with a reset.
			shutdown(fd, SHUT_RD);
		}
	}

	std::string address;               ///< IP:PORT.
	std::atomic<bool> crashed = false; ///< Whether Crash() was called.

private:
	void Accept()
	{
		while (!this->crashed) {
			int fd = accept(this->listener, nullptr, nullptr);
			if (fd < 0) {
				if (this->crashed) return;
				continue;
			}
			int one = 1;
			setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
			{
				std::lock_guard<std::mutex> lock(this->mutex);
				this->open.insert(fd);
			}
			std::thread([this, fd] { this->Serve(fd); }).detach();
		}
	}

	void Serve(int fd)
	{
		Connection connection(fd);
		while (!this->crashed) {
			Message request;
			if (!ReadHead(connection, request, -1) || !ReadBody(connection, request, 30000)) break;
			if (!this->handler(connection, request)) break;
		}
		std::lock_guard<std::mutex> lock(this->mutex);
		this->open.erase(fd);
		if (this->crashed) return connection.Reset();
		connection.Close();
	}

	int listener = -1;
	Handler handler;
	std::mutex mutex;
	std::set<int> open; ///< Sockets of open connections.
};

/** @return The text field \a name of flat JSON in \a json, from \a from; enough for what the gateway writes. */
inline std::string JsonText(const std::string &json, const std::string &name, size_t from = 0)
{
	size_t at = json.find("\"" + name + "\":\"", from);
	if (at == std::string::npos) return {};
	at += name.size() + 4;
	return json.substr(at, json.find('"', at) - at);
}

inline std::string Base64(const std::string &bytes)
{
	static const char SIGNS[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	std::string text;
	for (size_t i = 0; i < bytes.size(); i += 3) {
		uint32_t group = 0;
		for (size_t j = 0; j < 3; j++) group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
		for (size_t j = 0; j < 4; j++) text += i + j <= bytes.size() ? SIGNS[group >> (18 - 6 * j) & 63] : '=';
	}
	return text;
}

/** @return \a text with percent codes decoded. */
inline std::string Unescape(const std::string &text)
{
	std::string out;
	for (size_t i = 0; i < text.size(); i++) {
		if (text[i] == '%' && i + 2 < text.size()) {
			out += static_cast<char>(strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
			i += 2;
		} else {
			out += text[i];
		}
	}
	return out;
}

/** @return The parameter \a name of the query in \a target. */
inline std::string Parameter(const std::string &target, const std::string &name)
{
	size_t at = target.find("?" + name + "=");
	if (at == std::string::npos) at = target.find("&" + name + "=");
	if (at == std::string::npos) return {};
	at += name.size() + 2;
	return Unescape(target.substr(at, target.find('&', at) - at));
}

/** The platform's store: rows in tables, with one counter of versions. */
class Store {
public:
	void Start(const std::string &ip)
	{
		this->server.Start(ip, [this](Connection &connection, const Message &request) { return this->Handle(connection, request); });
	}

	/** Write a row with plain content. */
	void Put(const std::string &table, const std::string &key, const std::string &value)
	{
		std::lock_guard<std::mutex> lock(this->mutex);
		this->tables[table][key] = {Base64(value), ++this->version, false};
		this->changed.notify_all();
	}

	void Remove(const std::string &table, const std::string &key)
	{
		std::lock_guard<std::mutex> lock(this->mutex);
		this->RemoveLocked(table, key);
		this->changed.notify_all();
	}

	/** @return Number of rows in \a table that are not deleted. */
	size_t Count(const std::string &table)
	{
		std::lock_guard<std::mutex> lock(this->mutex);
		size_t count = 0;
		for (const auto &[key, row] : this->tables[table]) count += row.deleted ? 0 : 1;
		return count;
	}

	Server server;

private:
	struct Row {
		std::string value; ///< Base64.
		uint64_t version = 0;
		bool deleted = false;
	};

	void RemoveLocked(const std::string &table, const std::string &key)
	{
		auto found = this->tables[table].find(key);
		if (found == this->tables[table].end() || found->second.deleted) return;
		found->second = {"", ++this->version, true};
	}

	static std::string RowText(const std::string &table, const std::string &key, const Row &row)
	{
		std::string text = "{\"table\":\"" + table + "\",\"part\":\"\",\"tlsKey\":\"" + key + "\",\"ver\":" + std::to_string(row.version);
		return text + (row.deleted ? ",\"deleted\":true}" : ",\"value\":\"" + row.value + "\"}");
	}

	std::string Page(const std::string &rows) const
	{
		return "{\"rows\":[" + rows + "],\"hasMore\":false,\"ver\":" + std::to_string(this->version) +
		       ",\"nowMs\":" + std::to_string(NowMs()) + "}";
	}

	bool Handle(Connection &connection, const Message &request)
	{
		static const Headers JSON{{"Content-Type", "application/json"}};
		std::string table = Parameter(request.target, "table");
		std::unique_lock<std::mutex> lock(this->mutex);
		if (request.target.rfind("/-/rows-get", 0) == 0) {
			std::string from = Parameter(request.target, "from");
			std::string rows;
			for (const auto &[key, row] : this->tables[table]) {
				if (!row.deleted && key >= from) rows += (rows.empty() ? "" : ",") + RowText(table, key, row);
			}
			return connection.Write(Answer(200, JSON, this->Page(rows)));
		}
		if (request.target.rfind("/-/rows-feed", 0) == 0) {
			uint64_t since = strtoull(Parameter(request.target, "sinceRev").c_str(), nullptr, 10);
			int64_t wait = strtoll(Parameter(request.target, "waitMs").c_str(), nullptr, 10);
			std::string rows;
			auto collect = [&] {
				std::map<uint64_t, std::string> ordered;
				for (const auto &[key, row] : this->tables[table]) {
					if (row.version > since) ordered[row.version] = RowText(table, key, row);
				}
				rows.clear();
				for (const auto &[at, text] : ordered) rows += (rows.empty() ? "" : ",") + text;
				return !rows.empty();
			};
			this->changed.wait_for(lock, std::chrono::milliseconds(wait), collect);
			return connection.Write(Answer(200, JSON, this->Page(rows)));
		}
		if (request.target == "/-/rows-tx") {
			size_t sets = request.body.find("\"setKeys\"");
			size_t removes = request.body.find("\"remove\"");
			for (size_t at = request.body.find('{', 1); at != std::string::npos; at = request.body.find('{', at + 1)) {
				std::string row = request.body.substr(at, request.body.find('}', at) - at);
				bool set = at > sets && (removes < sets || at < removes);
				std::string of = JsonText(row, "table");
				if (of == "op" || of == "servers") continue;
				if (set) this->tables[of][JsonText(row, "tlsKey")] = {JsonText(row, "value"), ++this->version, false};
				if (!set) this->RemoveLocked(of, JsonText(row, "tlsKey"));
			}
			this->changed.notify_all();
			return connection.Write(
			        Answer(200, JSON, "{\"ver\":" + std::to_string(this->version) + ",\"nowMs\":" + std::to_string(NowMs()) + "}"));
		}
		return connection.Write(Answer(404, {}, ""));
	}

	std::mutex mutex;
	std::condition_variable changed;
	uint64_t version = 0;
	std::map<std::string, std::map<std::string, Row>> tables;
};

/** @return A connection to \a address ("IP:PORT"), or null. @param segment_bytes Largest TCP segment, and \a window_bytes receive buffer; 0
 * for the defaults. */
inline std::shared_ptr<Connection> Dial(const std::string &address, int segment_bytes = 0, int window_bytes = 0)
{
	sockaddr_in to{};
	to.sin_family = AF_INET;
	size_t colon = address.find(':');
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
	to.sin_port = htons(static_cast<uint16_t>(atoi(address.c_str() + colon + 1)));
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	if (segment_bytes > 0) setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
	if (window_bytes > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof(window_bytes));
	int one = 1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	auto connection = std::make_shared<Connection>(fd);
	if (connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof(to)) != 0) return nullptr;
	return connection;
}

/** @return A loopback address for the instance \a number that no other run uses at the same time. */
inline std::string InstanceIp(int number)
{
	int pid = static_cast<int>(getpid());
	return "127." + std::to_string(10 + pid / 250 % 200) + "." + std::to_string(pid % 250) + "." + std::to_string(number + 2);
}

/** @return A port such that it and the next \a count - 1 ones are free on \a ip. */
inline int FreePorts(const std::string &ip, int count)
{
	for (int base = 20000; base < 32000; base += count) {
		bool all = true;
		for (int i = 0; i < count && all; i++) {
			int fd = socket(AF_INET, SOCK_STREAM, 0);
			sockaddr_in at{};
			at.sin_family = AF_INET;
			inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
			at.sin_port = htons(static_cast<uint16_t>(base + i));
			all = bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) == 0;
			close(fd);
		}
		if (all) return base;
	}
	exit(2);
}

/** Processes that were started and not yet waited for; they are killed when the program ends. */
inline std::set<pid_t> children;

inline void KillChildren()
{
	for (pid_t child : children) kill(child, SIGKILL);
	for (pid_t child : children) waitpid(child, nullptr, 0);
	children.clear();
}

/** An instance: `target/cottonspool gateway`, as in deploy/system.toml. */
class Gateway {
public:
	std::string name;
	std::string zone;
	std::string ip;
	std::string folder; ///< Folder for its settings file and its output.
	std::string front;  ///< Address for clients.
	std::string ready;  ///< Address of the readiness check.
	pid_t pid = 0;

	/** Start the process with the settings of DEPLOY.md for a small deployment. */
	void Start(const std::string &store)
	{
		int port = FreePorts(this->ip, 20);
		this->front = this->ip + ":" + std::to_string(port);
		this->ready = this->ip + ":" + std::to_string(port + 1);
		std::string settings =
		        "{\"nodeName\":\"" + this->name + "\",\"role\":\"gateway\",\"machineClass\":\"edge\",\"serves\":[\"edge\"],\"ip\":\"" +
		        this->ip + "\",\"zone\":\"" + this->zone +
		        "\",\"region\":\"r1\",\"zones\":{\"zone-a\":\"r1\",\"zone-b\":\"r1\",\"zone-c\":\"r1\"},\"listen\":{\"front\":\"" +
		        this->front + "\",\"ready\":\"" + this->ready + "\"},\"internalPorts\":[" + std::to_string(port + 2) + "," +
		        std::to_string(port + 17) +
		        "],\"seeds\":[],\"bootstrap\":true,\"faultCounted\":false,\"limits\":{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":512,"
		        "\"maxFds\":4100,\"linkMbps\":200.0,\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\","
		        "\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
		        "\"tenants\",\"platform\"],\"faultTolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},\"bounds\":{\"seedLagS\":3,"
		        "\"reuseAfterS\":2,\"contactMs\":4000,\"ackMs\":6000,\"catchUpS\":6,\"drainMs\":3000,\"graceS\":8,\"lossSlackMs\":200,"
		        "\"configApplyMs\":3000,\"rollbackSlackMs\":250,\"maxStretchMs\":6000,\"strictRevoke\":false,\"revokeMs\":5000,"
		        "\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"retrySlack\":158,\"recoverS\":15,\"passMs\":200,\"retryAfterS\":4.5},"
		        "\"platform\":{\"address\":\"" +
		        store +
		        "\",\"form\":\"table\",\"writesPerS\":1200,\"readsPerS\":6000,\"txMs\":3.0,\"partWritesS\":300,\"rowBytes\":65536,"
		        "\"across\":true,\"historyS\":20,\"blobBytes\":8388608,\"blobMs\":25.0,\"blobMbS\":80.0}}";
		std::string path = this->folder + "/" + this->name + ".json";
		FILE *file = fopen(path.c_str(), "w");
		if (file == nullptr) exit(2);
		fputs(settings.c_str(), file);
		fclose(file);
		std::string log = this->folder + "/" + this->name + ".log";
		this->pid = fork();
		if (this->pid == 0) {
			// It ends with this program, whatever ends that.
			prctl(PR_SET_PDEATHSIG, SIGKILL);
			int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
			dup2(out, 1);
			dup2(out, 2);
			for (int fd = 3; fd < 1024; fd++) close(fd);
			setenv("COTTONSPOOL_NODE_FILE", path.c_str(), 1);
			execl("target/cottonspool", "target/cottonspool", "gateway", static_cast<char *>(nullptr));
			_exit(127);
		}
		children.insert(this->pid);
		record.Line("gateway %s started, front %s", this->name.c_str(), this->front.c_str());
	}

	/** @return The status of the readiness check; 0 without an answer. */
	int Readiness() const
	{
		auto connection = Dial(this->ready);
		Message answer;
		bool sent = connection && connection->Write("GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
		return sent && ReadHead(*connection, answer, 1000) ? answer.status : 0;
	}

	/** Wait until the instance says that it is ready; end the case if it does not. */
	void AwaitReady() const
	{
		for (int i = 0; i < 400; i++) {
			if (this->Readiness() == 200) return;
			SleepMs(50);
		}
		record.Line("gateway %s is not ready after 20 s: the case could not run", this->name.c_str());
		KillChildren();
		_exit(2);
	}

	void Signal(int number) const
	{
		record.Line("signal %s to %s", number == SIGTERM ? "SIGTERM" : strsignal(number), this->name.c_str());
		kill(this->pid, number);
	}

	/** @return Whether the process has ended. */
	bool HasEnded()
	{
		if (this->pid == 0) return true;
		int status = 0;
		if (waitpid(this->pid, &status, WNOHANG) != this->pid) return false;
		children.erase(this->pid);
		record.Line("gateway %s ended, %s %d", this->name.c_str(), WIFSIGNALED(status) ? "signal" : "exit code",
		            WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
		this->pid = 0;
		return true;
	}
};

/** Program arguments of each case: the folder of the case and a temporary folder. */
struct Case {
	std::string folder;
	std::string temporary;
	bool trouble = true; ///< The disruption takes place (variable TROUBLE is not 0).

	Case(int argc, char **argv)
	{
		if (argc < 3) exit(2);
		this->folder = argv[1];
		this->temporary = argv[2];
		const char *text = getenv("TROUBLE");
		this->trouble = text == nullptr || std::string(text) != "0";
		signal(SIGPIPE, SIG_IGN);
		// Nothing stays behind if the script is killed; the instances end with this program.
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() == 1) _exit(2);
		NowMs();
		record.Open(this->folder + "/record.txt");
		record.Line("disruption: %s", this->trouble ? "yes" : "no (TROUBLE=0)");
	}

	/** End all processes and this program. */
	[[noreturn]] static void Exit(int code)
	{
		KillChildren();
		record.Line("exit code %d", code);
		fflush(nullptr);
		_exit(code);
	}
};

} // namespace review
