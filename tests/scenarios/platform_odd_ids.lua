-- Guards against instances that end with all their streams, as a caller's request id is not UTF-8 and its run is to be moved.
local lib = require("lib")
lib.start_platform{ engines = 4, services = 1, event_ms = 30 }
lib.gateway("g1", "hall-a")
lib.gateway("g2", "hall-b")
local calls, ids = {}, {}
for i = 1, 27 do
	ids[i] = i % 9 == 0 and "odd\xff" .. i or "run" .. i
	calls[i] = lib.request("g" .. i % 2 + 1, "/s/x", ids[i], { events = 90 })
end
sleep_ms(900)
for engine = 0, 2 do lib.control("world", '{"do":"leave","target":"engine-' .. engine .. '"}') end
for i, call in ipairs(calls) do lib.check_full_stream(http_wait(call), ids[i], 90) end
for _, name in ipairs{ "g1", "g2" } do lib.check(lib.is_ready(name), name .. " has ended") end
local moved = 0
for _, run in ipairs(lib.record("world").runs) do
	moved = moved + (run.resumed and 1 or 0)
	lib.check(not (run.resumed and run.request:find("odd")), "the run of " .. run.request .. " was moved")
end
lib.check(moved >= 6, "only " .. moved .. " runs migrated")
