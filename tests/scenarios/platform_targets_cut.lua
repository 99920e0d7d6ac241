-- Guards against callers of an instance that reaches no target getting no answer while other instances reach all targets.
local lib = require("lib")
lib.start_platform{ engines = 2, services = 3, event_ms = 5 }
local ports = {}
for _, address in pairs(lib.record("world").targets) do ports[#ports + 1] = address:match(":(%d+)$") end
ports = table.concat(ports, " ")
local function cut(mode) return write_file("links", mode .. " " .. ports) end
local preload = { "/usr/bin/env", "LD_PRELOAD=" .. BIN .. "/libcottonspool-links.so", "COTTONSPOOL_TEST_LINKS=" .. cut("pass") }
lib.gateway("g1", "hall-a", preload)
lib.gateway("g2", "hall-a")
lib.gateway("g3", "hall-b")
sleep_ms(1000)

-- Sends plain requests, requests that may run only once, and streams for span_ms. Returns how many were sent, and how many were served.
local function request_for(name, prefix, span_ms)
	local calls, stop, i = {}, now_ms() + span_ms, 0
	while now_ms() < stop do
		i = i + 1
		local path = ({ "/r/x", "/o/x", "/s/x" })[i % 3 + 1]
		calls[i] = lib.request(name, path, prefix .. i, { events = 5, body = prefix .. i, deadline = 3000 })
		sleep_ms(40)
	end
	local served = 0
	for j, call in ipairs(calls) do
		local answer = http_wait(call)
		local complete = answer.status == 200 and answer.error == ""
		if complete and j % 3 == 2 then lib.check_full_stream(answer, prefix .. j, 5) end
		if complete then served = served + 1 end
	end
	return i, served
end

for _, mode in ipairs{ "refuse", "silent", "reset" } do
	local sent, served = request_for("g1", mode .. "-before-", 400)
	lib.check(served == sent, mode .. ": " .. served .. " of " .. sent .. " were served before the cut")
	cut(mode)
	request_for("g1", mode .. "-begin-", 1500)
	sent, served = request_for("g1", mode .. "-cut-", 2500)
	print(mode .. ": " .. served .. " of " .. sent .. " were served by an instance that reaches no target")
	lib.check(served >= 0.95 * sent, mode .. ": " .. served .. " of " .. sent .. " were served by an instance that reaches no target")
	cut("pass")
	sleep_ms(1000)
end
-- An instance that starts while it reaches no target has no connections of before.
cut("refuse")
lib.gateway("g4", "hall-b", preload)
local sent, served = request_for("g4", "fresh-", 2500)
lib.check(served >= 0.95 * sent, "fresh: " .. served .. " of " .. sent .. " were served by an instance that has never reached a target")
-- A request that may run only once ran at most once, whichever instance sent it.
for id, runs in pairs((lib.count_runs())) do
	local number = tonumber(id:match("(%d+)$"))
	lib.check(runs == 1 or number % 3 == 0, id .. " ran " .. runs .. " times")
end
