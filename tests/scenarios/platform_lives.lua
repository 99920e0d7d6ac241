-- Targets that start again under the id that they had. What was true of the former life is not true of the new one, and what was under
-- way there has failed: it may have run, so nothing of it is run again, and its callers hear of it at once.
local lib = require("lib")
lib.world{ engines = 3, services = 2, event_ms = 30 }
lib.gateway("g1", "hall-a")
lib.gateway("g2", "hall-b")

local function runs_at(target)
	local count = 0
	for _, run in ipairs(lib.record("world").runs) do count = count + (run.target == target and 1 or 0) end
	return count
end

local function ask_round(prefix, count)
	for i = 1, count do
		local answer = http_wait(lib.ask("g" .. i % 2 + 1, "/s/x", prefix .. i, { body = prefix .. i, events = 5 }))
		lib.check(answer.status == 200, prefix .. i .. ": " .. tostring(answer.status))
	end
end

-- An engine says that it leaves, ends, and comes back under its id: it gets work again.
lib.control("world", '{"do":"leave","target":"engine-0"}')
sleep_ms(400)
lib.control("world", '{"do":"crash","target":"engine-0","back_ms":3000}')
sleep_ms(200)
local before = runs_at("engine-0")
ask_round("without", 6)
lib.check(runs_at("engine-0") == before, "an engine that left got work")
sleep_ms(3000)
for _, engine in ipairs{ "engine-1", "engine-2" } do lib.control("world", '{"do":"leave","target":"' .. engine .. '"}') end
sleep_ms(300)
ask_round("again", 4)
lib.check(runs_at("engine-0") >= before + 4, "an engine that started again under its id got no work")

-- Connections to the former life say nothing any more (it ended behind a cut): the new life's row tells that those runs have failed.
local hanging = {}
for i = 1, 4 do hanging[i] = lib.ask("g" .. i % 2 + 1, "/s/x", "hanging" .. i, { body = "hanging" .. i, events = 400 }) end
sleep_ms(500)
lib.control("world", '{"do":"hang","target":"engine-0"}')
local began = now_ms()
for i, call in ipairs(hanging) do
	local answer = http_wait(call)
	lib.check(answer.error ~= nil or answer.status ~= 200, "hanging" .. i .. " looks whole")
end
lib.check(now_ms() - began < 1500, "callers of a life that ended heard of it after " .. now_ms() - began .. " ms")
sleep_ms(200)
ask_round("after", 4)
local counts = lib.world_runs()
for i = 1, 4 do lib.check(counts["hanging" .. i] == 1, "hanging" .. i .. " ran " .. tostring(counts["hanging" .. i]) .. " times") end

-- A service that comes back with a failed call in its former life: what may run once is not run again.
local calls = {}
for i = 1, 6 do calls[i] = lib.ask("g1", "/o/x", "once" .. i, { body = "once" .. i }) end
for _, service in ipairs{ "service-0", "service-1" } do lib.control("world", '{"do":"crash","target":"' .. service .. '","back_ms":200}') end
for _, call in ipairs(calls) do http_wait(call) end
sleep_ms(500)
counts = lib.world_runs()
for i = 1, 6 do lib.check((counts["once" .. i] or 0) <= 1, "once" .. i .. " ran " .. tostring(counts["once" .. i]) .. " times") end
lib.check(http_wait(lib.ask("g2", "/r/x", "back")).status == 200, "services that started again serve nothing")
