-- Guards against requests without an end, and targets whose places are never given back, as an answer is cut after a part of it has reached its caller.
local lib = require("lib")
local REQUESTS = 12
lib.start_platform{ engines = 1, services = 3, answer_bytes = 9000000 }
lib.gateway("g1", "hall-a")
-- The first answer is a failure, the second one is cut; or the first one is cut, and there is a try left.
lib.control("world", '{"do":"fail","target":"service-0","part":1.0}')
for service = 1, 2 do lib.control("world", '{"do":"garble","target":"service-' .. service .. '","how":"cut"}') end
for i = 1, REQUESTS do
	local began = now_ms()
	local answer = http_wait(lib.request("g1", "/r/x", "call" .. i, { limit_ms = 6000 }))
	lib.check(now_ms() - began < 3000, "call" .. i .. " got no end within " .. now_ms() - began .. " ms")
	lib.check(answer.status ~= 200 or answer.error ~= "", "call" .. i .. " got a cut answer as a whole one")
end
for service = 0, 2 do lib.control("world", '{"do":"garble","target":"service-' .. service .. '","how":""}') end
lib.control("world", '{"do":"fail","target":"service-0","part":0.0}')
lib.until_true(8000, "sound answers arrive again", function() return http_wait(lib.request("g1", "/r/x", "after" .. now_ms())).status == 200 end)
for i = 1, 6 do http_wait(lib.request("g1", "/r/x", "sound" .. i)) end
for request, calls in output("g1"):gmatch('"event":"sent"[^\n]-"request":"(sound%d)"[^\n]-"own_calls":"(%d+)"') do
	lib.check(calls == "1", request .. " was sent to a target that still counts " .. calls - 1 .. " requests that have ended")
end
