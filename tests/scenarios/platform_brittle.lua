-- Guards against brittle services that crash because the instances together make them refuse more than they bear.
local lib = require("lib")
lib.start_platform{ engines = 1, services = 3 }
local names = { "g1", "g2", "g3", "g4" }
for i, name in ipairs(names) do lib.gateway(name, i % 2 == 0 and "hall-b" or "hall-a") end
sleep_ms(1000)

-- Sends requests to the instances in turn, one every gap_ms; returns their number and how many were served.
local function request_for(prefix, span_ms, gap_ms)
	local calls, stop, i = {}, now_ms() + span_ms, 0
	while now_ms() < stop do
		i = i + 1
		calls[i] = lib.request(names[i % #names + 1], "/r/x", prefix .. i, { body = prefix .. i, deadline = 2000 })
		sleep_ms(gap_ms)
	end
	local served = 0
	for _, call in ipairs(calls) do if http_wait(call).status == 200 then served = served + 1 end end
	return i, served
end

-- Three services with four places of 60 ms serve 200 requests a second.
for i = 0, 2 do lib.control("world", '{"do":"brittle","target":"service-' .. i .. '","places":4,"bears":4}') end
request_for("told", 1500, 20)
local sent, served = request_for("usual", 3000, 10)
print("usual: " .. served .. " of " .. sent .. " served, " .. #lib.record("world").falls .. " services crashed")
lib.check(served >= 0.9 * sent, served .. " of " .. sent .. " requests were served")
sent, served = request_for("burst", 4000, 3)
local falls = #lib.record("world").falls
print("burst: " .. served .. " of " .. sent .. " served, " .. falls .. " services crashed")
lib.check(falls <= 1, falls .. " services crashed")
-- Services that no longer say so are used as before.
for i = 0, 2 do lib.control("world", '{"do":"brittle","target":"service-' .. i .. '"}') end
request_for("ended", 500, 10)
sent, served = request_for("after", 1000, 5)
lib.check(served == sent, "after: " .. served .. " of " .. sent .. " requests were served")
