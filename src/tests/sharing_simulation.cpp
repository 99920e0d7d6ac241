/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file sharing_simulation.cpp Hundreds of instances that share the reading of one table, in simulated time. */

#include "tests/sharing_simulation.h"
#include "platform/node_settings.h"
#include <algorithm>

namespace cottonspool {

using std::chrono::milliseconds;

static constexpr Duration TICK = milliseconds(25);        ///< Time between ticks, as at a gateway.
static constexpr Duration HOP = milliseconds(3);          ///< Time of a message from one instance to another.
static constexpr Duration STORE_ANSWER = milliseconds(7); ///< Time of an answer of the store.

/** One instance. */
struct SharingSimulation::Instance {
	size_t number = 0;                        ///< Number.
	std::string name;                         ///< Name; its address is the same text.
	size_t hall = 0;                          ///< Data hall.
	uint64_t incarnation = 0;                 ///< Starts so far.
	bool alive = false;                       ///< It runs.
	bool store_reachable = true;              ///< The store answers it.
	TimePoint reachable_since;                ///< Since when it has run and reached the store.
	TimePoint started;                        ///< When it started.
	TimePoint readers_at;                     ///< When it last looked who reads for whom.
	TimePoint heartbeat_at;                   ///< When it last gave a sign of life.
	std::map<std::string, TimePoint> heard;   ///< Peers by the time at which they were last heard.
	std::map<std::string, LinkState> links;   ///< Links that it dialled.
	std::set<std::string> forwarders;         ///< Those of them that only news of tables go to.
	std::unique_ptr<TableStore> store;        ///< Store as it sees it.
	std::unique_ptr<TableWatch> watch;        ///< Follows the table.
	uint64_t content = 0;                     ///< What it knows; like a configuration, never an older one than before.
	StoreVersion read;                        ///< Version at which the row was written that it took in last.
	std::unique_ptr<TableSharing> sharing;    ///< Shares the reading.
	std::unique_ptr<PeerDirectory> directory; ///< Other instances.
};

/** The store as one instance sees it. */
class SharingSimulation::View : public TableStore {
public:
	View(SharingSimulation &world, Instance &instance) : world(world), instance(instance) {}

	uint64_t ReadRows(const std::string &, const std::string &, RowsDone done) override
	{
		uint64_t call = this->Begin(std::move(done));
		this->world.Schedule(STORE_ANSWER, [w = &this->world, call] { w->Answer(call, w->Snapshot()); });
		return call;
	}

	uint64_t ReadChanges(const std::string &, uint64_t since, Duration wait, RowsDone done) override
	{
		uint64_t call = this->Begin(std::move(done));
		bool at_once = wait == Duration(0) || since != this->world.state.version;
		if (!at_once) this->world.waiting_calls[call] = since;
		this->world.Schedule(STORE_ANSWER + (at_once ? Duration(0) : wait),
		                     [w = &this->world, call, since] { w->Answer(call, w->Changes(since)); });
		return call;
	}

	uint64_t WriteRow(const std::string &, const std::string &, const std::string &, WriteDone) override { return 0; }
	uint64_t RemoveRow(const std::string &, const std::string &, WriteDone) override { return 0; }

	void Cancel(uint64_t call) override
	{
		this->world.open_calls.erase(call);
		this->world.waiting_calls.erase(call);
	}

private:
	uint64_t Begin(RowsDone done)
	{
		uint64_t call = this->world.next_call++;
		this->world.calls++;
		this->world.caller[call] = &this->instance;
		this->world.open_calls[call] = std::move(done);
		return call;
	}

