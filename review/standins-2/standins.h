/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file standins.h Stand-ins for the review cases 4 and 5: the platform's store, servers, clients, and the start of instances.
 *
 * They use blocking sockets and one thread per connection, on loopback addresses only.
 */

#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standins {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point PROCESS_START = Clock::now();

/** @return Milliseconds since the start of this process. */
inline double NowMs()
{
	return std::chrono::duration<double, std::milli>(Clock::now() - PROCESS_START).count();
}

inline void SleepMs(double ms)
{
	std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/** The file record.txt of a case. */
class Record {
public:
	explicit Record(const std::string &path) : out(path) {}

	__attribute__((format(printf, 2, 3))) void Line(const char *format, ...)
	{
		char text[1024];
		va_list list;
		va_start(list, format);
		vsnprintf(text, sizeof(text), format, list);
		va_end(list);
		std::lock_guard lock(this->mutex);
		char time[32];
		snprintf(time, sizeof(time), "%9.1f ", NowMs());
		this->out << time << text << std::endl;
	}

private:
	std::mutex mutex;
	std::ofstream out;
};

/** The head and the body of an HTTP message. */
struct Message {
	std::string first_line;
	std::map<std::string, std::string> headers; ///< By name in lower case.
	std::string body;
	bool complete = false; ///< The body was received completely.

	std::string Get(const std::string &name) const
	{
		auto found = this->headers.find(name);
		return found == this->headers.end() ? "" : found->second;
	}
	std::string Word(int index) const
	{
		size_t begin = 0;
		for (int i = 0; i < index; i++) begin = this->first_line.find(' ', begin) + 1;
		return this->first_line.substr(begin, this->first_line.find(' ', begin) - begin);
	}
	int Status() const { return this->first_line.size() > 11 ? atoi(this->first_line.c_str() + 9) : 0; }
};

/** A blocking TCP connection. */
class Connection {
public:
	explicit Connection(int fd) : fd(fd)
	{
		int one = 1;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	}
	~Connection() { close(this->fd); }
	Connection(const Connection &) = delete;
	Connection &operator=(const Connection &) = delete;

	/** Connect. @param receive_buffer, segment Size of the receive buffer and of segments; 0 for the usual ones. */
	static std::unique_ptr<Connection> To(const std::string &ip, int port, int receive_buffer = 0, int segment = 0)
	{
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (receive_buffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
		if (segment > 0) setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
		sockaddr_in address{};
		address.sin_family = AF_INET;
		address.sin_port = htons(static_cast<uint16_t>(port));
		inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
		if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
			close(fd);
			return nullptr;
		}
		return std::make_unique<Connection>(fd);
	}

	bool Write(const std::string &bytes)
	{
		std::lock_guard lock(this->write_mutex);
		size_t sent = 0;
		while (sent < bytes.size()) {
			ssize_t n = send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
			if (n <= 0) return false;
			sent += static_cast<size_t>(n);
		}
		return true;
	}

	/** Read more bytes. @param timeout_ms Longest time to wait; negative for no limit. @return False at the end, or after that time. */
	bool Fill(double timeout_ms = -1)
	{
		timeval limit{};
		if (timeout_ms >= 0) {
			limit.tv_sec = static_cast<time_t>(timeout_ms / 1000);
			limit.tv_usec = static_cast<suseconds_t>((timeout_ms - 1000.0 * static_cast<double>(limit.tv_sec)) * 1000) + 1;
		}
		setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		char bytes[65536];
		ssize_t n = recv(this->fd, bytes, sizeof(bytes), 0);
		this->timed_out = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
		this->was_reset = n < 0 && !this->timed_out;
		if (n <= 0) return false;
		this->buffer.append(bytes, static_cast<size_t>(n));
		return true;
	}

	/** Read one message. @return Nothing if the connection ended before its head was complete, or the time was over. */
	std::optional<Message> Read(double deadline_ms = -1)
	{
		auto fill = [&] {
			if (deadline_ms < 0) return this->Fill();
			double left = deadline_ms - NowMs();
			return left > 0 && this->Fill(left);
		};
		size_t end = 0;
		while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
			if (!fill()) return std::nullopt;
		}
		Message message;
		std::string head = this->buffer.substr(0, end + 2);
		this->buffer.erase(0, end + 4);
		size_t line_end = head.find("\r\n");
		message.first_line = head.substr(0, line_end);
		for (size_t at = line_end + 2; at < head.size();) {
			size_t next = head.find("\r\n", at);
			std::string line = head.substr(at, next - at);
			at = next + 2;
			size_t colon = line.find(':');
			if (colon == std::string::npos) continue;
			std::string name = line.substr(0, colon);
			for (char &c : name) c = static_cast<char>(tolower(c));
			size_t value = line.find_first_not_of(' ', colon + 1);
			message.headers[name] = value == std::string::npos ? "" : line.substr(value);
		}
		if (message.Get("transfer-encoding") == "chunked") {
			while (true) {
				size_t eol = 0;
				while ((eol = this->buffer.find("\r\n")) == std::string::npos) {
					if (!fill()) return message;
				}
				size_t size = strtoul(this->buffer.c_str(), nullptr, 16);
				while (this->buffer.size() < eol + 2 + size + 2) {
					if (!fill()) return message;
				}
				message.body.append(this->buffer, eol + 2, size);
				this->buffer.erase(0, eol + 2 + size + 2);
				if (size == 0) break;
			}
			message.complete = true;
			return message;
		}
		size_t length = strtoul(message.Get("content-length").c_str(), nullptr, 10);
		while (this->buffer.size() < length) {
			if (!fill()) {
				message.body = std::move(this->buffer);
				this->buffer.clear();
				return message;
			}
		}
		message.body = this->buffer.substr(0, length);
		this->buffer.erase(0, length);
		message.complete = true;
		return message;
	}

	/** @return Whether the other side has closed, without reading. */
	bool IsClosedByPeer() const
	{
		char byte = 0;
		ssize_t n = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
		return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
	}

	/** Let the next close reset the connection. */
	void ResetOnClose()
	{
		linger option{1, 0};
		setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
	}
	void Shutdown() { shutdown(this->fd, SHUT_RDWR); }

	const int fd;
	std::string buffer;
	bool timed_out = false;
	bool was_reset = false;

private:
	std::mutex write_mutex;
};

