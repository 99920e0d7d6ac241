-- A machine that is suspended for seconds: the steady clock and timers stand still, the clock that counts suspension does not. What was
-- decided before is looked at anew: a limit that has passed is answered at once, and what the store told meanwhile is asked for.
local lib = require("lib")
lib.world{ engines = 2, services = 1, event_ms = 30 }
lib.gateway("g1", "hall-a")
local suspended = write_file("suspended", "0")
lib.gateway("g2", "hall-b", { "/usr/bin/env", "LD_PRELOAD=" .. BIN .. "/libcottonspool-clock.so", "COTTONSPOOL_TEST_SUSPENDED=" .. suspended })
local answer = http_wait(lib.ask("g2", "/s/x", "before", { events = 5 }))
lib.check(answer.status == 200, "before: " .. tostring(answer.status))
-- Two streams: one has time left after it, the other has not.
local long = lib.ask("g2", "/s/x", "long", { events = 60, deadline = 30000 })
local short = lib.ask("g2", "/s/x", "short", { events = 300, deadline = 6000 })
sleep_ms(300)
local began = now_ms()
write_file("suspended", "8000")
local cut = http_wait(short)
lib.check(cut.error ~= nil or cut.status ~= 200, "a stream whose limit passed while its machine was suspended looks whole")
lib.check(now_ms() - began < 1000, "its limit was noticed after " .. now_ms() - began .. " ms")
answer = http_wait(long)
lib.check(answer.status == 200, "the one with time left: " .. tostring(answer.status))
lib.whole_stream(answer, "long", 60)
lib.check(output("g2"):find('"event":"woke"', 1, true), "nothing was logged")
lib.check(not output("g1"):find('"event":"woke"', 1, true), "one that was not suspended says it was")
lib.until_true(3000, "it serves again", function() return http_wait(lib.ask("g2", "/s/x", "again" .. now_ms(), { events = 5 })).status == 200 end)
lib.check(http_wait(lib.ask("g2", "/r/x", "call")).status == 200, "a plain call")
-- The tables were asked for at once, not at the next turn of whoever reads them for all.
local woke = output("g2"):match('"event":"woke".*')
for _, table_name in ipairs{ "op", "servers" } do
	local asked = false
	for _, why in ipairs{ "catch%-up", "lost" } do
		asked = asked or woke:find('"table":"' .. table_name .. '","why":"' .. why .. '"') ~= nil
	end
	lib.check(asked, "the table " .. table_name .. " was not asked for after the wake")
end