	SharingSimulation &world; ///< World.
	Instance &instance;       ///< Who sees it so.
};

SharingSimulation::SharingSimulation(SharingSimulationLayout layout) : layout(layout), limits(GatewayLimitsFor(NodeSettings{}))
{
	for (size_t i = 0; i < layout.halls * layout.per_hall; i++) {
		auto instance = std::make_unique<Instance>();
		instance->number = i;
		instance->hall = this->HallOf(i);
		instance->name = "i" + std::to_string(i);
		this->by_address[instance->name] = instance.get();
		this->instances.push_back(std::move(instance));
	}
	for (size_t i = 0; i < this->Size(); i++) this->Restart(i);
}

SharingSimulation::~SharingSimulation()
{
	// Instances cancel their calls as they go.
	this->instances.clear();
}

double SharingSimulation::LinkOf(size_t number) const
{
	static constexpr size_t FAST = 3; // Instances of each hall with faster links.
	return number % this->layout.per_hall < FAST ? 200 : 20;
}

size_t SharingSimulation::Size() const
{
	return this->instances.size();
}

void SharingSimulation::Schedule(Duration time, std::function<void()> action)
{
	this->events.insert({this->now + time, this->next_order++, std::move(action)});
}

void SharingSimulation::Kill(size_t number)
{
	Instance &instance = *this->instances[number];
	instance.alive = false;
	instance.incarnation++;
	instance.watch.reset();
	instance.links.clear();
	for (auto &other : this->instances) other->links.erase(instance.name);
}

void SharingSimulation::Restart(size_t number)
{
	if (this->instances[number]->alive) this->Kill(number);
	Instance &instance = *this->instances[number];
	std::string hall = "hall-" + std::to_string(instance.hall);
	instance.alive = true;
	instance.started = instance.reachable_since = this->now;
	instance.readers_at = instance.heartbeat_at = TimePoint{};
	instance.heard.clear();
	instance.store = std::make_unique<View>(*this, instance);
	instance.watch = std::make_unique<TableWatch>(*instance.store, "table", this->limits.watch, [this] { return this->now; });
	instance.sharing = std::make_unique<TableSharing>(instance.name, hall);
	instance.directory = std::make_unique<PeerDirectory>(instance.name, hall, this->limits.exchange.dial);
	for (const auto &other : this->instances) {
		PeerLocation place{other->name, "hall-" + std::to_string(other->hall), this->LinkOf(other->number)};
		instance.directory->Update(other->name, place);
	}
	instance.sharing->Share(*instance.watch);
	instance.content = 0;
	instance.read = StoreVersion{};
	instance.watch->on_snapshot = [this, &instance](const std::vector<StoredRow> &rows, TimePoint) { this->OnRows(instance, rows, true); };
	instance.watch->on_changes = [this, &instance](const std::vector<StoredRow> &rows, TimePoint) { this->OnRows(instance, rows, false); };
	instance.watch->on_publish = [this, &instance](const TableUpdate &news) {
		this->Send(instance, {instance.name, "hall-" + std::to_string(instance.hall), false, {news}}, {});
	};
	instance.watch->Start(this->now);
	// Ticks of different instances don't fall together.
	uint64_t incarnation = ++instance.incarnation;
	this->Schedule(TICK * static_cast<int>(number % 25) / 25, [this, &instance, incarnation] {
		if (instance.incarnation == incarnation) this->Tick(instance);
	});
}

bool SharingSimulation::IsLinked(const Instance &a, const Instance &b) const
{
	bool together = a.hall == b.hall || (!this->partitioned_halls.contains(a.hall) && !this->partitioned_halls.contains(b.hall));
	return a.alive && b.alive && together;
}

bool SharingSimulation::CanReachStore(const Instance &instance) const
{
	return !this->store_unavailable && instance.alive && instance.store_reachable && !this->cut_from_store.contains(instance.hall);
}

void SharingSimulation::OnRows(Instance &instance, const std::vector<StoredRow> &rows, bool all)
{
	for (const StoredRow &row : rows) {
		StoreVersion read{instance.watch->Version().epoch, row.version};
		if (!all && read < instance.read) this->reverts++;
		instance.read = read;
		instance.content = std::max<uint64_t>(instance.content, std::stoull(row.value));
	}
}

RowsAnswer SharingSimulation::Snapshot() const
{
	RowsPage page;
	page.version = this->state.version;
	page.rows.push_back({"row", std::to_string(this->state.content), this->state.written, false});
	return {page, StoreFailure::NoAnswer, "", this->epoch};
}

RowsAnswer SharingSimulation::Changes(uint64_t since) const
{
	if (since > this->state.version) return {std::nullopt, StoreFailure::HistoryUnavailable, "410", this->epoch};
	RowsAnswer answer = this->Snapshot();
	if (since >= this->state.written) answer.page->rows.clear();
	return answer;
}

void SharingSimulation::Answer(uint64_t call, RowsAnswer answer)
{
	auto found = this->open_calls.find(call);
	// A store that cannot be reached says nothing at all: the caller has to give the call up by itself.
	if (found == this->open_calls.end() || !this->CanReachStore(*this->caller[call])) return;
	TableStore::RowsDone done = std::move(found->second);
	this->open_calls.erase(found);
	this->waiting_calls.erase(call);
	done(std::move(answer));
}

void SharingSimulation::AnswerWaitingCalls()
{
	for (const auto &[call, since] : this->waiting_calls) {
		this->Schedule(STORE_ANSWER / 2, [this, call = call, since = since] { this->Answer(call, this->Changes(since)); });
	}
}

uint64_t SharingSimulation::Write()
{
	this->newest++;
	return this->RewriteLast();
}

uint64_t SharingSimulation::RewriteLast()
{
	this->state.version++;
	this->state.written = this->state.version;
	this->state.content = this->newest;
	this->AnswerWaitingCalls();
	return this->newest;
}

void SharingSimulation::RestoreBackup(std::optional<Duration> late)
{
	uint64_t number = 0;
	for (const auto &[call, since] : this->waiting_calls) {
		if (!late) break;
		Duration delay = *late * static_cast<int>(++number) / static_cast<int>(this->waiting_calls.size());
		this->Schedule(delay, [this, call = call, answer = this->Changes(since)] { this->Answer(call, answer); });
	}
	this->state = this->copy;
	this->epoch++;
	this->store_unavailable = false;
	for (auto &instance : this->instances) instance->reachable_since = this->now;
}

void SharingSimulation::Dial(Instance &instance)
{
	auto link_state_of = [&](const std::string &to) {
		auto found = instance.links.find(to);
		return found == instance.links.end() ? LinkState::None : found->second;
	};
	WantedLinks wanted = instance.directory->Wanted(link_state_of, instance.sharing->IsHallReader(), this->now);
	instance.forwarders = {wanted.forwarders.begin(), wanted.forwarders.end()};
	wanted.peers.insert(wanted.peers.end(), wanted.forwarders.begin(), wanted.forwarders.end());
	std::map<std::string, LinkState> kept;
	for (const std::string &to : wanted.peers) {
		bool open = instance.links.contains(to) && instance.links[to] == LinkState::Open;
		kept[to] = open || this->IsLinked(instance, this->Find(to)) ? LinkState::Open : LinkState::Dialling;
	}
	instance.links = kept;
}

void SharingSimulation::Send(Instance &instance, const TablesMessage &message, const std::set<std::string> &except)
{
	for (const auto &[to, state] : instance.links) {
		Instance &other = this->Find(to);
		if (state != LinkState::Open || except.contains(to) || !this->IsLinked(instance, other)) continue;
		this->Schedule(HOP, [this, &other, message, incarnation = other.incarnation] {
			if (other.incarnation == incarnation) this->Receive(other, message);
		});
	}
}

void SharingSimulation::Receive(Instance &instance, const TablesMessage &message)
{
	for (const TableUpdate &news : message.tables) instance.sharing->OnUpdate(message.instance, message.hall, news, this->now);
	if (!instance.sharing->ShouldForward(message.hall, message.forwarded)) return;
	TablesMessage forwarded = message;
	forwarded.forwarded = true;
	this->Send(instance, forwarded, instance.forwarders);
}

void SharingSimulation::Tick(Instance &instance)
{
	const ExchangeLimits &times = this->limits.exchange;
	instance.sharing->OnTick(this->now);
	Duration period = std::max<Duration>(times.heartbeat, times.heartbeat_per_peer * static_cast<int>(instance.heard.size()));
	std::erase_if(instance.heard, [&](const auto &peer) { return this->now - peer.second > period * times.missed_heartbeats; });
	if (this->now - instance.heartbeat_at >= period) {
		instance.heartbeat_at = this->now;
		for (const auto &[to, state] : instance.links) {
			Instance &other = this->Find(to);
			bool peer = state == LinkState::Open && !instance.forwarders.contains(to) && this->IsLinked(instance, other);
			if (peer) other.heard[instance.name] = this->now;
		}
	}
	if (this->now - instance.readers_at >= times.readers_refresh_interval) {
		instance.readers_at = this->now;
		std::vector<Reader> readers{{instance.name, this->LinkOf(instance.number)}};
		for (const auto &[peer, at] : instance.heard) readers.push_back({peer, instance.directory->Find(peer)->link_mbps});
		bool starting_up = this->now - instance.started < times.settle_time;
		instance.sharing->SetReaders(readers, instance.directory->IsHallOnly() ? instance.directory->Halls() : std::vector<std::string>{},
		                             starting_up);
		this->Dial(instance);
	}
	this->Schedule(TICK, [this, &instance, incarnation = instance.incarnation] {
		if (instance.incarnation == incarnation) this->Tick(instance);
	});
}

void SharingSimulation::Advance(Duration time)
{
	TimePoint end = this->now + time;
	while (!this->events.empty() && this->events.begin()->at <= end) {
		Event next = *this->events.begin();
		this->events.erase(this->events.begin());
		this->now = next.at;
		next.action();
	}
	this->now = end;
}

void SharingSimulation::Partition(size_t hall, bool from_store)
{
	this->partitioned_halls.insert(hall);
	if (from_store) this->cut_from_store.insert(hall);
}

void SharingSimulation::HealPartition(size_t hall)
{
	this->partitioned_halls.erase(hall);
	if (this->cut_from_store.erase(hall) == 0) return;
	for (auto &instance : this->instances) {
		if (instance->hall == hall) instance->reachable_since = this->now;
	}
}

void SharingSimulation::SetStoreReachable(size_t number, bool reachable)
{
	this->instances[number]->store_reachable = reachable;
	if (reachable) this->instances[number]->reachable_since = this->now;
}

size_t SharingSimulation::CountBehind(uint64_t wanted, TimePoint since) const
{
	auto behind = [&](const auto &instance) {
		return this->CanReachStore(*instance) && instance->reachable_since <= since && instance->content < wanted;
	};
	return static_cast<size_t>(std::count_if(this->instances.begin(), this->instances.end(), behind));
}

Duration SharingSimulation::MaxPropagationDelay() const
{
	return NodeSettings{}.platform_bounds.config_apply;
}

int SharingSimulation::OnlyReader() const
{
	int reader = -1;
	for (const auto &instance : this->instances) {
		if (!instance->alive || !instance->watch->ReadsFromStore(this->now)) continue;
		if (reader >= 0) return -1;
		reader = static_cast<int>(instance->number);
	}
	return reader;
}

} // namespace cottonspool
