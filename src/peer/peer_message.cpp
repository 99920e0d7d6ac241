/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_message.cpp Messages between instances in CBOR: arrays whose first item is the kind. */

#include "peer/peer_message.h"
#include "decision/target_speed.h"
#include "peer/compressed_message.h"
#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace cottonspool {

using Json = nlohmann::json;

static constexpr int HEARTBEAT = 1;
static constexpr int ENTRIES = 2;
static constexpr int FETCH = 3;
static constexpr int SNAPSHOT = 4;
static constexpr int LOAD = 5;
static constexpr int TABLES = 6;
static constexpr int PRESENCE = 7;
static constexpr int HALL_LOAD = 8;
static constexpr int SIGNALS = 9;
static constexpr int LEASE_REQUEST = 10;
static constexpr int LEASE_GRANT = 11;
static constexpr int TABLES_REQUEST = 12;

/** @return The integer in \a item; throws if it is none or out of range, as its conversion would be undefined. */
template <typename Number> static Number ReadInteger(const Json &item)
{
	if (!item.is_number_integer()) throw std::out_of_range("not an integer");
	bool fits = item.is_number_unsigned() ? std::in_range<Number>(item.get<uint64_t>()) : std::in_range<Number>(item.get<int64_t>());
	if (!fits) throw std::out_of_range("integer out of range");
	return item.get<Number>();
}

/** @return \a member as an array. */
static Json WriteMember(const MemberInfo &member)
{
	return Json::array({member.name, member.hall, member.address, member.incarnation, member.counter, member.sequence, member.stopping});
}

/** @return The member in \a item; throws if it is malformed. */
static MemberInfo ReadMember(const Json &item)
{
	MemberInfo member;
	member.name = item.at(0).get<std::string>();
	member.hall = item.at(1).get<std::string>();
	member.address = item.at(2).get<std::string>();
	member.incarnation = ReadInteger<uint64_t>(item.at(3));
	member.counter = ReadInteger<uint64_t>(item.at(4));
	member.sequence = ReadInteger<uint64_t>(item.at(5));
	member.stopping = item.at(6).get<bool>();
	return member;
}

/** @return \a message as an array. */
static Json Write(const HeartbeatMessage &message)
{
	Json members = Json::array();
	Json draining = Json::array();
	for (const MemberInfo &member : message.members) members.push_back(WriteMember(member));
	for (const DrainingTarget &target : message.draining) draining.push_back(Json::array({target.target, target.incarnation}));
	Json echoes = Json::array();
	for (const auto &[name, counter] : message.echoes) echoes.push_back(Json::array({name, counter}));
	return Json::array({HEARTBEAT, members, draining, message.confirmed_age.count(), echoes});
}

static Json Write(const EntriesMessage &message)
{
	return Json::array({ENTRIES, message.entries});
}

static Json Write(const FetchMessage &message)
{
	return Json::array({FETCH, message.after});
}

static Json Write(const SnapshotMessage &message)
{
	return Json::array({SNAPSHOT, message.snapshot});
}

/** @return The time until a shutdown as it is published: in milliseconds, at most a day. */
static uint32_t EncodeShutdown(Duration shutdown_in)
{
	Duration valid = std::clamp<Duration>(shutdown_in, Duration(0), std::chrono::hours(24));
	return static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(valid).count());
}

static Json Write(const LoadMessage &message)
{
	Json calls = Json::array();
	for (const CallUpdate &update : message.calls) {
		calls.push_back(Json::array({static_cast<int>(update.kind), update.call, update.target, update.prompt_tokens, update.generated,
		                             update.max_tokens, update.pool, static_cast<int>(update.service_class)}));
		// Decoders of older releases ignore additional elements.
		if (update.account) calls.back().push_back(*update.account);
	}
	Json reports = Json::array();
	for (const ReportUpdate &update : message.reports) {
		Json report = Json::array({update.target, update.report.capacity_tokens, update.report.used_tokens, update.report.running,
		                           update.report.waiting, update.report.waiting_tokens, update.report.draining});
		if (update.report.shutdown_in) report.push_back(EncodeShutdown(*update.report.shutdown_in));
		reports.push_back(std::move(report));
	}
	return Json::array({LOAD, message.instance, message.incarnation, message.full, calls, reports});
}

