-- Guards against instances that together exceed the request rate which a target announces in its answers.
local lib = require("lib")
lib.start_platform{ engines = 4, services = 3, event_ms = 5 }
local names = { "g1", "g2", "g3" }
for i, name in ipairs(names) do lib.gateway(name, i == 2 and "hall-b" or "hall-a") end

-- Returns the highest number of arrivals at a target within any four seconds since from_ms, and the number of all since then.
local function most_in_four_seconds(target, from_ms)
	local times, most = {}, 0
	for _, arrival in ipairs(lib.record("world").arrivals) do
		if arrival.target == target and arrival.at >= from_ms then times[#times + 1] = arrival.at end
	end
	table.sort(times)
	local first = 1
	for last = 1, #times do
		while times[last] - times[first] >= 4000 do first = first + 1 end
		most = math.max(most, last - first + 1)
	end
	return most, #times
end

-- Sends a request every 25 ms, to the instances in turn; returns the number of requests and the counts of their statuses.
local function request_for(prefix, path, span_ms, options)
	local calls, stop, i = {}, now_ms() + span_ms, 0
	while now_ms() < stop do
		i = i + 1
		calls[i] = lib.request(names[i % 3 + 1], path, prefix .. i, options)
		sleep_ms(25)
	end
	local statuses = {}
	for _, call in ipairs(calls) do
		local status = http_wait(call).status
		statuses[status] = (statuses[status] or 0) + 1
	end
	return i, statuses
end

-- Waits until instances use their shares: after its start an instance doesn't know what its previous incarnation has lent.
sleep_ms(6500)
-- Two of three services announce limits: requests beyond them go to the third one, and all are served.
local limits = { ["service-0"] = 2.4, ["service-1"] = 4.6 }
request_for("before", "/r/x", 500)
for target, per_s in pairs(limits) do lib.control("world", '{"do":"limit","target":"' .. target .. '","per_s":"' .. per_s .. '"}') end
request_for("told", "/r/x", 1000)
local from = now_ms()
local requested, statuses = request_for("limited", "/r/x", 9000)
lib.check(statuses[200] == requested, "of " .. requested .. " requests " .. tostring(statuses[200]) .. " were served")
for target, per_s in pairs(limits) do
	local most, all = most_in_four_seconds(target, from)
	lib.check(most <= 6 * per_s + 5, target .. " has a limit of " .. per_s .. " requests per second and got " .. most .. " in four seconds")
	-- The limit is used, not avoided.
	lib.check(all >= 9 * per_s / 2, target .. " has a limit of " .. per_s .. " requests per second and got only " .. all .. " in nine seconds")
end

-- The same with the limit of an engine.
lib.control("world", '{"do":"limit","target":"engine-0","per_s":"1.5"}')
request_for("engine-told", "/s/x", 1000, { events = 3 })
from = now_ms()
requested, statuses = request_for("engine", "/s/x", 5000, { events = 3 })
lib.check(statuses[200] == requested, "of " .. requested .. " streams " .. tostring(statuses[200]) .. " were served")
local most = most_in_four_seconds("engine-0", from)
lib.check(most <= 14, "an engine with a limit of 1.5 requests per second got " .. most .. " in four seconds")

-- Targets that no longer announce a limit are used as before.
for target in pairs(limits) do lib.control("world", '{"do":"limit","target":"' .. target .. '","per_s":""}') end
request_for("ended", "/r/x", 3000)
local before = #lib.record("world").runs
request_for("after", "/r/x", 2000)
local counts = {}
local runs = lib.record("world").runs
for i = before + 1, #runs do counts[runs[i].target] = (counts[runs[i].target] or 0) + 1 end
for target in pairs(limits) do
	lib.check((counts[target] or 0) >= 15, target .. " got " .. tostring(counts[target]) .. " of 80 calls after its limit ended")
end
