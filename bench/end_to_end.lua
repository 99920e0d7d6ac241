-- Compares the routers on real processes: the same small calls through 4 instances to 4 engines with little memory.
-- Run with: build/cottonspool-scenario --bin build bench/end_to_end.lua   (prints a table, checks nothing)
package.path = "tests/scenarios/?.lua;" .. package.path
local lib = require("lib")

local function quantile(values, part)
	table.sort(values)
	return values[math.max(1, math.ceil(part * #values))] or 0
end

local function run(router, seed)
	math.randomseed(seed)
	lib.names, lib.ports, lib.peers = {}, {}, {}
	local tag = router .. seed
	lib.standin("platform" .. tag, "platform")
	lib.ports.platform = lib.ports["platform" .. tag]
	local change = "[model.small]\n" .. lib.account("kiosk")
	for i = 1, 4 do
		local name = "engine" .. i .. tag
		change = change .. lib.target("engine" .. i, lib.standin(name, "engine", { name = name, step_ms = 6, step_us_per_call = 200,
			memory_tokens = 2600, max_batch = 64, report_lag_ms = 300 }), "hall-a", "small")
	end
	local names = {}
	for i = 1, 4 do
		names[i] = "i" .. i .. tag
		lib.instance(names[i], { extra = { dispatch = { 'router = "' .. router .. '"' }, targets = { "report_poll_ms = 300" } } })
	end
	lib.apply(change)
	for _, name in ipairs(names) do lib.ready(name, 4) end
	local calls = {}
	for i = 1, 700 do
		local long = math.random() < 0.3
		local tokens = long and math.floor(math.min(900, 220 * math.exp(0.8 * (math.random() + math.random() + math.random() - 1.5) * 2))) or math.random(5, 20)
		local call = lib.complete(names[math.random(4)], { tokens = tokens, class = long and "stream" or "interactive",
			prompt = string.rep("word ", long and 80 or 20) .. math.random(30) })
		calls[i] = { call = call, long = long }
		sleep_ms(math.floor(-math.log(1 - math.random()) * (i % 200 < 60 and 6 or 18)))
	end
	local first, gaps, failed = {}, {}, 0
	for _, entry in ipairs(calls) do
		local answer = http_wait(entry.call)
		if answer.status ~= 200 then failed = failed + 1
		elseif entry.long then gaps[#gaps + 1] = answer.gap
		else first[#first + 1] = answer.first + math.max(0, answer.gap - 0.2) end
	end
	local preemptions = 0
	for i = 1, 4 do preemptions = preemptions + lib.record("engine" .. i .. tag).preemptions end
	for _, name in ipairs(names) do signal(name, "KILL") end
	for i = 1, 4 do signal("engine" .. i .. tag, "KILL") end
	return { preemptions / 0.7, quantile(first, 0.5) * 1000, quantile(first, 0.99) * 1000, quantile(gaps, 0.5) * 1000, quantile(gaps, 0.95) * 1000, failed }
end

print(string.format("%-15s %12s %14s %14s %16s %16s %8s", "router", "preempt/1000", "short p50 ms", "short p99 ms", "longest gap p50", "longest gap p95", "refused"))
for _, router in ipairs(ROUTERS or { "round-robin", "least-load", "two-choices", "rank-weighted", "headroom" }) do
	local rows = {}
	for seed = SEED, SEED + 2 do rows[#rows + 1] = run(router, seed) end
	local line = string.format("%-15s", router)
	for column, width in ipairs({ 12, 14, 14, 16, 16, 8 }) do
		local values = {}
		for _, row in ipairs(rows) do values[#values + 1] = row[column] end
		line = line .. string.format(" %" .. width .. ".1f", quantile(values, 0.5))
	end
	print(line)
end
