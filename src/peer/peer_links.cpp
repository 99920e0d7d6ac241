/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_links.cpp Links to other instances, which carry all messages between them. */

#include "peer/peer_links.h"
#include <algorithm>
#include <uv.h>

namespace cottonspool {

Result<uint16_t> PeerLinks::Listen(const std::string &ip, uint16_t port)
{
	this->listener = new uv_tcp_t;
	uv_tcp_init(this->loop, this->listener);
	this->listener->data = this;
	sockaddr_in address{};
	std::string name = ip + ":" + std::to_string(port);
	if (uv_ip4_addr(ip.c_str(), port, &address) != 0) return Error{Step::Listen, name, "not an IPv4 address"};
	int result = uv_tcp_bind(this->listener, reinterpret_cast<sockaddr *>(&address), 0);
	if (result == 0) {
		result = uv_listen(reinterpret_cast<uv_stream_t *>(this->listener), 128, [](uv_stream_t *stream, int status) {
			if (status != 0) return;
			auto *self = static_cast<PeerLinks *>(stream->data);
			uint64_t number = self->next_accepted++;
			auto weak = std::make_shared<std::weak_ptr<WebsocketSession>>();
			WebsocketSession::Callbacks callbacks;
			callbacks.on_message = [self, weak](const std::string &bytes) { self->OnMessage(bytes, *weak); };
			callbacks.on_close = [self, number] { self->accepted.erase(number); };
			auto session = WebsocketSession::Accept(stream, std::move(callbacks));
			if (!session) return;
			*weak = session;
			self->accepted[number] = session;
		});
	}
	if (result != 0) return Error{Step::Listen, name, uv_strerror(result)};
	int length = sizeof(address);
	uv_tcp_getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &length);
	return ntohs(address.sin_port);
}

void PeerLinks::Dial(const std::string &address)
{
	size_t colon = address.rfind(':');
	if (colon == std::string::npos) return;
	auto port = static_cast<uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
	auto weak = std::make_shared<std::weak_ptr<WebsocketSession>>();
	WebsocketSession::Callbacks callbacks;
	callbacks.on_open = [this, address] {
		this->links[address].open = true;
		if (this->on_link_open) this->on_link_open(address);
	};
	callbacks.on_message = [this, weak](const std::string &bytes) { this->OnMessage(bytes, *weak); };
	callbacks.on_close = [this, address] {
		this->links.erase(address);
		if (this->on_link_closed) this->on_link_closed(address);
	};
	auto session = WebsocketSession::Dial(this->loop, address.substr(0, colon), port, std::move(callbacks));
	if (!session) return;
	*weak = session;
	this->links[address].session = session;
}

void PeerLinks::SetWanted(const std::vector<std::string> &addresses)
{
	std::vector<std::string> unwanted;
	for (const auto &[address, link] : this->links) {
		if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) unwanted.push_back(address);
	}
	for (const std::string &address : unwanted) {
		if (this->links[address].session) this->links[address].session->Close();
		this->links.erase(address);
	}
	for (const std::string &address : addresses) {
		if (!this->links.contains(address)) this->Dial(address);
	}
}

bool PeerLinks::SendOn(const std::shared_ptr<WebsocketSession> &session, const std::string &bytes)
{
	if (!session || !session->Send(bytes)) return false;
	this->counters.messages_out++;
	this->counters.bytes_out += bytes.size();
	return true;
}

size_t PeerLinks::Broadcast(const PeerMessage &message, const std::set<std::string> &except)
{
	std::string bytes = EncodePeerMessage(message);
	this->BroadcastBytes(bytes, except);
	return bytes.size();
}

void PeerLinks::BroadcastBytes(const std::string &bytes, const std::set<std::string> &except)
{
	std::vector<std::shared_ptr<WebsocketSession>> sessions;
	for (const auto &[address, link] : this->links) {
		if (link.open && !except.contains(address)) sessions.push_back(link.session);
	}
	for (const auto &session : sessions) this->SendOn(session, bytes);
}

void PeerLinks::SendTo(const std::string &address, const PeerMessage &message)
{
	auto found = this->links.find(address);
	if (found != this->links.end() && found->second.open) this->SendOn(found->second.session, EncodePeerMessage(message));
}

LinkState PeerLinks::LinkStateOf(const std::string &address) const
{
	auto found = this->links.find(address);
	if (found == this->links.end()) return LinkState::None;
	return found->second.open ? LinkState::Open : LinkState::Dialling;
}

void PeerLinks::OnMessage(const std::string &bytes, const std::weak_ptr<WebsocketSession> &from)
{
	this->counters.messages_in++;
	this->counters.bytes_in += bytes.size();
	Result<PeerMessage> message = DecodePeerMessage(bytes);
	if (!message) {
		this->counters.bad_messages++;
		return;
	}
	this->handler(message.value(), Reply([this, from](const std::string &answer) { this->SendOn(from.lock(), answer); }));
}

void PeerLinks::Shutdown()
{
	for (auto &[address, link] : this->links) {
		if (link.session) link.session->Close();
	}
	this->links.clear();
	for (auto &[number, session] : this->accepted) session->Close();
	this->accepted.clear();
	if (this->listener == nullptr) return;
	uv_close(reinterpret_cast<uv_handle_t *>(this->listener), [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
	this->listener = nullptr;
}

size_t PeerLinks::OpenLinks() const
{
	return static_cast<size_t>(std::count_if(this->links.begin(), this->links.end(), [](const auto &entry) { return entry.second.open; }));
}

} // namespace cottonspool
