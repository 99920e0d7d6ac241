-- Guards against instances that don't know the speeds which targets state: each learns them from answers, peers and probes, also of targets
-- without calls and when it starts later, with few health checks, and with none as long as no target states a speed.
local lib = require("lib")
lib.start_platform{ engines = 4, services = 2, event_ms = 5 }
lib.configure(2, nil, nil, '"healthPath":"/healthz",')
local names = { "g1", "g2", "g3" }
for i, name in ipairs(names) do lib.gateway(name, i == 2 and "hall-b" or "hall-a") end
sleep_ms(1500)

local function request_streams(prefix, count)
	for i = 1, count do
		local name = names[i % 3 + 1]
		local answer = http_wait(lib.request(name, "/s/x", prefix .. i, { events = 3 }))
		lib.check(answer.status == 200, prefix .. i .. ": " .. tostring(answer.status))
	end
end

local function wait_for_speed(name, target, factor, source)
	lib.until_true(5000, name .. " learns the speed of " .. target, function()
		return output(name):find('"event":"target%-speed"[^\n]*' .. target:gsub("%-", "%%-") .. '@[^\n]*"factor":"' .. factor .. '"'
			.. '[^\n]*"source":"' .. source)
	end)
end

local function health(target) return (lib.record("world").health or {})[target] or 0 end

-- As long as no target states its speed, there are neither probes nor speeds.
request_streams("none", 12)
for i = 0, 3 do lib.check(health("engine-" .. i) == 0, "engine-" .. i .. " was probed, and no target states its speed") end
for _, name in ipairs(names) do lib.check(not output(name):find("target%-speed"), name .. " knows a speed that nobody has stated") end

-- Once one answer states a speed, all instances know all engines.
local percents = { ["engine-0"] = "55", ["engine-1"] = "120", ["engine-2"] = "120", ["engine-3"] = "55" }
for target, percent in pairs(percents) do lib.control("world", '{"target":"' .. target .. '","percent":"' .. percent .. '"}') end
request_streams("stated", 3)
for _, name in ipairs(names) do
	for target, percent in pairs(percents) do wait_for_speed(name, target, string.format("%.3f", percent / 100), "") end
end

-- A target that starts is known everywhere without a call, after two probes.
lib.control("world", '{"do":"add","target":"engine-9","percent":"300"}')
for _, name in ipairs(names) do wait_for_speed(name, "engine-9", "3.000", "") end
sleep_ms(3000)
lib.check(health("engine-9") == 2, "the new engine got " .. health("engine-9") .. " probes instead of 2")
for target in pairs(percents) do lib.check(health(target) <= 4, target .. " got " .. health(target) .. " probes") end

-- An instance that starts later receives the speeds.
lib.gateway("g4", "hall-a")
for target, percent in pairs(percents) do wait_for_speed("g4", target, string.format("%.3f", percent / 100), "peer") end
local metrics = lib.http{ url = "http://" .. lib.ports["g4.metrics"] .. "/metrics" }.body
lib.check(metrics:find("cottonspool_targets_with_speed 5"), "the metric does not show five targets of known speed")

-- A restarted target is another incarnation, whose speed is found out anew.
lib.control("world", '{"do":"crash","target":"engine-0","back_ms":300,"percent":"137"}')
for _, name in ipairs(names) do wait_for_speed(name, "engine-0", "1.370", "") end

-- Figures that are no speed affect nothing.
lib.control("world", '{"target":"engine-1","percent":"garbled"}')
request_streams("garbled", 12)
for _, name in ipairs(names) do
	lib.check(not output(name):find('"event":"target%-speed"[^\n]*engine%-1@[^\n]*"before":"[%d]'), name .. " took a garbled speed")
end
