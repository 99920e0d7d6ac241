/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_message.cpp Messages between instances in CBOR: arrays whose first item tells the kind. */

#include "peer/peer_message.h"
#include "peer/compressed_message.h"
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

/** @return The whole number in \a item; throws where there is none or it is out of range: converting another number would be undefined. */
template <typename Number> static Number ReadInteger(const Json &item)
{
	if (!item.is_number_integer()) throw std::out_of_range("no whole number");
	bool fits = item.is_number_unsigned() ? std::in_range<Number>(item.get<uint64_t>()) : std::in_range<Number>(item.get<int64_t>());
	if (!fits) throw std::out_of_range("a number out of range");
	return item.get<Number>();
}

/** @return \a member as an array. */
static Json WriteMember(const MemberInfo &member)
{
	return Json::array({member.name, member.hall, member.address, member.incarnation, member.counter, member.sequence, member.stopping});
}

/** @return The member in \a item; throws what the library throws when it is none. */
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

static Json Write(const LoadMessage &message)
{
	Json calls = Json::array();
	for (const CallUpdate &news : message.calls) {
		calls.push_back(Json::array({static_cast<int>(news.kind), news.call, news.target, news.prompt_tokens, news.generated,
		                             news.max_tokens, news.pool, static_cast<int>(news.service_class)}));
	}
	Json reports = Json::array();
	for (const ReportUpdate &news : message.reports) {
		reports.push_back(Json::array({news.target, news.report.capacity_tokens, news.report.used_tokens, news.report.running,
		                               news.report.waiting, news.report.waiting_tokens, news.report.draining}));
	}
	return Json::array({LOAD, message.instance, message.incarnation, message.full, calls, reports});
}

static Json Write(const TablesMessage &message)
{
	Json tables = Json::array();
	for (const TableUpdate &news : message.tables) {
		Json rows = Json::array();
		for (const StoredRow &row : news.rows)
			rows.push_back(Json::array({row.key, Json::binary({row.value.begin(), row.value.end()}), row.version, row.deleted}));
		tables.push_back(Json::array({news.table, news.from.number, news.to.number, news.full, news.healthy, rows, news.from.epoch,
		                              news.to.epoch, news.read.number}));
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
	                    message.instances, message.cells.cells, message.cells.decided_at.epoch, message.cells.decided_at.number});
}

/** @return \a sums as one flat array: their names and numbers in turn. */
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
	return Json::array({HALL_LOAD, message.hall, message.forwarded, WriteSums(message.local_targets), WriteSums(message.remote_targets)});
}

static Json Write(const SignalsMessage &message)
{
	Json news = Json::array();
	for (const TargetSignalUpdate &each : message.news) {
		bool told = each.limit != SignalState::Unreadable;
		news.push_back(
		        Json::array({each.target, each.draining, told, each.limit == SignalState::Present ? Json(each.limit_per_s) : Json(nullptr),
		                     each.request_age.count()}));
	}
	return Json::array({SIGNALS, message.instance, message.hall, message.forwarded, news});
}

static Json Write(const LeaseRequestMessage &message)
{
	return Json::array({LEASE_REQUEST, message.instance, message.target, message.number, message.wanted});
}

static Json Write(const LeaseGrantMessage &message)
{
	return Json::array({LEASE_GRANT, message.instance, message.target, message.number, message.granted});
}

/** @return What a target has said of itself in \a item; throws what the library throws when it is none. */
static TargetSignalUpdate ReadSignalUpdate(const Json &item)
{
	TargetSignalUpdate news;
	news.target = item.at(0).get<std::string>();
	news.draining = item.at(1).get<bool>();
	bool told = item.at(2).get<bool>();
	const Json &limit = item.at(3);
	if (told) news.limit = limit.is_null() ? SignalState::Absent : SignalState::Present;
	if (news.limit == SignalState::Present) news.limit_per_s = limit.get<double>();
	if (!(news.limit_per_s >= 0 && news.limit_per_s < std::numeric_limits<double>::infinity())) throw std::out_of_range("no limit");
	news.request_age = Duration(ReadInteger<int64_t>(item.at(4)));
	if (news.request_age < Duration(0) || news.request_age > std::chrono::hours(1)) throw std::out_of_range("no age");
	return news;
}

/** @return The sums in \a flat; throws what the library throws when it is none. */
static std::vector<TargetLoadSum> ReadSums(const Json &flat)
{
	std::vector<TargetLoadSum> sums;
	for (size_t i = 0; i < flat.size(); i += 4) {
		sums.push_back({flat.at(i).get<std::string>(), ReadInteger<uint32_t>(flat.at(i + 1)), ReadInteger<uint32_t>(flat.at(i + 2)),
		                ReadInteger<uint32_t>(flat.at(i + 3))});
	}
	return sums;
}

