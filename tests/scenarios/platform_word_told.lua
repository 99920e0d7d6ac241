-- Guards against announcements of a target (drain notice, rate limit and its end) that stay at the instance which received them: the others
-- get them as well, also while the store is unavailable, and so does an instance that starts later.
local lib = require("lib")
lib.start_platform{ engines = 2, services = 4, event_ms = 5 }
for i, name in ipairs{ "g1", "g2", "g3" } do lib.gateway(name, i == 2 and "hall-b" or "hall-a") end
sleep_ms(1500)

local function count_lines(name, pattern)
	local count = 0
	for _ in output(name):gmatch(pattern) do count = count + 1 end
	return count
end

local function wait_for_line(name, pattern, what)
	lib.until_true(1000, name .. " " .. what, function() return output(name):find(pattern) end)
end

local function request_some(name, prefix, count)
	for i = 1, count do
		local answer = http_wait(lib.request(name, "/r/x", prefix .. i))
		lib.check(answer.status == 200, prefix .. i .. ": " .. tostring(answer.status))
	end
end

-- Only the instance in its hall calls the service, and all learn that it drains although the store is unavailable.
lib.control("world", '{"store":"silent"}')
lib.control("world", '{"do":"say-leaving","target":"service-1"}')
request_some("g2", "leaving", 12)
for _, name in ipairs{ "g1", "g3" } do
	wait_for_line(name, '"event":"target%-leaving"[^\n]*service%-1[^\n]*"source":"peer"', "learns of the drain notice")
end

-- All instances learn the rate limit, also one that starts later.
lib.control("world", '{"store":"up"}')
sleep_ms(1500)
lib.control("world", '{"do":"limit","target":"service-3","per_s":"3"}')
request_some("g2", "limit", 6)
for _, name in ipairs{ "g1", "g3" } do
	wait_for_line(name, '"event":"target%-limit"[^\n]*service%-3[^\n]*"source":"peer","per_s":"3.000"', "learns of the limit")
end
lib.gateway("g4", "hall-a")
lib.until_true(3000, "an instance that starts later learns of the limit", function()
	return output("g4"):find('"event":"target%-limit"[^\n]*service%-3[^\n]*"source":"peer"')
end)

-- All instances learn that the limit ended.
lib.control("world", '{"do":"limit","target":"service-3","per_s":""}')
lib.until_true(12000, "the end of the limit is known", function()
	http_wait(lib.request("g2", "/r/x", "over" .. now_ms()))
	return output("g1"):find('"event":"target%-limit"[^\n]*service%-3[^\n]*"source":"peer","per_s":""')
end)
lib.check(count_lines("g1", '"event":"target%-limit"') <= 4, "more log lines about the limit than changes of it")
