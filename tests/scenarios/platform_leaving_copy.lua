-- Guards against runs that are resumed at an engine whose removal was acknowledged longer ago than the drain time, as it held their copy.
local lib = require("lib")
local DRAIN_MS = 400
lib.start_platform{ engines = 3, services = 1, event_ms = 30, notice_ms = DRAIN_MS }
lib.gateway("g1", "hall-a", nil, nil, nil, DRAIN_MS)
-- The engine stops runs without an answer, and the ends of its streams are not marked: its instance waits until the answer is overdue.
lib.control("world", '{"do":"garble","target":"engine-0","how":"unframed"}')
lib.control("world", '{"do":"stop-failure","target":"engine-0","how":"silent"}')
local calls = {}
for i = 1, 12 do calls[i] = lib.request("g1", "/s/x", "run" .. i, { events = 120 }) end
sleep_ms(900)
lib.control("world", '{"do":"leave","target":"engine-0"}')
lib.until_true(2000, "a run is stopped", function() return #lib.record("world").stops > 0 end)
for engine = 1, 2 do lib.control("world", '{"do":"vanish","target":"engine-' .. engine .. '"}') end
local whole = 0
for i, call in ipairs(calls) do
	local answer = http_wait(call)
	if answer.error == "" then
		lib.check_full_stream(answer, "run" .. i, 120)
		whole = whole + 1
	end
end
local log = output("g1")
lib.check(log:find('"step":"stop","result":"unreachable"', 1, true), "no answer to a stopped run was overdue")
lib.check(whole > 0, "no run was finished at the engines that were removed later")
for _, late in ipairs(lib.record("world").late) do
	lib.check(late.target == "engine-0", late.request .. " reached " .. late.target .. " after " .. late.after_ms .. " ms, allowed " .. DRAIN_MS)
end
