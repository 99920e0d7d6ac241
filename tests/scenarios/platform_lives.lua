-- Guards against mixing up the incarnations of a target that restarts under its id: the state of the old one must not apply to the new one,
-- and requests in flight at the old one fail at once and are not run again.
local lib = require("lib")
lib.start_platform{ engines = 3, services = 2, event_ms = 30 }
lib.gateway("g1", "hall-a")
lib.gateway("g2", "hall-b")

local function runs_at(target)
	local count = 0
	for _, run in ipairs(lib.record("world").runs) do count = count + (run.target == target and 1 or 0) end
	return count
end

local function request_round(prefix, count)
	for i = 1, count do
		local answer = http_wait(lib.request("g" .. i % 2 + 1, "/s/x", prefix .. i, { body = prefix .. i, events = 5 }))
		lib.check(answer.status == 200, prefix .. i .. ": " .. tostring(answer.status))
	end
end

-- A draining engine stops and restarts under its id: it gets work again.
lib.control("world", '{"do":"leave","target":"engine-0"}')
sleep_ms(400)
lib.control("world", '{"do":"crash","target":"engine-0","back_ms":3000}')
sleep_ms(200)
local before = runs_at("engine-0")
request_round("without", 6)
lib.check(runs_at("engine-0") == before, "a draining or stopped engine got work")
sleep_ms(3000)
for _, engine in ipairs{ "engine-1", "engine-2" } do lib.control("world", '{"do":"leave","target":"' .. engine .. '"}') end
sleep_ms(300)
request_round("again", 4)
lib.check(runs_at("engine-0") >= before + 4, "an engine that restarted under its id got no work")

-- Connections to the old incarnation stay open but silent: the row of the new one shows that the old runs have failed.
local hanging = {}
for i = 1, 4 do hanging[i] = lib.request("g" .. i % 2 + 1, "/s/x", "hanging" .. i, { body = "hanging" .. i, events = 400 }) end
sleep_ms(500)
lib.control("world", '{"do":"hang","target":"engine-0"}')
local began = now_ms()
for i, call in ipairs(hanging) do
	local answer = http_wait(call)
	lib.check(answer.error ~= "" or answer.status ~= 200, "hanging" .. i .. " looks complete")
end
lib.check(now_ms() - began < 1500, "callers of an ended incarnation got their failure after " .. now_ms() - began .. " ms")
sleep_ms(200)
request_round("after", 4)
local counts = lib.count_runs()
for i = 1, 4 do lib.check(counts["hanging" .. i] == 1, "hanging" .. i .. " ran " .. tostring(counts["hanging" .. i]) .. " times") end

-- Services restart with calls in flight: non-idempotent calls are not run again.
local calls = {}
for i = 1, 6 do calls[i] = lib.request("g1", "/o/x", "once" .. i, { body = "once" .. i }) end
for _, service in ipairs{ "service-0", "service-1" } do lib.control("world", '{"do":"crash","target":"' .. service .. '","back_ms":200}') end
for _, call in ipairs(calls) do http_wait(call) end
sleep_ms(500)
counts = lib.count_runs()
for i = 1, 6 do lib.check((counts["once" .. i] or 0) <= 1, "once" .. i .. " ran " .. tostring(counts["once" .. i]) .. " times") end
lib.check(http_wait(lib.request("g2", "/r/x", "back")).status == 200, "restarted services serve nothing")
