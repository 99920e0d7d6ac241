/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file sharing_simulation.cpp Simulation of hundreds of instances that share a table. */

#include "tests/sharing_simulation.h"
#include "platform/node_settings.h"
#include <algorithm>

namespace cottonspool {

using std::chrono::milliseconds;

static constexpr Duration TICK = milliseconds(25);        ///< Interval of an instance's ticks, as in production.
static constexpr Duration HOP = milliseconds(3);          ///< Latency of a message between instances.
static constexpr Duration STORE_ANSWER = milliseconds(7); ///< Latency of the store.

/** A simulated instance. */
struct SharingSimulation::Instance {
	size_t number = 0;                           ///< Number.
	std::string name;                            ///< Name, which is its address too.
	size_t hall = 0;                             ///< Data hall.
	uint64_t incarnation = 0;                    ///< Incarnation: counts starts and crashes.
	bool alive = false;                          ///< It is running.
	bool store_reachable = true;                 ///< The store answers its calls.
	TimePoint reachable_since;                   ///< When it was last started, or its connection to the store restored.
	TimePoint started;                           ///< When it started.
	TimePoint readers_at;                        ///< When it last updated the reader order.
	TimePoint heartbeat_at;                      ///< When it last sent a heartbeat.
	std::map<std::string, TimePoint> last_heard; ///< Time of the last heartbeat by peer.
	std::map<std::string, LinkState> links;      ///< State of its outgoing links by peer.
	std::set<std::string> forwarders;            ///< Peers in other halls to which it sends table updates only.
	std::unique_ptr<TableStore> store;           ///< Its client of the store.
	std::unique_ptr<TableWatch> watch;           ///< Its view of the table.
	uint64_t content = 0;                        ///< Newest content that it has received.
	StoreVersion read;                           ///< Version of the row that it received last.
	std::unique_ptr<TableSharing> sharing;       ///< Under test.
	std::unique_ptr<PeerDirectory> directory;    ///< Other instances.
};

/** An instance's client of the simulated store. */
class SharingSimulation::StoreClient : public TableStore {
public:
	StoreClient(SharingSimulation &simulation, Instance &instance) : simulation(simulation), instance(instance) {}

	uint64_t ReadRows(const std::string &, const std::string &, RowsDone done) override
	{
		uint64_t call = this->Begin(std::move(done));
		this->simulation.Schedule(STORE_ANSWER, [w = &this->simulation, call] { w->Answer(call, w->Snapshot()); });
		return call;
	}

	uint64_t ReadChanges(const std::string &, uint64_t since, Duration wait, RowsDone done) override
	{
		uint64_t call = this->Begin(std::move(done));
		bool at_once = wait == Duration(0) || since != this->simulation.state.version;
		if (!at_once) this->simulation.waiting_calls[call] = since;
		this->simulation.Schedule(STORE_ANSWER + (at_once ? Duration(0) : wait),
		                          [w = &this->simulation, call, since] { w->Answer(call, w->Changes(since)); });
		return call;
	}

	uint64_t WriteRow(const std::string &, const std::string &, const std::string &, WriteDone) override { return 0; }
	uint64_t RemoveRow(const std::string &, const std::string &, WriteDone) override { return 0; }

	void Cancel(uint64_t call) override
	{
		this->simulation.open_calls.erase(call);
		this->simulation.waiting_calls.erase(call);
	}

private:
	uint64_t Begin(RowsDone done)
	{
		uint64_t call = this->simulation.next_call++;
		this->simulation.calls++;
		this->simulation.caller[call] = &this->instance;
		this->simulation.open_calls[call] = std::move(done);
		return call;
	}

	SharingSimulation &simulation; ///< Simulation.
	Instance &instance;            ///< Instance that makes the calls.
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
	// Instances cancel their calls on destruction, so that the maps of calls must still exist.
	this->instances.clear();
}

double SharingSimulation::LinkMbps(size_t number) const
{
	static constexpr size_t FAST = 3; // Number of instances with faster links, per hall.
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
	instance.last_heard.clear();
	instance.store = std::make_unique<StoreClient>(*this, instance);
	instance.watch = std::make_unique<TableWatch>(*instance.store, "table", this->limits.watch, [this] { return this->now; });
	instance.sharing = std::make_unique<TableSharing>(instance.name, hall);
	instance.directory = std::make_unique<PeerDirectory>(instance.name, hall, this->limits.exchange.dial);
	for (const auto &other : this->instances) {
		PeerLocation place{other->name, "hall-" + std::to_string(other->hall), this->LinkMbps(other->number)};
		instance.directory->Update(other->name, place);
	}
	instance.sharing->Share(*instance.watch);
	instance.content = 0;
	instance.read = StoreVersion{};
	instance.watch->on_snapshot = [this, &instance](const std::vector<StoredRow> &rows, TimePoint) { this->OnRows(instance, rows, true); };
	instance.watch->on_changes = [this, &instance](const std::vector<StoredRow> &rows, TimePoint) { this->OnRows(instance, rows, false); };
	instance.watch->on_publish = [this, &instance](const TableUpdate &update) {
		this->Send(instance, {instance.name, "hall-" + std::to_string(instance.hall), false, {update}}, {});
	};
	instance.watch->Start(this->now);
	// Spread the ticks of different instances.
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
	return !this->store_unavailable && instance.alive && instance.store_reachable && !this->halls_without_store.contains(instance.hall);
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
	// An unreachable store never answers; the caller has to time out.
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
	this->state = this->backup;
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
	for (const TableUpdate &update : message.tables) instance.sharing->OnUpdate(message.instance, message.hall, update, this->now);
	if (!instance.sharing->ShouldForward(message.hall, message.forwarded)) return;
	TablesMessage forwarded = message;
	forwarded.forwarded = true;
	this->Send(instance, forwarded, instance.forwarders);
}

void SharingSimulation::Tick(Instance &instance)
{
	const ExchangeLimits &times = this->limits.exchange;
	instance.sharing->OnTick(this->now);
	Duration period = std::max<Duration>(times.heartbeat, times.heartbeat_per_peer * static_cast<int>(instance.last_heard.size()));
	std::erase_if(instance.last_heard, [&](const auto &peer) { return this->now - peer.second > period * times.missed_heartbeats; });
	if (this->now - instance.heartbeat_at >= period) {
		instance.heartbeat_at = this->now;
		for (const auto &[to, state] : instance.links) {
			Instance &other = this->Find(to);
			bool peer = state == LinkState::Open && !instance.forwarders.contains(to) && this->IsLinked(instance, other);
			if (peer) other.last_heard[instance.name] = this->now;
		}
	}
	if (this->now - instance.readers_at >= times.readers_refresh_interval) {
		instance.readers_at = this->now;
		std::vector<Reader> readers{{instance.name, this->LinkMbps(instance.number)}};
		for (const auto &[peer, at] : instance.last_heard) readers.push_back({peer, instance.directory->Find(peer)->link_mbps});
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
	if (from_store) this->halls_without_store.insert(hall);
}

void SharingSimulation::HealPartition(size_t hall)
{
	this->partitioned_halls.erase(hall);
	if (this->halls_without_store.erase(hall) == 0) return;
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