/** @return Number of the events in \a text that have an id and are complete. */
inline int CountEvents(const std::string &text)
{
	int count = 0;
	for (size_t at = text.find("id: "); at != std::string::npos; at = text.find("id: ", at + 1)) {
		if (text.find("\n\n", at) != std::string::npos) count++;
	}
	return count;
}

/** An HTTP server with a thread for each connection. */
class Server {
public:
	/** Handles a request. @return False to close the connection. */
	using Handler = std::function<bool(Connection &, const Message &)>;

	Server(const std::string &ip, int port, Handler handler) : ip(ip), handler(std::move(handler))
	{
		this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int one = 1;
		setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		sockaddr_in address{};
		address.sin_family = AF_INET;
		address.sin_port = htons(static_cast<uint16_t>(port));
		inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
		socklen_t size = sizeof(address);
		if (bind(this->listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(this->listener, 512) != 0) return;
		getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size);
		this->port = ntohs(address.sin_port);
		this->acceptor = std::thread([this] { this->Accept(); });
	}
	~Server() { this->Stop(); }

	bool IsListening() const { return this->port != 0; }
	std::string Address() const { return this->ip + ":" + std::to_string(this->port); }

	/** Close the listener and all connections. @param reset Reset them, as the end of a process with unread bytes does. */
	void Stop(bool reset = true)
	{
		if (this->stopped.exchange(true)) return;
		shutdown(this->listener, SHUT_RDWR);
		if (this->acceptor.joinable()) this->acceptor.join();
		close(this->listener);
		{
			std::lock_guard lock(this->mutex);
			for (auto &each : this->connections) {
				if (auto connection = each.lock()) {
					if (reset) connection->ResetOnClose();
					shutdown(connection->fd, SHUT_RD);
				}
			}
		}
		while (this->active > 0) SleepMs(1);
	}

	std::atomic<bool> stopped = false;

private:
	void Accept()
	{
		while (!this->stopped) {
			int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
			if (fd < 0) {
				if (this->stopped) return;
				SleepMs(1);
				continue;
			}
			auto connection = std::make_shared<Connection>(fd);
			std::lock_guard lock(this->mutex);
			std::erase_if(this->connections, [](const auto &each) { return each.expired(); });
			this->connections.push_back(connection);
			this->active++;
			std::thread([this, connection]() mutable {
				while (!this->stopped) {
					std::optional<Message> request = connection->Read();
					if (!request || !request->complete || this->stopped || !this->handler(*connection, *request)) break;
				}
				connection.reset();
				this->active--;
			}).detach();
		}
	}