static Json Write(const TablesMessage &message)
{
	Json tables = Json::array();
	for (const TableUpdate &update : message.tables) {
		Json rows = Json::array();
		for (const StoredRow &row : update.rows)
			rows.push_back(Json::array({row.key, Json::binary({row.value.begin(), row.value.end()}), row.version, row.deleted}));
		tables.push_back(Json::array({update.table, update.from.number, update.to.number, update.full, update.healthy, rows,
		                              update.from.epoch, update.to.epoch, update.read.number}));
	}
	Json shards = Json::array();
	for (const PoolShards &each : message.shards) shards.push_back(Json::array({each.pool, each.hall, each.shards}));
	return Json::array({TABLES, message.instance, message.hall, message.forwarded, tables, shards});
}

static Json Write(const TablesRequestMessage &message)
{
	return Json::array({TABLES_REQUEST, message.instance, message.tables});
}

static Json Write(const PresenceMessage &message)
{
	return Json::array({PRESENCE, message.instance, message.location.address, message.location.hall, message.location.link_mbps,
	                    message.instances, message.cells.cells, message.cells.decided_at.epoch, message.cells.decided_at.number,
	                    message.location.forward_port});
}

/** @return \a sums as one flat array of names and numbers, four items each. */
static Json WriteSums(const std::vector<TargetLoadSum> &sums)
{
	Json flat = Json::array();
	for (const TargetLoadSum &sum : sums) {
		flat.push_back(sum.target);
		flat.push_back(sum.held_tokens);
		flat.push_back(sum.calls);
		flat.push_back(sum.wait_ms);
	}
	return flat;
}

static Json Write(const HallLoadMessage &message)
{
	Json array =
	        Json::array({HALL_LOAD, message.hall, message.forwarded, WriteSums(message.local_targets), WriteSums(message.remote_targets)});
	if (message.accounts.empty()) return array;
	// Decoders of older releases ignore additional elements.
	Json accounts = Json::array();
	for (const AccountLoadSum &sum : message.accounts) {
		accounts.push_back(sum.pool);
		accounts.push_back(sum.account);
		accounts.push_back(sum.tokens);
	}
	array.push_back(std::move(accounts));
	return array;
}

static Json Write(const SignalsMessage &message)
{
	Json signals = Json::array();
	for (const TargetSignalUpdate &each : message.signals) {
		bool limit_readable = each.limit != SignalState::Unreadable;
		Json item = Json::array({each.target, each.draining, limit_readable,
		                         each.limit == SignalState::Present ? Json(each.limit_per_s) : Json(nullptr), each.request_age.count()});
		// Instances of older releases ignore this element.
		if (each.time_factor) item.push_back(Json::array({*each.time_factor, each.factor_age.count()}));
		signals.push_back(std::move(item));
	}
	return Json::array({SIGNALS, message.instance, message.hall, message.forwarded, signals});
}

static Json Write(const LeaseRequestMessage &message)
{
	return Json::array({LEASE_REQUEST, message.instance, message.target, message.number, message.wanted});
}

static Json Write(const LeaseGrantMessage &message)
{
	return Json::array({LEASE_GRANT, message.instance, message.target, message.number, message.granted});
}

/** @return The age in \a item, in microseconds; throws if it is malformed. */
static Duration ReadAge(const Json &item)
{
	auto age = Duration(ReadInteger<int64_t>(item));
	if (age < Duration(0) || age > std::chrono::hours(1)) throw std::out_of_range("age out of range");
	return age;
}

/** @return The signal in \a item; throws if it is malformed. */
static TargetSignalUpdate ReadSignalUpdate(const Json &item)
{
	TargetSignalUpdate update;
	update.target = item.at(0).get<std::string>();
	update.draining = item.at(1).get<bool>();
	bool limit_readable = item.at(2).get<bool>();
	const Json &limit = item.at(3);
	if (limit_readable) update.limit = limit.is_null() ? SignalState::Absent : SignalState::Present;
	if (update.limit == SignalState::Present) update.limit_per_s = limit.get<double>();
	if (!(update.limit_per_s >= 0 && update.limit_per_s < std::numeric_limits<double>::infinity()))
		throw std::out_of_range("rate limit out of range");
	update.request_age = ReadAge(item.at(4));
	// Instances of older releases send no speeds.
	if (item.size() <= 5) return update;
	update.time_factor = item.at(5).at(0).get<double>();
	if (!IsTimeFactor(*update.time_factor)) throw std::out_of_range("time factor out of range");
	update.factor_age = ReadAge(item.at(5).at(1));
	return update;
}

