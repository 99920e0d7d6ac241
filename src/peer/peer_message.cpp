/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_message.cpp Messages between instances in CBOR: arrays whose first item is the kind. */

#include "peer/peer_message.h"
#include "peer/packed_message.h"
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
static constexpr int SIGNS = 9;
static constexpr int LEASE_ASK = 10;
static constexpr int LEASE_GRANT = 11;
static constexpr int TABLES_ASK = 12;

/** @return The integer in \a item; throws if it is none or out of range, as its conversion would be undefined. */
template <typename Number> static Number Whole(const Json &item)
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
	member.incarnation = Whole<uint64_t>(item.at(3));
	member.counter = Whole<uint64_t>(item.at(4));
	member.sequence = Whole<uint64_t>(item.at(5));
	member.stopping = item.at(6).get<bool>();
	return member;
}

/** @return \a message as an array. */
static Json Write(const HeartbeatMessage &message)
{
	Json members = Json::array();
	Json leaving = Json::array();
	for (const MemberInfo &member : message.members) members.push_back(WriteMember(member));
	for (const LeavingTarget &target : message.leaving) leaving.push_back(Json::array({target.target, target.incarnation}));
	Json echoes = Json::array();
	for (const auto &[name, counter] : message.echoes) echoes.push_back(Json::array({name, counter}));
	return Json::array({HEARTBEAT, members, leaving, message.confirmed_age.count(), echoes});
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
	for (const CallNews &news : message.calls) {
		calls.push_back(Json::array({static_cast<int>(news.kind), news.call, news.target, news.prompt_tokens, news.generated,
		                             news.max_tokens, news.pool, static_cast<int>(news.service_class)}));
	}
	Json reports = Json::array();
	for (const ReportNews &news : message.reports) {
		reports.push_back(Json::array({news.target, news.report.capacity_tokens, news.report.used_tokens, news.report.running,
		                               news.report.waiting, news.report.waiting_tokens, news.report.leaving}));
	}
	return Json::array({LOAD, message.instance, message.incarnation, message.whole, calls, reports});
}

static Json Write(const TablesMessage &message)
{
	Json tables = Json::array();
	for (const TableNews &news : message.tables) {
		Json rows = Json::array();
		for (const StoredRow &row : news.rows)
			rows.push_back(Json::array({row.key, Json::binary({row.value.begin(), row.value.end()}), row.version, row.deleted}));
		tables.push_back(Json::array({news.table, news.from.number, news.to.number, news.whole, news.healthy, rows, news.from.era,
		                              news.to.era, news.read.number}));
	}
	Json parts = Json::array();
	for (const PoolParts &each : message.parts) parts.push_back(Json::array({each.pool, each.hall, each.parts}));
	return Json::array({TABLES, message.instance, message.hall, message.relayed, tables, parts});
}

static Json Write(const TablesAskMessage &message)
{
	return Json::array({TABLES_ASK, message.instance, message.tables});
}

static Json Write(const PresenceMessage &message)
{
	return Json::array({PRESENCE, message.instance, message.place.address, message.place.hall, message.place.link_mbps, message.instances,
	                    message.cells.cells, message.cells.decided.era, message.cells.decided.number});
}

/** @return \a sums as one flat array of names and numbers, four items each. */
static Json WriteSums(const std::vector<TargetSum> &sums)
{
	Json flat = Json::array();
	for (const TargetSum &sum : sums) {
		flat.push_back(sum.target);
		flat.push_back(sum.held_tokens);
		flat.push_back(sum.calls);
		flat.push_back(sum.wait_ms);
	}
	return flat;
}

static Json Write(const HallLoadMessage &message)
{
	return Json::array({HALL_LOAD, message.hall, message.relayed, WriteSums(message.at_home), WriteSums(message.abroad)});
}

static Json Write(const SignsMessage &message)
{
	Json news = Json::array();
	for (const SignNews &each : message.news) {
		bool told = each.limit != SignState::Unreadable;
		news.push_back(Json::array({each.target, each.leaving, told, each.limit == SignState::Said ? Json(each.limit_per_s) : Json(nullptr),
		                            each.asked_ago.count()}));
	}
	return Json::array({SIGNS, message.instance, message.hall, message.relayed, news});
}

