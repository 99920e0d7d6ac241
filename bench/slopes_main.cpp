/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file slopes_main.cpp Micro benchmarks of cost by size; docs/CAPACITY.md gives their results. */

#include "configuration/configuration_state.h"
#include "decision/dispatcher.h"
#include "decision/membership.h"
#include "generation/ledger.h"
#include "generation/sse_parser.h"
#include "instance/completion_request.h"
#include "instance/target_poller.h"
#include "metrics/log.h"
#include "metrics/metrics.h"
#include "peer/peer_message.h"
#include "policy/policy_engine.h"
#include "slopes_func.h"
#include <benchmark/benchmark.h>

using namespace cottonspool;
using std::chrono::milliseconds;

/** @return A configuration with \a accounts accounts, 28 models and \a targets targets. */
static ConfigurationState MakeState(uint64_t accounts, uint64_t targets)
{
	ConfigurationState state;
	Change change;
	change.id = "first";
	change.author = "bench";
	for (int i = 0; i < 28; i++) change.records.push_back({RecordKind::Model, "model" + std::to_string(i), false, "{}"});
	for (uint64_t i = 0; i < targets; i++) {
		TargetRecord target;
		target.address = "10.0.0.1:8000";
		target.hall = "hall" + std::to_string(i % 9);
		target.serves = {"model" + std::to_string(i % 28)};
		change.records.push_back({RecordKind::Target, "target" + std::to_string(i), false, FormatTarget(target)});
	}
	for (uint64_t i = 0; i < accounts; i++) {
		AccountRecord account;
		account.key = DigestKey("key" + std::to_string(i));
		change.records.push_back({RecordKind::Account, "account" + std::to_string(i), false, FormatAccount(account)});
	}
	state.Apply({1, change});
	return state;
}

/** Memory of a configuration and size of its snapshot. */
static void ConfigurationMemory(benchmark::State &bench)
{
	for (auto _ : bench) {
		size_t before = AllocatedBytes();
		ConfigurationState state = MakeState(static_cast<uint64_t>(bench.range(0)), static_cast<uint64_t>(bench.range(1)));
		bench.counters["bytes"] = static_cast<double>(AllocatedBytes() - before);
		bench.counters["snapshot_bytes"] = static_cast<double>(state.Snapshot().size());
	}
}
BENCHMARK(ConfigurationMemory)
        ->Args({0, 3700})
        ->Args({4700, 0})
        ->Args({47000, 0})
        ->Args({47000, 3700})
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);

/** Peak memory while a snapshot is loaded. */
static void ConfigurationBoot(benchmark::State &bench)
{
	std::string snapshot = MakeState(static_cast<uint64_t>(bench.range(0)), 3700).Snapshot();
	for (auto _ : bench) {
		size_t before = ResetPeakBytes();
		ConfigurationState state;
		benchmark::DoNotOptimize(state.Load(snapshot));
		bench.counters["peak_bytes"] = static_cast<double>(PeakBytes() - before);
	}
}
BENCHMARK(ConfigurationBoot)->Arg(4700)->Arg(47000)->Iterations(1)->Unit(benchmark::kMillisecond);

