-- Guards against runs that go on at another engine while the engine that they left, which does not drop them with their connection, works on.
local lib = require("lib")
lib.start_platform{ engines = 9, services = 1, event_ms = 30, keeping_engines = 4 }
lib.gateway("g1", "hall-a")
lib.gateway("g2", "hall-b")
-- The streams of one engine have neither a length nor chunks, so that stopping a run looks like the end of its stream.
lib.control("world", '{"do":"garble","target":"engine-1","how":"unframed"}')
-- An engine is busy at first, a stopped run finds no room at the other engine, or the engine does not answer.
lib.control("world", '{"do":"stop-failure","target":"engine-0","how":"busy"}')
lib.control("world", '{"do":"stop-failure","target":"engine-2","how":"no-room"}')
lib.control("world", '{"do":"stop-failure","target":"engine-3","how":"silent"}')
-- Some of the other engines refuse a run that was stopped for them; it returns to its own.
for engine = 4, 8 do lib.control("world", '{"do":"refuse-resumes","target":"engine-' .. engine .. '","count":1}') end
local calls = {}
for i = 1, 48 do calls[i] = lib.request("g" .. i % 2 + 1, "/s/x", "run" .. i, { events = 120 }) end
sleep_ms(900)
for leaver = 0, 3 do
	lib.control("world", '{"do":"leave","target":"engine-' .. leaver .. '"}')
	sleep_ms(200)
end
for i, call in ipairs(calls) do lib.check_full_stream(http_wait(call), "run" .. i, 120) end
-- A run that its engine did not stop ends there, with an end that is not marked, or with its engine.
lib.control("world", '{"do":"garble","target":"engine-4","how":"unframed"}')
for engine = 4, 8 do lib.control("world", '{"do":"stop-failure","target":"engine-' .. engine .. '","how":"absent"}') end
local kept = {}
for i = 61, 84 do kept[i] = lib.request("g" .. i % 2 + 1, "/s/x", "run" .. i, { events = 60 }) end
sleep_ms(700)
lib.control("world", '{"do":"leave","target":"engine-4"}')
lib.control("world", '{"do":"leave","target":"engine-5"}')
sleep_ms(500)
lib.control("world", '{"do":"kill","target":"engine-5"}')
local killed_at, broken = now_ms(), 0
for i, call in pairs(kept) do
	local answer = http_wait(call)
	if answer.error == "" then lib.check_full_stream(answer, "run" .. i, 60) else broken = broken + 1 end
end
lib.check(broken > 0, "no run was lost with its engine")
lib.check(now_ms() - killed_at < 3000, "callers waited " .. now_ms() - killed_at .. " ms for runs that had ended")
for engine = 6, 8 do lib.control("world", '{"do":"stop-failure","target":"engine-' .. engine .. '","how":""}') end
-- A run is resumed from its backup, as its stream is silent, while its engine is well.
lib.gateway("g3", "hall-a", nil, nil, "backups")
for i = 49, 60 do calls[i] = lib.request("g3", "/s/x", "run" .. i, { events = 150 }) end
sleep_ms(900)
for engine = 6, 8 do lib.control("world", '{"do":"mute","target":"engine-' .. engine .. '","keeps_runs":true}') end
sleep_ms(300)
for engine = 6, 8 do lib.control("world", '{"do":"mute","target":"engine-' .. engine .. '","on":false}') end
sleep_ms(4500)
local record, stopped = lib.record("world"), {}
for _, stop in ipairs(record.stops) do stopped[stop.target] = (stopped[stop.target] or 0) + 1 end
lib.check(#record.works_on == 0, "engines work on " .. #record.works_on .. " runs that others have resumed")
lib.check((output("g1") .. output("g2")):find('"step":"return"', 1, true), "no run has returned to its engine")
local from_backup = 0
for i = 49, 60 do from_backup = from_backup + (output("g3"):find('"request":"run' .. i .. '","step":"from-copy"', 1, true) and 1 or 0) end
lib.check(from_backup > 0, "no run was resumed from its backup")
for leaver = 0, 3 do lib.check(stopped["engine-" .. leaver], "no run of engine-" .. leaver .. " was stopped") end