static Json Write(const LeaseAskMessage &message)
{
	return Json::array({LEASE_ASK, message.instance, message.target, message.number, message.wanted});
}

static Json Write(const LeaseGrantMessage &message)
{
	return Json::array({LEASE_GRANT, message.instance, message.target, message.number, message.granted});
}

/** @return The signal in \a item; throws if it is malformed. */
static SignNews ReadSignNews(const Json &item)
{
	SignNews news;
	news.target = item.at(0).get<std::string>();
	news.leaving = item.at(1).get<bool>();
	bool told = item.at(2).get<bool>();
	const Json &limit = item.at(3);
	if (told) news.limit = limit.is_null() ? SignState::Absent : SignState::Said;
	if (news.limit == SignState::Said) news.limit_per_s = limit.get<double>();
	if (!(news.limit_per_s >= 0 && news.limit_per_s < std::numeric_limits<double>::infinity()))
		throw std::out_of_range("rate limit out of range");
	news.asked_ago = Duration(Whole<int64_t>(item.at(4)));
	if (news.asked_ago < Duration(0) || news.asked_ago > std::chrono::hours(1)) throw std::out_of_range("age out of range");
	return news;
}

/** @return The sums in \a flat; throws if they are malformed. */
static std::vector<TargetSum> ReadSums(const Json &flat)
{
	std::vector<TargetSum> sums;
	for (size_t i = 0; i < flat.size(); i += 4) {
		sums.push_back({flat.at(i).get<std::string>(), Whole<uint32_t>(flat.at(i + 1)), Whole<uint32_t>(flat.at(i + 2)),
		                Whole<uint32_t>(flat.at(i + 3))});
	}
	return sums;
}

/** @return The update of a table in \a item; throws if it is malformed. */
static TableNews ReadTableNews(const Json &item)
{
	TableNews news;
	news.table = item.at(0).get<std::string>();
	// Instances of older releases send no epochs.
	bool with_eras = item.size() > 6;
	news.from = {with_eras ? Whole<uint64_t>(item.at(6)) : 0, Whole<uint64_t>(item.at(1))};
	news.to = {with_eras ? Whole<uint64_t>(item.at(7)) : 0, Whole<uint64_t>(item.at(2))};
	news.read = {news.to.era, item.size() > 8 ? Whole<uint64_t>(item.at(8)) : news.to.number};
	news.whole = item.at(3).get<bool>();
	news.healthy = item.at(4).get<bool>();
	for (const Json &row : item.at(5)) {
		const Json::binary_t &value = row.at(1).get_binary();
		news.rows.push_back(
		        {row.at(0).get<std::string>(), std::string(value.begin(), value.end()), Whole<uint64_t>(row.at(2)), row.at(3).get<bool>()});
	}
	return news;
}

/** @return The update of a call in \a item; throws if it is malformed. */
static CallNews ReadCallNews(const Json &item)
{
	CallNews news;
	news.kind = static_cast<CallNews::Kind>(Whole<int>(item.at(0)));
	news.call = Whole<uint64_t>(item.at(1));
	news.target = item.at(2).get<std::string>();
	news.prompt_tokens = Whole<uint32_t>(item.at(3));
	news.generated = Whole<uint32_t>(item.at(4));
	news.max_tokens = Whole<uint32_t>(item.at(5));
	news.pool = item.at(6).get<std::string>();
	int service_class = Whole<int>(item.at(7));
	if (service_class < 0 || service_class >= static_cast<int>(SERVICE_CLASS_COUNT)) throw std::out_of_range("unknown service class");
	news.service_class = static_cast<ServiceClass>(service_class);
	return news;
}

/** @return The report in \a item; throws if it is malformed. */
static ReportNews ReadReportNews(const Json &item)
{
	ReportNews news;
	news.target = item.at(0).get<std::string>();
	news.report.capacity_tokens = Whole<uint64_t>(item.at(1));
	news.report.used_tokens = Whole<uint64_t>(item.at(2));
	news.report.running = Whole<uint32_t>(item.at(3));
	news.report.waiting = Whole<uint32_t>(item.at(4));
	news.report.waiting_tokens = Whole<uint64_t>(item.at(5));
	news.report.leaving = item.at(6).get<bool>();
	return news;
}

