-- Guards against callers of an instance that reaches no target getting no answer while other instances reach all targets, and against
-- requests that instances pass round.
local lib = require("lib")
lib.start_platform{ engines = 2, services = 3, event_ms = 5 }
local ports = {}
for _, address in pairs(lib.record("world").targets) do ports[#ports + 1] = address:match(":(%d+)$") end
ports = table.concat(ports, " ")
local function cut(name, mode) return write_file("links-" .. name, mode .. " " .. ports) end
local function start(name, hall, mode)
	lib.gateway(name, hall, { "/usr/bin/env", "LD_PRELOAD=" .. BIN .. "/libcottonspool-links.so", "COTTONSPOOL_TEST_LINKS=" .. cut(name, mode) })
end
start("g1", "hall-a", "pass")
start("g2", "hall-a", "pass")
start("g3", "hall-b", "pass")
sleep_ms(1000)

-- Sends plain requests, requests that may run only once, and streams for span_ms. Returns how many were sent and how many were served, and
-- the answers.
local function request_for(name, prefix, span_ms)
	local calls, stop, i = {}, now_ms() + span_ms, 0
	while now_ms() < stop do
		i = i + 1
		local path = ({ "/r/x", "/o/x", "/s/x" })[i % 3 + 1]
		calls[i] = lib.request(name, path, prefix .. i, { events = 5, body = prefix .. i, deadline = 3000 })
		sleep_ms(40)
	end
	local served, answers = 0, {}
	for j, call in ipairs(calls) do
		local answer = http_wait(call)
		answers[j] = answer
		local complete = answer.status == 200 and answer.error == ""
		if complete and j % 3 == 2 then lib.check_full_stream(answer, prefix .. j, 5) end
		if complete then served = served + 1 end
	end
	return i, served, answers
end

local function check_served(name, prefix, span_ms)
	local sent, served = request_for(name, prefix, span_ms)
	print(prefix .. " " .. served .. " of " .. sent .. " were served by " .. name)
	lib.check(served >= 0.95 * sent, prefix .. " " .. served .. " of " .. sent .. " were served by " .. name)
end

local function count_passed(name) return select(2, output(name):gsub('"event":"passed%-on"', "")) end

for _, mode in ipairs{ "refuse", "silent", "reset" } do
	check_served("g1", mode .. "-before-", 400)
	cut("g1", mode)
	request_for("g1", mode .. "-begin-", 1500)
	check_served("g1", mode .. "-cut-", 2500)
	cut("g1", "pass")
	sleep_ms(1000)
	local passed = count_passed("g1")
	check_served("g1", mode .. "-after-", 500)
	lib.check(count_passed("g1") == passed, mode .. ": requests were passed on a second after the end of the cut")
end
-- All instances of a hall are cut off.
cut("g1", "silent")
cut("g2", "silent")
request_for("g1", "hall-begin-", 1500)
check_served("g1", "hall-cut-", 1500)
check_served("g2", "hall-cut-too-", 1500)
-- All instances are cut off: requests are refused at once, and not passed round.
cut("g3", "silent")
request_for("g3", "all-begin-", 1500)
local before = { g1 = count_passed("g1"), g2 = count_passed("g2"), g3 = count_passed("g3") }
local from = now_ms()
local sent, served, answers = request_for("g1", "all-cut-", 2000)
lib.check(served == 0, "served without a target")
for i, answer in ipairs(answers) do
	lib.check(answer.status == 503 and answer.head:lower():find("retry%-after:"), "all-cut-" .. i .. " got " .. answer.status .. " " .. answer.error)
end
lib.check(now_ms() - from < 2500, "a refusal took " .. now_ms() - from - 2000 .. " ms")
lib.check(count_passed("g2") == before.g2 and count_passed("g3") == before.g3, "a request was passed on twice")
lib.check(count_passed("g1") - before.g1 <= 40, "requests were passed on " .. count_passed("g1") - before.g1 .. " times although no instance reaches a target")
for _, name in ipairs{ "g1", "g2", "g3" } do cut(name, "pass") end
sleep_ms(1000)
-- An instance that starts while it reaches no target has no connections of before.
start("g4", "hall-b", "refuse")
check_served("g4", "fresh-", 2500)
-- A request that may run only once ran at most once, whichever instance sent it.
for id, runs in pairs((lib.count_runs())) do
	local number = tonumber(id:match("(%d+)$"))
	lib.check(runs == 1 or number % 3 == 0, id .. " ran " .. runs .. " times")
end
