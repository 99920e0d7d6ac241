-- Guards against requests at targets whose removal was acknowledged longer ago than the drain time, however short that is.
local lib = require("lib")
lib.start_platform{ engines = 1, services = 14, event_ms = 30, notice_ms = 100 }
local number = 0
-- Sends requests to both instances for a while; all of them have to be served.
local function serve(ms)
	local stop = now_ms() + ms
	while now_ms() < stop do
		local calls = {}
		for i = 1, 8 do
			number = number + 1
			calls[i] = lib.request("g" .. i % 2 + 1, "/o/x", "call" .. number)
		end
		for _, call in ipairs(calls) do
			local answer = http_wait(call)
			lib.check(answer.status == 200, "a request was answered with " .. tostring(answer.status))
		end
		sleep_ms(10)
	end
end
local first = 0
local function check_none_late(drain_ms)
	for _, late in ipairs(lib.record("world").late) do
		local is_earlier = tonumber(late.target:match("%d+")) < first
		lib.check(is_earlier or late.after_ms <= drain_ms, late.request .. " reached " .. late.target .. " after " .. late.after_ms .. " ms, allowed " .. drain_ms)
	end
end
for _, drain_ms in ipairs{ 2000, 700 } do
	lib.gateway("g1", "hall-a", nil, nil, nil, drain_ms)
	lib.gateway("g2", "hall-b", nil, nil, nil, drain_ms)
	serve(1500)
	-- None of them says that it drains, and all of them serve on.
	for service = first, first + 10, 2 do lib.control("world", '{"do":"vanish","target":"service-' .. service .. '"}') end
	serve(drain_ms + 500)
	check_none_late(drain_ms)
	if first > 0 then break end
	for _, name in ipairs{ "g1", "g2" } do
		signal(name, "KILL")
		wait_exit(name, 5000)
	end
	for service = 0, 13 do lib.control("world", '{"do":"kill","target":"service-' .. service .. '"}') end
	first = 20
	for service = first, first + 10 do lib.control("world", '{"do":"add","pool":"services","target":"service-' .. service .. '"}') end
end
