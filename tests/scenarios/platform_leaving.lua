-- Guards against cut or repeated streams and new requests at engines that are preempted: their streams migrate.
local lib = require("lib")
lib.start_platform{ engines = 4, services = 1, event_ms = 30 }
lib.gateway("g1", "hall-a")
lib.gateway("g2", "hall-b")
local calls = {}
for i = 1, 24 do calls[i] = lib.request("g" .. i % 2 + 1, "/s/x", "run" .. i, { events = 90 }) end
sleep_ms(900)
for round, how in ipairs{ "leave", "vanish" } do
	lib.control("world", '{"do":"' .. how .. '","target":"engine-' .. round .. '"}')
	sleep_ms(700)
	lib.control("world", '{"do":"kill","target":"engine-' .. round .. '"}')
end
for i, call in ipairs(calls) do
	local answer = http_wait(call)
	lib.check(answer.status == 200, "run" .. i .. ": " .. tostring(answer.status))
	lib.check_full_stream(answer, "run" .. i, 90)
end
local counts, record = lib.count_runs()
local resumed = 0
for _, run in ipairs(record.runs) do resumed = resumed + (run.resumed and 1 or 0) end
for i = 1, 24 do lib.check(counts["run" .. i] == 1, "run" .. i .. " was started " .. tostring(counts["run" .. i]) .. " times") end
lib.check(resumed >= 6, "only " .. resumed .. " runs migrated")
lib.check(#record.late == 0, "requests that reached a draining engine: " .. #record.late)
-- The old engine has stopped a run before the new one is requested to continue it: tokens generated at both are wasted.
lib.check(#record.stops >= 6, "only " .. #record.stops .. " runs were stopped at their old engine")
lib.check(#record.overlaps == 0, #record.overlaps .. " runs were cancelled at their old engine after the request to the new one")
lib.check(#record.works_on == 0, "engines work on " .. #record.works_on .. " runs that others have resumed")
-- An engine crashes without notice: its stream is broken off and never looks complete.
local call = lib.request("g1", "/s/x", "lost", { events = 200 })
sleep_ms(500)
for _, engine in ipairs{ "engine-0", "engine-3" } do lib.control("world", '{"do":"kill","target":"' .. engine .. '"}') end
local answer = http_wait(call)
lib.check(answer.error ~= "" or answer.status ~= 200, "a stream of a crashed engine looks complete")
lib.check(lib.count_runs()["lost"] == 1, "a stream of a crashed engine was run again")
-- With no engine left a request is refused at once and does not run.
local began = now_ms()
answer = http_wait(lib.request("g1", "/s/x", "refused", { events = 5 }))
lib.check(answer.status == 503 and now_ms() - began < 1000, "refused with " .. tostring(answer.status) .. " after " .. now_ms() - began)
lib.check(lib.count_runs()["refused"] == nil, "a refused request ran")
