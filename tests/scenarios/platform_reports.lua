-- Guards against load reports that are fetched as seldom as usual while the store is unavailable, when only they tell that an engine drains.
local lib = require("lib")
lib.start_platform{ engines = 1, services = 1, event_ms = 20 }
lib.gateway("g1", "hall-a")
local call = lib.request("g1", "/s/x", "long", { events = 500 })
sleep_ms(800)

-- Returns the mean interval between the reports that the busy engine gave out within a time.
local function report_interval(span_ms)
	local before, began = lib.record("world").reports, now_ms()
	sleep_ms(span_ms)
	return (now_ms() - began) / math.max(1, lib.record("world").reports - before)
end

local usual = report_interval(3000)
lib.check(usual >= 400, "reports were fetched every " .. usual .. " ms while the store was available")
lib.control("world", '{"store":"silent"}')
lib.until_true(8000, "g1 notices that the store is unavailable", function() return output("g1"):find('"event":"store-lost"', 1, true) end)
sleep_ms(700) -- The next report was scheduled before.
local down = report_interval(3000)
lib.check(down <= 330, "reports were fetched every " .. down .. " ms while the store was unavailable")
-- An engine that announces its drain only in its report is noticed in time for its run to be saved.
lib.control("world", '{"do":"vanish","target":"engine-0"}')
lib.until_true(700, "g1 notices the drain notice", function()
	return output("g1"):find('"event":"target-leaving"', 1, true)
end)
lib.control("world", '{"store":"up"}')
lib.check_full_stream(http_wait(call), "long", 500)
