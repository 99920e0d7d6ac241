-- Guards against a copy that stays counted at the engine that holds it, as its run reaches its time limit before it is resumed.
local lib = require("lib")
lib.start_platform{ engines = 3, services = 1, event_ms = 30 }
lib.gateway("g1", "hall-a")
-- The engine stops runs without an answer, and the ends of its streams are not marked: its instance waits until the answer is overdue.
lib.control("world", '{"do":"garble","target":"engine-0","how":"unframed"}')
lib.control("world", '{"do":"stop-failure","target":"engine-0","how":"silent"}')
local calls = {}
for i = 1, 12 do calls[i] = lib.request("g1", "/s/x", "run" .. i, { events = 200, deadline = 1400 }) end
sleep_ms(800)
lib.control("world", '{"do":"leave","target":"engine-0"}')
for _, call in ipairs(calls) do http_wait(call) end
lib.check(output("g1"):find('"step":"stop","result":"asked"', 1, true), "no run was being moved at its time limit")
-- Reports of engines at which no request is counted are not fetched.
sleep_ms(1500)
local before = lib.record("world").reports
sleep_ms(2500)
local reports = lib.record("world").reports - before
lib.check(reports == 0, reports .. " reports were fetched, so that something is still counted at an engine")
