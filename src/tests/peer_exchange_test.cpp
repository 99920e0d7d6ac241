/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_exchange_test.cpp How an instance gets to know the others at its start. */

#include "gateway/peer_exchange.h"
#include "tests/manual_store.h"
#include <doctest/doctest.h>
#include <uv.h>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** One instance that exchanges news, with a store that is answered by hand. */
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

	uv_loop_t loop{};                                              ///< Loop.
	LengthEstimate lengths{{}};                                    ///< Needed by the table.
	TargetTable targets{{}, this->lengths};                        ///< Needed by the load.
	NameTable<ModelNumber> pools;                                  ///< Needed by the load.
	PeerLoad load{this->targets, this->pools, milliseconds(2000)}; ///< Calls of others.
	ManualStore store;                                             ///< Store.
	std::optional<PeerExchange> exchange;                          ///< Under test.
};

} // namespace

TEST_CASE("Exchange - at the first start the own row is written before the others' are read, so that of two one sees the other")
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

TEST_CASE("Exchange - an instance whose row is left from an earlier life does not write it again")
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

TEST_CASE("Exchange - a row that is removed late is written again, but not by an instance that stops")
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
		// Not at once: a store that turns this instance away would be asked at each piece of news.
		CHECK(world.store.writes.size() == 1);
		world.exchange->OnTick(MonotonicNow() + ExchangeLimits{}.register_retry_delay);
		CHECK(world.store.writes.size() == (stops ? 1 : 2));
	}
}
