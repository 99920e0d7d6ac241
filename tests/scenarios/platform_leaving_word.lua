-- Guards against requests to a target that announces its drain only in its answers, while the store is unavailable.
local lib = require("lib")
lib.start_platform{ engines = 4, services = 3, event_ms = 10 }
local names = { "g1", "g2", "g3" }
for i, name in ipairs(names) do lib.gateway(name, i == 2 and "hall-b" or "hall-a") end

-- Returns the number of requests that reached a target too long after its drain notice, and the delay of the first.
local function late_at(target)
	local count, first = 0, nil
	for _, late in ipairs(lib.record("world").late) do
		if late.target == target then
			count = count + 1
			first = first or late.after_ms
		end
	end
	return count, first
end

local function request_for(prefix, path, span_ms, options)
	local calls, stop, i = {}, now_ms() + span_ms, 0
	while now_ms() < stop do
		i = i + 1
		calls[i] = lib.request(names[i % 3 + 1], path, prefix .. i, options)
		sleep_ms(15)
	end
	local good = 0
	for _, call in ipairs(calls) do good = good + (http_wait(call).status == 200 and 1 or 0) end
	lib.check(good == i, "of " .. i .. " requests " .. good .. " were served (" .. prefix .. ")")
end

local function check_none_late(target, what)
	local count, first = late_at(target)
	lib.check(count == 0, what .. ": " .. count .. " requests, the first " .. tostring(first) .. " ms after its drain notice")
end

-- The store is unavailable; a service and an engine announce their drain only in their answers.
lib.control("world", '{"store":"silent"}')
request_for("before", "/r/x", 500)
lib.control("world", '{"do":"say-leaving","target":"service-0"}')
request_for("told", "/r/x", 4000)
check_none_late("service-0", "a service while the store is unavailable")
lib.control("world", '{"do":"say-leaving","target":"engine-0"}')
request_for("engine", "/s/x", 4000, { events = 3 })
check_none_late("engine-0", "an engine while the store is unavailable")

-- The store is back, and its row still shows the service as ready: the service's own notice prevails.
lib.control("world", '{"store":"up"}')
lib.control("world", '{"do":"beat"}')
request_for("back", "/r/x", 3000)
check_none_late("service-0", "a service after the store's return")
