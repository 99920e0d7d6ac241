/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_exchange_test.cpp Discovery of the other instances at the start of one. */

#include "gateway/peer_exchange.h"
#include "tests/manual_store.h"
#include <doctest/doctest.h>
#include <uv.h>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** One instance with an exchange, and a store whose answers the test gives. */
struct ExchangeFixture {
	explicit ExchangeFixture(bool bootstrap, uint16_t port = 0)
	{
		uv_loop_init(&this->loop);
		ExchangeLimits limits;
		limits.bootstrap = bootstrap;
		this->exchange.emplace(&this->loop, this->store, this->load, "self", "hall-a", limits, [](const ReportUpdate &) {});
		REQUIRE(this->exchange->Start({"127.0.0.1", port}, MonotonicNow()));
	}

	~ExchangeFixture()
	{
		this->exchange.reset();
		uv_run(&this->loop, UV_RUN_NOWAIT);
		uv_loop_close(&this->loop);
	}

	/** Answer the read of the list of instances with \a rows. */
	void AnswerList(std::vector<StoredRow> rows)
	{
		RowsPage page;
		page.rows = std::move(rows);
		page.version = 10;
		this->store.Answer({page, StoreFailure::NoAnswer, ""});
	}

	uv_loop_t loop{};
	LengthEstimate lengths{{}};             ///< Needed by the table of targets.
	TargetTable targets{{}, this->lengths}; ///< Needed by the load.
	NameTable<ModelNumber> pools;           ///< Needed by the load.
	PeerLoad load{this->targets, this->pools, milliseconds(2000)};
	ManualStore store;
	std::optional<PeerExchange> exchange; ///< The exchange under test.
};

} // namespace

TEST_CASE("Exchange - during bootstrap the own row is written before the list is read, so that of two instances one sees the other")
{
	ExchangeFixture fixture(true);
	fixture.exchange->OnTick(MonotonicNow());
	CHECK(fixture.store.calls.empty());
	REQUIRE(fixture.store.writes.size() == 1);
	fixture.store.writes[0].done(StoreWriteResult::Done);
	CHECK(fixture.store.calls.size() == 1);
	fixture.AnswerList({{"self", fixture.store.writes[0].value, 9, false}});
	fixture.exchange->OnTick(MonotonicNow());
	CHECK(fixture.store.writes.size() == 1);
	CHECK(fixture.store.calls.empty());
}

TEST_CASE("Exchange - an instance whose row is left from an earlier incarnation does not write it again")
{
	std::string own;
	{
		ExchangeFixture first(true);
		own = first.store.writes.at(0).value;
	}
	auto port = static_cast<uint16_t>(std::stoi(own.substr(own.find(':') + 1)));
	ExchangeFixture fixture(false, port);
	CHECK(fixture.store.calls.size() == 1);
	fixture.AnswerList({{"self", own, 5, false}, {"other", "127.0.0.1:9 10 hall-b", 5, false}});
	fixture.exchange->OnTick(MonotonicNow());
	CHECK(fixture.store.writes.empty());
	CHECK(fixture.exchange->Instances() == 2);
}

TEST_CASE("Exchange - an instance that joins reads once more after its row was written")
{
	ExchangeFixture fixture(false);
	fixture.AnswerList({});
	fixture.exchange->OnTick(MonotonicNow());
	REQUIRE(fixture.store.writes.size() == 1);
	fixture.store.writes[0].done(StoreWriteResult::Done);
	fixture.exchange->OnTick(MonotonicNow());
	REQUIRE(fixture.store.calls.size() == 1);
	CHECK(fixture.store.Newest().changes);
	fixture.AnswerList({{"other", "127.0.0.1:9 10 hall-b", 11, false}});
	CHECK(fixture.exchange->Instances() == 2);
}

TEST_CASE("Exchange - a row that a delayed removal deletes is written again, but not by an instance that stops")
{
	for (bool stops : {false, true}) {
		ExchangeFixture fixture(false);
		fixture.AnswerList({});
		fixture.exchange->OnTick(MonotonicNow());
		REQUIRE(fixture.store.writes.size() == 1);
		fixture.store.writes[0].done(StoreWriteResult::Done);
		if (stops) fixture.exchange->Deregister();
		fixture.exchange->OnTick(MonotonicNow());
		fixture.AnswerList({{"self", "", 11, true}});
		// Written after a delay, as a store that rejects the row would otherwise get it with every update.
		CHECK(fixture.store.writes.size() == 1);
		fixture.exchange->OnTick(MonotonicNow() + ExchangeLimits{}.register_retry_delay);
		CHECK(fixture.store.writes.size() == (stops ? 1 : 2));
	}
}
