-- Engines that are reclaimed at short notice: their streams go on elsewhere, each event once, and nothing new reaches them.
local lib = require("lib")
lib.world{ engines = 4, services = 1, event_ms = 30 }
lib.gateway("g1", "hall-a")
lib.gateway("g2", "hall-b")
local calls = {}
for i = 1, 24 do calls[i] = lib.ask("g" .. i % 2 + 1, "/s/x", "run" .. i, { events = 90 }) end
sleep_ms(900)
for round, how in ipairs{ "leave", "vanish" } do
	lib.control("world", '{"do":"' .. how .. '","target":"engine-' .. round .. '"}')
	sleep_ms(700)
	lib.control("world", '{"do":"kill","target":"engine-' .. round .. '"}')
end
for i, call in ipairs(calls) do
	local answer = http_wait(call)
	lib.check(answer.status == 200, "run" .. i .. ": " .. tostring(answer.status))
	lib.whole_stream(answer, "run" .. i, 90)
end
local counts, record = lib.world_runs()
local resumed = 0
for _, run in ipairs(record.runs) do resumed = resumed + (run.resumed and 1 or 0) end
for i = 1, 24 do lib.check(counts["run" .. i] == 1, "run" .. i .. " began " .. tostring(counts["run" .. i]) .. " times") end
lib.check(resumed >= 6, "only " .. resumed .. " runs moved")
lib.check(#record.late == 0, "requests that reached a leaving engine: " .. #record.late)
-- The old engine stops as soon as the new one was asked: what it would still make, the new one makes again first.
table.sort(record.overlaps)
lib.check(#record.overlaps >= 6, "only " .. #record.overlaps .. " runs were given up at their old engine")
local middle = record.overlaps[math.ceil(#record.overlaps / 2)]
lib.check(middle <= 40, "old engines went on for " .. middle .. " ms (median) after the new ones were asked")
-- An engine that is lost without notice: the stream is broken off, and never looks whole.
local call = lib.ask("g1", "/s/x", "lost", { events = 200 })
sleep_ms(500)
for _, engine in ipairs{ "engine-0", "engine-3" } do lib.control("world", '{"do":"kill","target":"' .. engine .. '"}') end
local answer = http_wait(call)
lib.check(answer.error ~= nil or answer.status ~= 200, "a stream that was lost looks whole")
lib.check(lib.world_runs()["lost"] == 1, "a lost stream was run again")
-- With no engine left the refusal is true, comes at once, and says when to come back.
local began = now_ms()
answer = http_wait(lib.ask("g1", "/s/x", "refused", { events = 5 }))
lib.check(answer.status == 503 and now_ms() - began < 1000, "refused with " .. tostring(answer.status) .. " after " .. now_ms() - began)
lib.check(lib.world_runs()["refused"] == nil, "a refused request ran")