/** @return The sums in \a flat; throws if they are malformed. */
static std::vector<TargetLoadSum> ReadSums(const Json &flat)
{
	std::vector<TargetLoadSum> sums;
	for (size_t i = 0; i < flat.size(); i += 4) {
		sums.push_back({flat.at(i).get<std::string>(), ReadInteger<uint32_t>(flat.at(i + 1)), ReadInteger<uint32_t>(flat.at(i + 2)),
		                ReadInteger<uint32_t>(flat.at(i + 3))});
	}
	return sums;
}

/** @return The usage of accounts in \a flat; throws if it is malformed. */
static std::vector<AccountLoadSum> ReadAccountSums(const Json &flat)
{
	std::vector<AccountLoadSum> sums;
	for (size_t i = 0; i < flat.size(); i += 3)
		sums.push_back({flat.at(i).get<std::string>(), flat.at(i + 1).get<std::string>(), ReadInteger<int64_t>(flat.at(i + 2))});
	return sums;
}

/** @return The update of a table in \a item; throws if it is malformed. */
static TableUpdate ReadTableUpdate(const Json &item)
{
	TableUpdate update;
	update.table = item.at(0).get<std::string>();
	// Instances of older releases send no epochs.
	bool has_epochs = item.size() > 6;
	update.from = {has_epochs ? ReadInteger<uint64_t>(item.at(6)) : 0, ReadInteger<uint64_t>(item.at(1))};
	update.to = {has_epochs ? ReadInteger<uint64_t>(item.at(7)) : 0, ReadInteger<uint64_t>(item.at(2))};
	update.read = {update.to.epoch, item.size() > 8 ? ReadInteger<uint64_t>(item.at(8)) : update.to.number};
	update.full = item.at(3).get<bool>();
	update.healthy = item.at(4).get<bool>();
	for (const Json &row : item.at(5)) {
		const Json::binary_t &value = row.at(1).get_binary();
		update.rows.push_back({row.at(0).get<std::string>(), std::string(value.begin(), value.end()), ReadInteger<uint64_t>(row.at(2)),
		                       row.at(3).get<bool>()});
	}
	return update;
}

/** @return The update of a call in \a item; throws if it is malformed. */
static CallUpdate ReadCallUpdate(const Json &item)
{
	CallUpdate update;
	update.kind = static_cast<CallUpdate::Kind>(ReadInteger<int>(item.at(0)));
	update.call = ReadInteger<uint64_t>(item.at(1));
	update.target = item.at(2).get<std::string>();
	update.prompt_tokens = ReadInteger<uint32_t>(item.at(3));
	update.generated = ReadInteger<uint32_t>(item.at(4));
	update.max_tokens = ReadInteger<uint32_t>(item.at(5));
	update.pool = item.at(6).get<std::string>();
	int service_class = ReadInteger<int>(item.at(7));
	if (service_class < 0 || service_class >= static_cast<int>(SERVICE_CLASS_COUNT)) throw std::out_of_range("unknown service class");
	update.service_class = static_cast<ServiceClass>(service_class);
	// Instances of older releases don't state the account.
	if (item.size() > 8) update.account = item.at(8).get<std::string>();
	return update;
}

/** @return The report in \a item; throws if it is malformed. */
static ReportUpdate ReadReportUpdate(const Json &item)
{
	ReportUpdate update;
	update.target = item.at(0).get<std::string>();
	update.report.capacity_tokens = ReadInteger<uint64_t>(item.at(1));
	update.report.used_tokens = ReadInteger<uint64_t>(item.at(2));
	update.report.running = ReadInteger<uint32_t>(item.at(3));
	update.report.waiting = ReadInteger<uint32_t>(item.at(4));
	update.report.waiting_tokens = ReadInteger<uint64_t>(item.at(5));
	update.report.draining = item.at(6).get<bool>();
	// Instances of older releases don't publish the time of the shutdown.
	if (item.size() > 7) update.report.shutdown_in = std::chrono::milliseconds(ReadInteger<uint32_t>(item.at(7)));
	return update;
}

std::string EncodePeerMessage(const PeerMessage &message)
{
	std::vector<uint8_t> bytes = Json::to_cbor(std::visit([](const auto &kind) { return Write(kind); }, message));
	return CompressMessage(std::string(bytes.begin(), bytes.end()));
}

