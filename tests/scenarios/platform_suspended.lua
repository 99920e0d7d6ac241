-- Guards against outdated decisions after a machine was suspended, when the monotonic clock and timers have stopped meanwhile: expired
-- deadlines are answered at once, and the store's tables are read again.
local lib = require("lib")
lib.start_platform{ engines = 2, services = 1, event_ms = 30 }
lib.gateway("g1", "hall-a")
local suspended = write_file("suspended", "0")
lib.gateway("g2", "hall-b", { "/usr/bin/env", "LD_PRELOAD=" .. BIN .. "/libcottonspool-clock.so", "COTTONSPOOL_TEST_SUSPENDED=" .. suspended })
local answer = http_wait(lib.request("g2", "/s/x", "before", { events = 5 }))
lib.check(answer.status == 200, "before: " .. tostring(answer.status))
-- Two streams: the deadline of one lies after the suspension, that of the other during it.
local long = lib.request("g2", "/s/x", "long", { events = 60, deadline = 30000 })
local short = lib.request("g2", "/s/x", "short", { events = 300, deadline = 6000 })
sleep_ms(300)
local began = now_ms()
write_file("suspended", "8000")
local cut = http_wait(short)
lib.check(cut.error ~= "" or cut.status ~= 200, "a stream whose deadline passed during the suspension looks complete")
lib.check(now_ms() - began < 1000, "the expired deadline was noticed after " .. now_ms() - began .. " ms")
answer = http_wait(long)
lib.check(answer.status == 200, "stream with time left: " .. tostring(answer.status))
lib.check_full_stream(answer, "long", 60)
lib.check(output("g2"):find('"event":"woke"', 1, true), "the wake was not logged")
lib.check(not output("g1"):find('"event":"woke"', 1, true), "an instance that was not suspended logged a wake")
lib.until_true(3000, "streams are served again", function() return http_wait(lib.request("g2", "/s/x", "again" .. now_ms(), { events = 5 })).status == 200 end)
lib.check(http_wait(lib.request("g2", "/r/x", "call")).status == 200, "service call is not answered 200")
-- The tables were requested at once, without waiting for the next regular poll.
local woke = output("g2"):match('"event":"woke".*')
for _, table_name in ipairs{ "op", "servers" } do
	local requested = false
	for _, why in ipairs{ "catch%-up", "lost" } do
		requested = requested or woke:find('"table":"' .. table_name .. '","why":"' .. why .. '"') ~= nil
	end
	lib.check(requested, "the table " .. table_name .. " was not requested after the wake")
end