	std::string ip;
	int port = 0;
	int listener = -1;
	Handler handler;
	std::thread acceptor;
	std::mutex mutex;
	std::vector<std::weak_ptr<Connection>> connections;
	std::atomic<int> active = 0;
};

inline std::string Base64(const std::string &bytes)
{
	static const char *const SIGNS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	std::string text;
	for (size_t i = 0; i < bytes.size(); i += 3) {
		uint32_t part = 0;
		for (size_t k = 0; k < 3; k++) part = part << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
		for (size_t k = 0; k < 4; k++) text += i + k > bytes.size() ? '=' : SIGNS[part >> (18 - 6 * k) & 63];
	}
	return text;
}

inline std::string AnswerText(int status, const std::string &headers, const std::string &body)
{
	static const std::map<int, const char *> REASONS{{200, "OK"},
	                                                 {404, "Not Found"},
	                                                 {410, "Gone"},
	                                                 {412, "Precondition Failed"},
	                                                 {421, "Misdirected Request"},
	                                                 {500, "Internal Server Error"},
	                                                 {503, "Service Unavailable"}};
	return "HTTP/1.1 " + std::to_string(status) + " " + (REASONS.contains(status) ? REASONS.at(status) : "Status") + "\r\n" + headers +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** The platform's store, in the form "table". */
class Store {
public:
	explicit Store(const std::string &ip) : server(ip, 0, [this](Connection &c, const Message &m) { return this->Handle(c, m); }) {}
	~Store()
	{
		{
			std::lock_guard lock(this->mutex);
			this->stopping = true;
		}
		this->changed.notify_all();
	}

	std::string Address() const { return this->server.Address(); }

	/** Apply a transaction, as the operator and the servers write it: a value of nothing removes the row. @return The version. */
	uint64_t Write(const std::string &table, const std::vector<std::pair<std::string, std::optional<Json>>> &rows)
	{
		std::lock_guard lock(this->mutex);
		this->version++;
		for (const auto &[key, value] : rows) this->Set(table, key, value ? std::optional(Base64(value->dump())) : std::nullopt);
		this->changed.notify_all();
		return this->version;
	}

private:
	struct Row {
		std::string value; ///< In base64.
		uint64_t version = 0;
		bool deleted = false;
	};

	void Set(const std::string &table, const std::string &key, std::optional<std::string> value)
	{
		this->tables[table][key] = Row{value.value_or(""), this->version, !value};
	}

	static Json Encode(const std::string &table, const std::string &key, const Row &row)
	{
		Json out{{"table", table}, {"part", ""}, {"tlsKey", key}, {"ver", row.version}};
		if (row.deleted) out["deleted"] = true;
		if (!row.deleted) out["value"] = row.value;
		return out;
	}

	static std::string Parameter(const std::string &target, const std::string &name)
	{
		size_t at = target.find(name + "=");
		if (at == std::string::npos) return "";
		at += name.size() + 1;
		std::string text = target.substr(at, target.find('&', at) - at);
		std::string out;
		for (size_t i = 0; i < text.size(); i++) {
			if (text[i] == '%') {
				out += static_cast<char>(strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
				i += 2;
			} else {
				out += text[i];
			}
		}
		return out;
	}

	bool Handle(Connection &connection, const Message &request)
	{
		std::string target = request.Word(1);
		SleepMs(1);
		std::unique_lock lock(this->mutex);
		Json out{{"nowMs", static_cast<uint64_t>(NowMs())}};
		std::string table = Parameter(target, "table");
		int status = 200;
		if (target.starts_with("/-/rows-get")) {
			std::string from = Parameter(target, "from");
			out["rows"] = Json::array();
			for (const auto &[key, row] : this->tables[table]) {
				if (!row.deleted && key >= from) out["rows"].push_back(Encode(table, key, row));
			}
			out["hasMore"] = false;
		} else if (target.starts_with("/-/rows-feed")) {
			uint64_t since = strtoull(Parameter(target, "sinceRev").c_str(), nullptr, 10);
			auto until = Clock::now() + std::chrono::milliseconds(atoi(Parameter(target, "waitMs").c_str()));
			auto rows = [&] {
				std::map<uint64_t, std::vector<std::pair<std::string, Row>>> found;
				for (const auto &[key, row] : this->tables[table]) {
					if (row.version > since) found[row.version].emplace_back(key, row);
				}
				return found;
			};
			auto found = rows();
			while (found.empty() && !this->stopping && this->changed.wait_until(lock, until) == std::cv_status::no_timeout) found = rows();
			out["rows"] = Json::array();
			for (const auto &[version, each] : found) {
				for (const auto &[key, row] : each) out["rows"].push_back(Encode(table, key, row));
			}
		} else if (target == "/-/rows-tx") {
			Json body = Json::parse(request.body, nullptr, false);
			this->version++;
			for (const Json &row : body["setKeys"]) this->Set(row["table"], row["tlsKey"], std::string(row["value"]));
			for (const Json &row : body["remove"]) this->Set(row["table"], row["tlsKey"], std::nullopt);
			this->changed.notify_all();
		} else {
			status = 404;
		}
		out["ver"] = this->version;
		lock.unlock();
		return connection.Write(AnswerText(status, "Content-Type: application/json\r\n", out.dump()));
	}

	std::mutex mutex;
	std::condition_variable changed;
	bool stopping = false;
	uint64_t version = 100;
	std::map<std::string, std::map<std::string, Row>> tables;
	Server server;
};

/** @return The row of a server. */
inline Json ServerRow(const std::string &service, const std::string &address, const std::string &zone, int capacity, const char *state)
{
	return {{"service", service},   {"address", address}, {"zone", zone},         {"version", "v1"},
	        {"capacity", capacity}, {"state", state},     {"coldRemainingMs", 0}, {"sequence", 4}};
}

/** @return A configuration without tenants. */
inline Json Configuration(int version, const Json &routes, const Json &services)
{
	return {{"version", version},
	        {"routes", routes},
	        {"services", services},
	        {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
}

/** @return Whether \a port of \a ip can be listened on. */
inline bool IsFree(const std::string &ip, int port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(static_cast<uint16_t>(port));
	inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
	bool is_free = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0 && listen(fd, 1) == 0;
	close(fd);
	return is_free;
}

/** @return The first of \a count free ports of \a ip, one after the other. */
inline int FreePorts(const std::string &ip, int count)
{
	static constexpr int LOWEST = 12000;
	static constexpr int HIGHEST = 31000; // Below the ports that the kernel gives out.
	static std::mt19937 random(std::random_device{}());
	while (true) {
		int first = std::uniform_int_distribution<int>(LOWEST, HIGHEST)(random);
		bool all = true;
		for (int i = 0; i < count; i++) all = all && IsFree(ip, first + i);
		if (all) return first;
	}
}

/** The processes that run; ended at the end of the case whatever happens. */
inline std::set<pid_t> &Processes()
{
	static std::set<pid_t> processes;
	return processes;
}

/** An instance: the project's program, started with a settings file as the platform does. */
class Instance {
public:
	Instance(std::string binary, std::string folder, std::string name, std::string ip, std::string zone, std::string store)
	    : binary(std::move(binary)), folder(std::move(folder)), name(std::move(name)), ip(std::move(ip)), zone(std::move(zone)),
	      store(std::move(store)), first_port(FreePorts(this->ip, PORTS))
	{
	}
	~Instance() { this->End(SIGKILL); }

	void Start(bool bootstrap)
	{
		Json settings{
		        {"nodeName", this->name},
		        {"role", "gateway"},
		        {"machineClass", "edge"},
		        {"serves", {"edge"}},
		        {"ip", this->ip},
		        {"zone", this->zone},
		        {"region", "muscat"},
		        {"zones", {{"ghala-a", "muscat"}, {"ghala-b", "muscat"}, {"rusayl", "muscat"}}},
		        {"listen",
		         {{"front", this->ip + ":" + std::to_string(this->FrontPort())},
		          {"ready", this->ip + ":" + std::to_string(this->ReadyPort())}}},
		        {"internalPorts", {this->first_port + 2, this->first_port + PORTS - 1}},
		        {"seeds", Json::array()},
		        {"bootstrap", bootstrap},
		        {"faultCounted", false},
		        {"limits", {{"cpuShare", 0.25}, {"cores", 1}, {"memoryMb", 110}, {"maxFds", 4100}, {"linkMbps", 1000.0}, {"diskMb", 0}}},
		        {"dataDir", nullptr},
		        {"discovery", "platform"},
		        {"entry", "vip"},
		        {"heartbeatMs", 1200},
		        {"bounds",
		         {{"seedLagS", 3},
		          {"reuseAfterS", 2},
		          {"contactMs", 3000},
		          {"ackMs", 4000},
		          {"catchUpS", 4},
		          {"drainMs", 2000},
		          {"graceS", 8},
		          {"lossSlackMs", 200},
		          {"configApplyMs", 2000},
		          {"rollbackSlackMs", 250},
		          {"maxStretchMs", 5000},
		          {"strictRevoke", false},
		          {"revokeMs", 5000},
		          {"retryBudgetRatio", 0.2},
		          {"budgetWindowS", 10},
		          {"retrySlack", 56},
		          {"recoverS", 12},
		          {"passMs", 120},
		          {"retryAfterS", 5.4}}},
		        {"platform",
		         {{"address", this->store},
		          {"form", "table"},
		          {"writesPerS", 400},
		          {"readsPerS", 2000},
		          {"txMs", 3.0},
		          {"partWritesS", 300},
		          {"rowBytes", 65536},
		          {"across", true},
		          {"historyS", 20},
		          {"blobBytes", 8388608},
		          {"blobMs", 25.0},
		          {"blobMbS", 80.0}}}};
		std::string path = this->folder + "/" + this->name + ".json";
		std::ofstream(path) << settings.dump(1);
		std::string log = this->folder + "/" + this->name + ".log";
		this->pid = fork();
		if (this->pid != 0) {
			Processes().insert(this->pid);
			return;
		}
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(out, 1);
		dup2(out, 2);
		setenv("COTTONSPOOL_NODE_FILE", path.c_str(), 1);
		execl(this->binary.c_str(), this->binary.c_str(), "gateway", static_cast<char *>(nullptr));
		_exit(127);
	}

	bool IsReady() const
	{
		auto connection = Connection::To(this->ip, this->ReadyPort());
		if (!connection || !connection->Write("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) return false;
		std::optional<Message> answer = connection->Read(NowMs() + 1000);
		return answer && answer->Status() == 200;
	}

	bool AwaitReady(double limit_ms = 15000) const
	{
		for (double until = NowMs() + limit_ms; NowMs() < until; SleepMs(20)) {
			if (this->IsReady()) return true;
		}
		return false;
	}

	/** End the process with \a signal_number. @return Its wait status; -1 if it does not run. */
	int End(int signal_number, double limit_ms = 10000)
	{
		if (this->pid <= 0) return -1;
		kill(this->pid, signal_number);
		int status = 0;
		for (double until = NowMs() + limit_ms; NowMs() < until; SleepMs(5)) {
			if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
				this->Forget();
				return status;
			}
		}
		kill(this->pid, SIGKILL);
		waitpid(this->pid, &status, 0);
		this->Forget();
		return status;
	}

	/** @return Whether the process has ended by itself. */
	bool HasEnded()
	{
		int status = 0;
		if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid) return this->pid <= 0;
		this->Forget();
		return true;
	}

	pid_t Pid() const { return this->pid; }

	int FrontPort() const { return this->first_port; }
	int ReadyPort() const { return this->first_port + 1; }

	std::string binary, folder, name, ip, zone, store;

private:
	static constexpr int PORTS = 8; ///< Front, ready, and the internal ones.

	void Forget()
	{
		Processes().erase(this->pid);
		this->pid = -1;
	}

	int first_port;
	pid_t pid = -1;
};

/** What a case gets from its script: run.sh passes the program, the folder of the case and whether there is trouble. */
struct CaseArguments {
	std::string binary; ///< target/cottonspool.
	std::string folder; ///< Folder of the case, for record.txt.
	std::string temporary;
	bool trouble = true;

	static CaseArguments Read(int argc, char **argv)
	{
		signal(SIGPIPE, SIG_IGN);
		CaseArguments arguments;
		if (argc < 3) exit(2);
		arguments.binary = argv[1];
		arguments.folder = argv[2];
		const char *trouble = getenv("TROUBLE");
		arguments.trouble = trouble == nullptr || std::string(trouble) != "0";
		std::string pattern = (std::filesystem::temp_directory_path() / "cottonspool-review-XXXXXX").string();
		if (access(argv[1], X_OK) != 0 || mkdtemp(pattern.data()) == nullptr) exit(2);
		arguments.temporary = pattern;
		return arguments;
	}
};

/** End a case. */
[[noreturn]] inline void Finish(const CaseArguments &arguments, int code)
{
	for (pid_t process : Processes()) {
		kill(process, SIGKILL);
		waitpid(process, nullptr, 0);
	}
	const char *keep = getenv("KEEP_LOGS");
	if (keep == nullptr) std::filesystem::remove_all(arguments.temporary);
	if (keep != nullptr) fprintf(stderr, "logs: %s\n", arguments.temporary.c_str());
	fflush(nullptr);
	_exit(code);
}

} // namespace standins