/** Time to parse and apply a change of one account. */
static void ConfigurationChange(benchmark::State &bench)
{
	ConfigurationState state = MakeState(static_cast<uint64_t>(bench.range(0)), 411);
	uint64_t sequence = 1;
	std::string text;
	for (auto _ : bench) {
		AccountRecord account;
		account.key = DigestKey("new" + std::to_string(sequence));
		Entry entry{++sequence, {"change" + std::to_string(sequence), "bench", "", 1, {}}};
		entry.change.records.push_back({RecordKind::Account, "account1", false, FormatAccount(account)});
		text = FormatEntry(entry);
		benchmark::DoNotOptimize(state.Apply(ParseEntry(text).value()));
	}
	bench.counters["entry_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ConfigurationChange)->Arg(4700)->Arg(47000)->Unit(benchmark::kMicrosecond);

/** Time to find the account of an API key. */
static void AccountLookup(benchmark::State &bench)
{
	ConfigurationState state = MakeState(static_cast<uint64_t>(bench.range(0)), 0);
	uint64_t i = 0;
	for (auto _ : bench)
		benchmark::DoNotOptimize(state.FindAccount(DigestKey("key" + std::to_string(i++ % static_cast<uint64_t>(bench.range(0))))));
}
BENCHMARK(AccountLookup)->Arg(4700)->Arg(47000)->Unit(benchmark::kMicrosecond);

/** Time to encode, decode and apply a heartbeat. */
static void Heartbeat(benchmark::State &bench)
{
	Membership members({"instance0", "hall0", "10.0.0.1:8081", 1700000000000}, std::chrono::seconds(4));
	TimePoint now(std::chrono::seconds(100));
	auto count = static_cast<uint64_t>(bench.range(0));
	for (uint64_t i = 1; i < count; i++) {
		members.OnMemberInfo(
		        {"instance" + std::to_string(i), "hall" + std::to_string(i % 9), "10.0.0.1:8081", 1700000000000 + i, 1000000, 100000}, now);
	}
	size_t links = members.GossipPeers(now).size();
	size_t bytes = 0;
	for (auto _ : bench) {
		HeartbeatMessage message{members.NextGossip(6), {}, milliseconds(100), {}};
		for (size_t i = 0; i < links; i++) message.echoes.emplace_back("instance100", 1000000);
		std::string encoded = EncodePeerMessage(message);
		bytes = encoded.size();
		auto decoded = DecodePeerMessage(encoded);
		for (const MemberInfo &member : std::get<HeartbeatMessage>(decoded.value()).members) members.OnMemberInfo(member, now);
	}
	bench.counters["message_bytes"] = static_cast<double>(bytes);
	bench.counters["links"] = static_cast<double>(links);
}
BENCHMARK(Heartbeat)->Arg(8)->Arg(41)->Arg(370)->Unit(benchmark::kMicrosecond);

/** Time of the periodic work on the member list: the rank of this instance and its gossip peers. */
static void MemberUpkeep(benchmark::State &bench)
{
	Membership members({"instance0", "hall0", "a", 1}, std::chrono::seconds(4));
	TimePoint now(std::chrono::seconds(100));
	size_t before = AllocatedBytes();
	for (int64_t i = 1; i < bench.range(0); i++) {
		members.OnMemberInfo({"instance" + std::to_string(i), "hall" + std::to_string(i % 9), "10.0.0.1:8081", 1, 1}, now);
	}
	bench.counters["bytes"] = static_cast<double>(AllocatedBytes() - before);
	for (auto _ : bench) {
		benchmark::DoNotOptimize(members.Rank(now));
		benchmark::DoNotOptimize(members.GossipPeers(now));
	}
}
BENCHMARK(MemberUpkeep)->Arg(8)->Arg(41)->Arg(370)->Unit(benchmark::kMicrosecond);

/** @return A load report as an engine sends it. */
static std::string ReportText(uint64_t sequence)
{
	std::string prefixes;
	for (int i = 0; i < 16; i++) prefixes += (i == 0 ? "" : ",") + std::to_string(0x9e3779b97f4a7c15ULL * static_cast<uint64_t>(i + 1));
	return R"({"age_ms":250,"capacity_tokens":80000,"incarnation":"engine-7-123456","leaving":false,"models":["model1"],"preemptions":3,"prefixes":[)" +
	       prefixes + R"(],"role":"serve","running":31,"sequence":)" + std::to_string(sequence) +
	       R"(,"used_tokens":61234,"waiting":0,"waiting_tokens":0})";
}

/** @return A dispatcher with \a targets engines of one model, each with a load report. */
static std::unique_ptr<Dispatcher> MakeDispatcher(int64_t targets, TimePoint now)
{
	auto dispatcher = std::make_unique<Dispatcher>(DispatchLimits{}, MakeRouter("headroom", 1));
	dispatcher->Targets().SetInstances(3, 8);
	for (int64_t i = 0; i < targets; i++) {
		TargetNumber number = dispatcher->Targets().Configure("target" + std::to_string(i), "hall", {ModelNumber{0}});
		ReportedState state;
		LoadReport report = *ParseLoadReport(ReportText(1), &state);
		report.used_tokens = static_cast<uint64_t>(i) * 37 % 40000;
		dispatcher->OnReport(number, report, now);
	}
	return dispatcher;
}

/** @return An interactive call that arrived at \a now. */
static CallSpec MakeCall(uint64_t id, TimePoint now)
{
	CallSpec call;
	call.id = CallId{id};
	call.account = AccountNumber{static_cast<uint32_t>(id % 1000)};
	call.prompt_tokens = 300;
	call.prefix = id;
	call.arrived = now;
	call.deadline = now + std::chrono::seconds(10);
	return call;
}

/** Time to parse and apply a load report. */
static void LoadReportIn(benchmark::State &bench)
{
	TimePoint now(std::chrono::seconds(100));
	auto dispatcher = MakeDispatcher(bench.range(0), now);
	uint64_t sequence = 2;
	std::string text;
	for (auto _ : bench) {
		text = ReportText(sequence++);
		ReportedState state;
		auto report = ParseLoadReport(text, &state);
		benchmark::DoNotOptimize(
		        dispatcher->OnReport(TargetNumber{static_cast<uint32_t>(sequence % static_cast<uint64_t>(bench.range(0)))}, *report, now));
	}
	bench.counters["report_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(LoadReportIn)->Arg(10)->Arg(56)->Arg(411)->Unit(benchmark::kMicrosecond);

/** Time of the decisions for one call: submission and routing, first token, completion. */
static void Decision(benchmark::State &bench)
{
	TimePoint now(std::chrono::seconds(100));
	auto dispatcher = MakeDispatcher(bench.range(0), now);
	uint64_t id = 0;
	for (auto _ : bench) {
		CallSpec call = MakeCall(id++, now);
		Decisions decisions = dispatcher->Submit(call, now);
		dispatcher->OnToken(call.id, now);
		benchmark::DoNotOptimize(dispatcher->OnSendEnded(call.id, SendOutcome::Complete, now));
		now += milliseconds(1);
	}
}
BENCHMARK(Decision)->Arg(2)->Arg(10)->Arg(24)->Arg(411)->Unit(benchmark::kMicrosecond);

/** Memory of targets and of calls in flight in the decision core. */
static void CoreMemory(benchmark::State &bench)
{
	TimePoint now(std::chrono::seconds(100));
	for (auto _ : bench) {
		size_t before = AllocatedBytes();
		auto dispatcher = MakeDispatcher(bench.range(0), now);
		size_t with_targets = AllocatedBytes();
		for (int64_t i = 0; i < bench.range(1); i++)
			benchmark::DoNotOptimize(dispatcher->Submit(MakeCall(static_cast<uint64_t>(i), now), now));
		bench.counters["bytes_targets"] = static_cast<double>(with_targets - before);
		bench.counters["bytes_calls"] = static_cast<double>(AllocatedBytes() - with_targets);
	}
}
BENCHMARK(CoreMemory)
        ->Args({10, 1000})
        ->Args({56, 1000})
        ->Args({411, 1000})
        ->Args({411, 10000})
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);

/** Time to process one token without sockets: event parser, ledger, chunk parser, dispatcher, metrics. */
static void TokenThrough(benchmark::State &bench)
{
	TimePoint now(std::chrono::seconds(100));
	auto dispatcher = MakeDispatcher(10, now);
	CallSpec call = MakeCall(1, now);
	dispatcher->Submit(call, now);
	Metrics metrics(64);
	SseParser parser;
	GenerationLedger ledger;
	ledger.Bind("g");
	uint64_t token = 0;
	for (auto _ : bench) {
		parser.Add("id: " + std::to_string(++token) +
		           "\ndata: {\"choices\":[{\"finish_reason\":null,\"index\":0,\"text\":\"word "
		           "\"}],\"id\":\"g\",\"object\":\"text_completion\"}\n\n");
		auto event = parser.Next();
		benchmark::DoNotOptimize(ledger.Accept("g", *event->id));
		benchmark::DoNotOptimize(ParseCompletionChunk(event->data));
		dispatcher->OnToken(call.id, now);
		metrics.Observe(Measure::TokenIntervalSeconds, "account", ServiceClass::Stream, 0.02);
	}
}
BENCHMARK(TokenThrough)->Unit(benchmark::kMicrosecond);

/** Time of the policy functions priority, route and drain. */
static void PolicyCalls(benchmark::State &bench)
{
	PolicyEngine engine(PolicyLimits{});
	(void)engine.Load("function priority(r) if r.account == 'a' then return 9 end return 0 end "
	                  "function route(r, halls) local names = {} for i, h in ipairs(halls) do names[i] = h.name end return names end "
	                  "function drain(t) return t.preemptions > 100 end");
	PolicyRequest request{"a", "m", ServiceClass::Stream, 100, true};
	std::vector<HallPreference> halls{{"hall-a", 1}, {"hall-b", 1}, {"hall-c", 1}};
	for (auto _ : bench) {
		benchmark::DoNotOptimize(engine.Priority(request));
		benchmark::DoNotOptimize(engine.Route(request, halls));
		benchmark::DoNotOptimize(engine.Drain({"t", "h", 0.5, 1}));
	}
}
BENCHMARK(PolicyCalls)->Unit(benchmark::kMicrosecond);

/** Memory of the metrics and size of their text, by number of accounts with series of their own. */
static void MetricsCost(benchmark::State &bench)
{
	size_t before = AllocatedBytes();
	Metrics metrics(static_cast<size_t>(bench.range(0)));
	for (int64_t i = 0; i < bench.range(0); i++) {
		for (size_t m = 0; m < MEASURE_COUNT; m++)
			metrics.Observe(static_cast<Measure>(m), "account" + std::to_string(i), ServiceClass::Stream, 0.02);
	}
	bench.counters["bytes"] = static_cast<double>(AllocatedBytes() - before);
	size_t text = 0;
	for (auto _ : bench) text = metrics.Render().size();
	bench.counters["text_bytes"] = static_cast<double>(text);
}
BENCHMARK(MetricsCost)->Arg(8)->Arg(64)->Unit(benchmark::kMicrosecond);

int main(int argc, char **argv)
{
	InitLog("error", "text", "bench");
	benchmark::Initialize(&argc, argv);
	benchmark::RunSpecifiedBenchmarks();
	return 0;
}
