/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_exchange.cpp Finds the other instances and exchanges news with them. */

#include "gateway/peer_exchange.h"
#include "core/hash_func.h"
#include "metrics/log.h"
#include <algorithm>

namespace cottonspool {

static const char *const INSTANCE_TABLE = "cottonspool-instances"; ///< Table in which instances find each other.

/** @return Milliseconds since the epoch; grows with each start of an instance of the same name. */
static uint64_t StartNumber()
{
	auto now = std::chrono::system_clock::now().time_since_epoch();
	return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

PeerExchange::PeerExchange(uv_loop_s *loop, TableStore &store, PeerLoad &load, std::string name, ExchangeLimits limits,
                           ReportHandler on_report)
    : store(store), load(load), name(std::move(name)), incarnation(StartNumber()), limits(limits), on_report(std::move(on_report)),
      links(loop,
            [this](const PeerMessage &message, const PeerLinks::Reply &) {
	            auto news = std::get_if<LoadMessage>(&message);
	            if (news == nullptr || news->instance == this->name) return;
	            this->load.OnMessage(*news, MonotonicNow());
	            for (const ReportNews &report : news->reports) this->on_report(report);
            }),
      watch(store, INSTANCE_TABLE, limits.watch)
{
	this->waiting.instance = this->name;
	this->waiting.incarnation = this->incarnation;
	this->readers.push_back(this->name);
}

Result<void> PeerExchange::Start(const Endpoint &at, TimePoint now)
{
	BOOST_OUTCOME_TRY(port, this->links.Listen(at.ip, at.port));
	this->address = Endpoint{at.ip, port}.Text();
	this->links.on_link_open = [this](const std::string &to) { this->links.SendTo(to, this->Whole()); };
	this->links.on_link_closed = [](const std::string &to) { Log(LogLevel::Info, "peer-link-closed", {{"peer", to}}); };
	this->watch.on_all = [this](const std::vector<StoredRow> &rows, TimePoint) { this->OnRows(rows, true); };
	this->watch.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint) { this->OnRows(rows, false); };
	this->Register(now);
	this->watch.Start(now);
	return outcome::success();
}

void PeerExchange::Register(TimePoint now)
{
	this->register_at = now + this->limits.register_pause;
	this->register_call = this->store.WriteRow(INSTANCE_TABLE, this->name, this->address, [this](StoreWrite result) {
		this->register_call = 0;
		this->registered = result == StoreWrite::Done;
	});
}

void PeerExchange::Leave()
{
	this->store.RemoveRow(INSTANCE_TABLE, this->name, [](StoreWrite) {});
}

void PeerExchange::OnRows(const std::vector<StoredRow> &rows, bool all)
{
	if (all) this->found.clear();
	for (const StoredRow &row : rows) {
		if (row.key == this->name) continue;
		if (row.deleted) {
			this->found.erase(row.key);
			continue;
		}
		Found &peer = this->found[row.key];
		if (peer.address != row.value) peer = Found{row.value, TimePoint{}, Duration(0)};
	}
	this->Dial(MonotonicNow());
}

void PeerExchange::Dial(TimePoint now)
{
	std::vector<std::string> wanted;
	for (auto &[peer_name, peer] : this->found) {
		bool open = this->links.IsOpen(peer.address);
		if (open) peer.pause = Duration(0);
		if (!open && now >= peer.next_dial) {
			peer.pause = std::clamp(2 * peer.pause, this->limits.dial_least, this->limits.dial_most);
			peer.next_dial = now + peer.pause;
			open = true;
		} else if (!open && peer.pause > Duration(0) && now < peer.next_dial) {
			open = true; // Still being dialled, or at rest after a failure: SetWanted() dials only what has no link.
		}
		if (open) wanted.push_back(peer.address);
	}
	this->links.SetWanted(wanted);
}

LoadMessage PeerExchange::Whole() const
{
	LoadMessage message;
	message.instance = this->name;
	message.incarnation = this->incarnation;
	message.whole = true;
	for (const auto &[call, news] : this->own) message.calls.push_back(news);
	return message;
}

void PeerExchange::TellAt(const CallSpec &call, const std::string &pool, const std::string &target, uint32_t generated, bool at_once)
{
	CallNews &news = this->own[call.id.value];
	news = CallNews{CallNews::Kind::At, call.id.value, target, call.prompt_tokens, generated, call.max_tokens, pool, call.service_class};
	if (!at_once) return;
	this->waiting.calls.push_back(news);
	this->Flush();
}

void PeerExchange::TellEnded(CallId call)
{
	if (this->own.erase(call.value) == 0) return;
	CallNews news;
	news.kind = CallNews::Kind::Ended;
	news.call = call.value;
	this->waiting.calls.push_back(std::move(news));
}

void PeerExchange::TellReport(const std::string &target, const LoadReport &report)
{
	this->waiting.reports.push_back({target, report});
}

void PeerExchange::Flush()
{
	if (!this->waiting.calls.empty() || !this->waiting.reports.empty()) {
		this->links.Broadcast(this->waiting);
		this->waiting.calls.clear();
		this->waiting.reports.clear();
	}
}

void PeerExchange::OnTick(TimePoint now)
{
	this->watch.OnTick(now);
	this->load.OnTick(now);
	this->readers = this->load.Live();
	this->readers.push_back(this->name);
	if (!this->registered && this->register_call == 0 && now >= this->register_at) this->Register(now);
	if (this->register_call != 0 && now >= this->register_at) {
		this->store.Cancel(this->register_call);
		this->register_call = 0;
	}
	this->Flush();
	if (now - this->sent_at < this->limits.heartbeat) return;
	this->sent_at = now;
	this->links.Broadcast(this->Whole());
	this->Dial(now);
}

bool PeerExchange::ReadsReportsOf(const std::string &target) const
{
	return RendezvousChoice(target, this->readers, 1).front() == this->name;
}

} // namespace cottonspool