/** @return The news of a table in \a item; throws what the library throws when it is none. */
static TableUpdate ReadTableUpdate(const Json &item)
{
	TableUpdate news;
	news.table = item.at(0).get<std::string>();
	// An instance of an older release tells no eras.
	bool with_eras = item.size() > 6;
	news.from = {with_eras ? ReadInteger<uint64_t>(item.at(6)) : 0, ReadInteger<uint64_t>(item.at(1))};
	news.to = {with_eras ? ReadInteger<uint64_t>(item.at(7)) : 0, ReadInteger<uint64_t>(item.at(2))};
	news.read = {news.to.epoch, item.size() > 8 ? ReadInteger<uint64_t>(item.at(8)) : news.to.number};
	news.full = item.at(3).get<bool>();
	news.healthy = item.at(4).get<bool>();
	for (const Json &row : item.at(5)) {
		const Json::binary_t &value = row.at(1).get_binary();
		news.rows.push_back({row.at(0).get<std::string>(), std::string(value.begin(), value.end()), ReadInteger<uint64_t>(row.at(2)),
		                     row.at(3).get<bool>()});
	}
	return news;
}

/** @return The news of a call in \a item; throws what the library throws when it is none. */
static CallUpdate ReadCallUpdate(const Json &item)
{
	CallUpdate news;
	news.kind = static_cast<CallUpdate::Kind>(ReadInteger<int>(item.at(0)));
	news.call = ReadInteger<uint64_t>(item.at(1));
	news.target = item.at(2).get<std::string>();
	news.prompt_tokens = ReadInteger<uint32_t>(item.at(3));
	news.generated = ReadInteger<uint32_t>(item.at(4));
	news.max_tokens = ReadInteger<uint32_t>(item.at(5));
	news.pool = item.at(6).get<std::string>();
	int service_class = ReadInteger<int>(item.at(7));
	if (service_class < 0 || service_class >= static_cast<int>(SERVICE_CLASS_COUNT)) throw std::out_of_range("unknown class");
	news.service_class = static_cast<ServiceClass>(service_class);
	return news;
}

/** @return The report in \a item; throws what the library throws when it is none. */
static ReportUpdate ReadReportUpdate(const Json &item)
{
	ReportUpdate news;
	news.target = item.at(0).get<std::string>();
	news.report.capacity_tokens = ReadInteger<uint64_t>(item.at(1));
	news.report.used_tokens = ReadInteger<uint64_t>(item.at(2));
	news.report.running = ReadInteger<uint32_t>(item.at(3));
	news.report.waiting = ReadInteger<uint32_t>(item.at(4));
	news.report.waiting_tokens = ReadInteger<uint64_t>(item.at(5));
	news.report.draining = item.at(6).get<bool>();
	return news;
}

std::string EncodePeerMessage(const PeerMessage &message)
{
	std::vector<uint8_t> bytes = Json::to_cbor(std::visit([](const auto &kind) { return Write(kind); }, message));
	return CompressMessage(std::string(bytes.begin(), bytes.end()));
}

/** @return The message in \a array; throws what the library throws when it is none. */
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
		// An instance of an older release divides nothing.
		if (array.size() <= 5) return message;
		for (const Json &item : array.at(5))
			message.shards.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>(), ReadInteger<uint32_t>(item.at(2))});
		return message;
	}
	case PRESENCE: {
		PeerLocation location{array.at(2).get<std::string>(), array.at(3).get<std::string>(), array.at(4).get<double>()};
		PresenceMessage message{array.at(1).get<std::string>(), std::move(location), ReadInteger<uint32_t>(array.at(5)), {}};
		// An instance of an older release knows no cells.
		if (array.size() > 8)
			message.cells = {ReadInteger<uint32_t>(array.at(6)), {ReadInteger<uint64_t>(array.at(7)), ReadInteger<uint64_t>(array.at(8))}};
		return message;
	}
	case HALL_LOAD:
		return HallLoadMessage{array.at(1).get<std::string>(), array.at(2).get<bool>(), ReadSums(array.at(3)), ReadSums(array.at(4))};
	case SIGNALS: {
		SignalsMessage message{array.at(1).get<std::string>(), array.at(2).get<std::string>(), array.at(3).get<bool>(), {}};
		for (const Json &item : array.at(4)) message.news.push_back(ReadSignalUpdate(item));
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
		throw std::out_of_range("unknown kind");
	}
}

Result<PeerMessage> DecodePeerMessage(const std::string &bytes)
{
	if (IsCompressed(bytes)) {
		BOOST_OUTCOME_TRY(message, DecompressMessage(bytes));
		if (IsCompressed(message)) return Error{Step::Peer, "message", "compressed twice"};
		return DecodePeerMessage(message);
	}
	try {
		return Read(Json::from_cbor(bytes));
	} catch (const std::exception &error) {
		return Error{Step::Peer, "message", error.what()};
	}
}

} // namespace cottonspool