std::string EncodePeerMessage(const PeerMessage &message)
{
	std::vector<uint8_t> bytes = Json::to_cbor(std::visit([](const auto &kind) { return Write(kind); }, message));
	return PackMessage(std::string(bytes.begin(), bytes.end()));
}

/** @return The message in \a array; throws if it is malformed. */
static PeerMessage Read(const Json &array)
{
	switch (Whole<int>(array.at(0))) {
	case HEARTBEAT: {
		HeartbeatMessage message;
		for (const Json &item : array.at(1)) message.members.push_back(ReadMember(item));
		for (const Json &item : array.at(2)) message.leaving.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>()});
		message.confirmed_age = Duration(Whole<int64_t>(array.at(3)));
		for (const Json &item : array.at(4)) message.echoes.emplace_back(item.at(0).get<std::string>(), Whole<uint64_t>(item.at(1)));
		return message;
	}
	case ENTRIES:
		return EntriesMessage{array.at(1).get<std::vector<std::string>>()};
	case FETCH:
		return FetchMessage{Whole<uint64_t>(array.at(1))};
	case SNAPSHOT:
		return SnapshotMessage{array.at(1).get<std::string>()};
	case LOAD: {
		LoadMessage message;
		message.instance = array.at(1).get<std::string>();
		message.incarnation = Whole<uint64_t>(array.at(2));
		message.whole = array.at(3).get<bool>();
		for (const Json &item : array.at(4)) message.calls.push_back(ReadCallNews(item));
		for (const Json &item : array.at(5)) message.reports.push_back(ReadReportNews(item));
		return message;
	}
	case TABLES: {
		TablesMessage message;
		message.instance = array.at(1).get<std::string>();
		message.hall = array.at(2).get<std::string>();
		message.relayed = array.at(3).get<bool>();
		for (const Json &item : array.at(4)) message.tables.push_back(ReadTableNews(item));
		// Instances of older releases don't divide targets.
		if (array.size() <= 5) return message;
		for (const Json &item : array.at(5))
			message.parts.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>(), Whole<uint32_t>(item.at(2))});
		return message;
	}
	case PRESENCE: {
		PeerPlace place{array.at(2).get<std::string>(), array.at(3).get<std::string>(), array.at(4).get<double>()};
		PresenceMessage message{array.at(1).get<std::string>(), std::move(place), Whole<uint32_t>(array.at(5)), {}};
		// Instances of older releases don't know cells.
		if (array.size() > 8) message.cells = {Whole<uint32_t>(array.at(6)), {Whole<uint64_t>(array.at(7)), Whole<uint64_t>(array.at(8))}};
		return message;
	}
	case HALL_LOAD:
		return HallLoadMessage{array.at(1).get<std::string>(), array.at(2).get<bool>(), ReadSums(array.at(3)), ReadSums(array.at(4))};
	case SIGNS: {
		SignsMessage message{array.at(1).get<std::string>(), array.at(2).get<std::string>(), array.at(3).get<bool>(), {}};
		for (const Json &item : array.at(4)) message.news.push_back(ReadSignNews(item));
		return message;
	}
	case LEASE_ASK:
		return LeaseAskMessage{array.at(1).get<std::string>(), array.at(2).get<std::string>(), Whole<uint64_t>(array.at(3)),
		                       Whole<uint32_t>(array.at(4))};
	case LEASE_GRANT:
		return LeaseGrantMessage{array.at(1).get<std::string>(), array.at(2).get<std::string>(), Whole<uint64_t>(array.at(3)),
		                         Whole<uint32_t>(array.at(4))};
	case TABLES_ASK:
		return TablesAskMessage{array.at(1).get<std::string>(), array.at(2).get<std::vector<std::string>>()};
	default:
		throw std::out_of_range("unknown message kind");
	}
}

Result<PeerMessage> DecodePeerMessage(const std::string &bytes)
{
	if (IsPacked(bytes)) {
		BOOST_OUTCOME_TRY(message, UnpackMessage(bytes));
		if (IsPacked(message)) return Error{Step::Peer, "message", "nested compression"};
		return DecodePeerMessage(message);
	}
	try {
		return Read(Json::from_cbor(bytes));
	} catch (const std::exception &error) {
		return Error{Step::Peer, "message", error.what()};
	}
}

} // namespace cottonspool