/** @return The message in \a array; throws if it is malformed. */
static PeerMessage Read(const Json &array)
{
	switch (ReadInteger<int>(array.at(0))) {
	case HEARTBEAT: {
		HeartbeatMessage message;
		for (const Json &item : array.at(1)) message.members.push_back(ReadMember(item));
		for (const Json &item : array.at(2)) message.draining.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>()});
		message.confirmed_age = Duration(ReadInteger<int64_t>(array.at(3)));
		for (const Json &item : array.at(4)) message.echoes.emplace_back(item.at(0).get<std::string>(), ReadInteger<uint64_t>(item.at(1)));
		return message;
	}
	case ENTRIES:
		return EntriesMessage{array.at(1).get<std::vector<std::string>>()};
	case FETCH:
		return FetchMessage{ReadInteger<uint64_t>(array.at(1))};
	case SNAPSHOT:
		return SnapshotMessage{array.at(1).get<std::string>()};
	case LOAD: {
		LoadMessage message;
		message.instance = array.at(1).get<std::string>();
		message.incarnation = ReadInteger<uint64_t>(array.at(2));
		message.full = array.at(3).get<bool>();
		for (const Json &item : array.at(4)) message.calls.push_back(ReadCallUpdate(item));
		for (const Json &item : array.at(5)) message.reports.push_back(ReadReportUpdate(item));
		return message;
	}
	case TABLES: {
		TablesMessage message;
		message.instance = array.at(1).get<std::string>();
		message.hall = array.at(2).get<std::string>();
		message.forwarded = array.at(3).get<bool>();
		for (const Json &item : array.at(4)) message.tables.push_back(ReadTableUpdate(item));
		// Instances of older releases don't divide targets.
		if (array.size() <= 5) return message;
		for (const Json &item : array.at(5))
			message.shards.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>(), ReadInteger<uint32_t>(item.at(2))});
		return message;
	}
	case PRESENCE: {
		PeerLocation location{array.at(2).get<std::string>(), array.at(3).get<std::string>(), array.at(4).get<double>()};
		// Instances of older releases accept no requests from others.
		if (array.size() > 9) location.forward_port = ReadInteger<uint16_t>(array.at(9));
		PresenceMessage message{array.at(1).get<std::string>(), std::move(location), ReadInteger<uint32_t>(array.at(5)), {}};
		// Instances of older releases don't know cells.
		if (array.size() > 8)
			message.cells = {ReadInteger<uint32_t>(array.at(6)), {ReadInteger<uint64_t>(array.at(7)), ReadInteger<uint64_t>(array.at(8))}};
		return message;
	}
	case HALL_LOAD: {
		HallLoadMessage message{array.at(1).get<std::string>(), array.at(2).get<bool>(), ReadSums(array.at(3)), ReadSums(array.at(4)), {}};
		// Instances of older releases don't send the usage of accounts.
		if (array.size() > 5) message.accounts = ReadAccountSums(array.at(5));
		return message;
	}
	case SIGNALS: {
		SignalsMessage message{array.at(1).get<std::string>(), array.at(2).get<std::string>(), array.at(3).get<bool>(), {}};
		for (const Json &item : array.at(4)) message.signals.push_back(ReadSignalUpdate(item));
		return message;
	}
	case LEASE_REQUEST:
		return LeaseRequestMessage{array.at(1).get<std::string>(), array.at(2).get<std::string>(), ReadInteger<uint64_t>(array.at(3)),
		                           ReadInteger<uint32_t>(array.at(4))};
	case LEASE_GRANT:
		return LeaseGrantMessage{array.at(1).get<std::string>(), array.at(2).get<std::string>(), ReadInteger<uint64_t>(array.at(3)),
		                         ReadInteger<uint32_t>(array.at(4))};
	case TABLES_REQUEST:
		return TablesRequestMessage{array.at(1).get<std::string>(), array.at(2).get<std::vector<std::string>>()};
	default:
		throw std::out_of_range("unknown message kind");
	}
}

Result<PeerMessage> DecodePeerMessage(const std::string &bytes)
{
	if (IsCompressed(bytes)) {
		BOOST_OUTCOME_TRY(message, DecompressMessage(bytes));
		if (IsCompressed(message)) return Error{Step::Peer, "message", "nested compression"};
		return DecodePeerMessage(message);
	}
	try {
		return Read(Json::from_cbor(bytes));
	} catch (const std::exception &error) {
		return Error{Step::Peer, "message", error.what()};
	}
}

} // namespace cottonspool
