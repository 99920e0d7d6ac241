-- Guards against unused or exceeded rate limits of a target when all requests come to one instance, which borrows the unused share of the
-- other instance in its hall, and when the borrower is killed.
local lib = require("lib")
lib.start_platform{ engines = 2, services = 3, event_ms = 5 }
for i, name in ipairs{ "g1", "g2", "g3" } do lib.gateway(name, i == 2 and "hall-b" or "hall-a") end
sleep_ms(6500)

-- Returns the number of arrivals at a target since from_ms, and the highest number within any four seconds.
local function arrivals_since(target, from_ms)
	local times, most, first = {}, 0, 1
	for _, arrival in ipairs(lib.record("world").arrivals) do
		if arrival.target == target and arrival.at >= from_ms then times[#times + 1] = arrival.at end
	end
	table.sort(times)
	for last = 1, #times do
		while times[last] - times[first] >= 4000 do first = first + 1 end
		most = math.max(most, last - first + 1)
	end
	return #times, most
end

local function request_at(name, prefix, span_ms)
	local calls, stop, i = {}, now_ms() + span_ms, 0
	while now_ms() < stop do
		i = i + 1
		calls[i] = lib.request(name, "/r/x", prefix .. i)
		sleep_ms(20)
	end
	for n, call in ipairs(calls) do
		local status = http_wait(call).status
		lib.check(status == 200, prefix .. n .. ": " .. tostring(status))
	end
end

lib.control("world", '{"do":"limit","target":"service-0","per_s":"4"}')
request_at("g1", "told", 1500)
local from = now_ms()
request_at("g1", "one", 10000)
local all, most = arrivals_since("service-0", from)
lib.check(most <= 6 * 4 + 5, "a target with a limit of 4 requests per second got " .. most .. " in four seconds")
lib.check(all >= 0.7 * 4 * 10, "a target with a limit of 4 requests per second got only " .. all .. " in ten seconds, with all requests at one instance")

-- The borrower is killed, and all requests go to the lender: its lent share counts as used until the lease and a window have passed, 6.2 s.
signal("g1", "KILL")
wait_exit("g1", 5000)
from = now_ms()
request_at("g3", "other", 12000)
all, most = arrivals_since("service-0", from)
lib.check(most <= 6 * 4 + 5, "after a kill a target with a limit of 4 requests per second got " .. most .. " in four seconds")
lib.check(all >= 12, "after a kill a target with a limit of 4 requests per second got only " .. all .. " in twelve seconds")
