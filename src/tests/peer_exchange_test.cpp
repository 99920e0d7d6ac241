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
struct ExchangeWorld {
	explicit ExchangeWorld(bool bootstrap, uint16_t port = 0)
	{
		uv_loop_init(&this->loop);
		ExchangeLimits limits;
		limits.bootstrap = bootstrap;
		this->exchange.emplace(&this->loop, this->store, this->load, "self", "hall-a", limits, [](const ReportUpdate &) {});
		REQUIRE(this->exchange->Start({"127.0.0.1", port}, MonotonicNow()));
	}

	~ExchangeWorld()
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
	ExchangeWorld world(true);
	world.exchange->OnTick(MonotonicNow());
	CHECK(world.store.calls.empty());
	REQUIRE(world.store.writes.size() == 1);
	world.store.writes[0].done(StoreWriteResult::Done);
	CHECK(world.store.calls.size() == 1);
	world.AnswerList({{"self", world.store.writes[0].value, 9, false}});
	world.exchange->OnTick(MonotonicNow());
	CHECK(world.store.writes.size() == 1);
	CHECK(world.store.calls.empty());
}

TEST_CASE("Exchange - an instance whose row is left from an earlier incarnation does not write it again")
{
	std::string own;
	{
		ExchangeWorld first(true);
		own = first.store.writes.at(0).value;
	}
	auto port = static_cast<uint16_t>(std::stoi(own.substr(own.find(':') + 1)));
	ExchangeWorld world(false, port);
	CHECK(world.store.calls.size() == 1);
	world.AnswerList({{"self", own, 5, false}, {"other", "127.0.0.1:9 10 hall-b", 5, false}});
	world.exchange->OnTick(MonotonicNow());
	CHECK(world.store.writes.empty());
	CHECK(world.exchange->Instances() == 2);
}

TEST_CASE("Exchange - an instance that joins reads once more after its row was written")
{
	ExchangeWorld world(false);
	world.AnswerList({});
	world.exchange->OnTick(MonotonicNow());
	REQUIRE(world.store.writes.size() == 1);
	world.store.writes[0].done(StoreWriteResult::Done);
	world.exchange->OnTick(MonotonicNow());
	REQUIRE(world.store.calls.size() == 1);
	CHECK(world.store.Newest().changes);
	world.AnswerList({{"other", "127.0.0.1:9 10 hall-b", 11, false}});
	CHECK(world.exchange->Instances() == 2);
}

TEST_CASE("Exchange - a row that a delayed removal deletes is written again, but not by an instance that stops")
{
	for (bool stops : {false, true}) {
		ExchangeWorld world(false);
		world.AnswerList({});
		world.exchange->OnTick(MonotonicNow());
		REQUIRE(world.store.writes.size() == 1);
		world.store.writes[0].done(StoreWriteResult::Done);
		if (stops) world.exchange->Deregister();
		world.exchange->OnTick(MonotonicNow());
		world.AnswerList({{"self", "", 11, true}});
		// Written after a delay, as a store that rejects the row would otherwise get it with every update.
		CHECK(world.store.writes.size() == 1);
		world.exchange->OnTick(MonotonicNow() + ExchangeLimits{}.register_retry_delay);
		CHECK(world.store.writes.size() == (stops ? 1 : 2));
	}
}
