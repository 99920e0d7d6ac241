-- Guards against useless requests to copy runs that wait at a draining engine, and against runs that are sent again or lost there.
local lib = require("lib")
lib.start_platform{ engines = 4, services = 1, event_ms = 20 }
lib.gateway("g1", "hall-a")
lib.gateway("g2", "hall-b")

local killed = {}

local function kill(engine)
	killed[engine] = true
	lib.control("world", '{"do":"kill","target":"' .. engine .. '"}')
end

local function each_engine(text)
	for i = 0, 3 do lib.control("world", string.format(text, "engine-" .. i)) end
end

-- Returns the requests to copy runs of an engine: their number, and the number of each run's ones that were answered with 404.
local function copy_requests(engine)
	local count, in_vain = 0, {}
	for _, each in ipairs(lib.record("world").copy_requests) do
		if each.target == engine then
			count = count + 1
			if not each.runs then in_vain[each.request] = (in_vain[each.request] or 0) + 1 end
		end
	end
	return count, in_vain
end

-- Returns the engine at which most of the requests with a prefix were started, and how many.
local function busiest(prefix)
	local counts, best = {}, nil
	for _, run in ipairs(lib.record("world").runs) do
		if run.request:find(prefix, 1, true) == 1 then
			counts[run.target] = (counts[run.target] or 0) + 1
			if not best or counts[run.target] > counts[best] then best = run.target end
		end
	end
	return best, counts[best]
end

local function start(prefix, count, events)
	local calls = {}
	-- The bodies differ, so that a crash during one request does not quarantine the others.
	for i = 1, count do calls[i] = lib.request("g" .. i % 2 + 1, "/s/x", prefix .. i, { events = events, body = prefix .. i }) end
	lib.until_true(3000, prefix .. " runs start", function()
		local started = 0
		for _, run in ipairs(lib.record("world").runs) do started = started + (run.request:find(prefix, 1, true) == 1 and 1 or 0) end
		return started >= count
	end)
	return calls
end

-- Checks that all streams are complete and that each request was executed once; returns how many runs migrated from the engine.
local function finish(calls, prefix, events)
	for i, call in ipairs(calls) do
		local answer = http_wait(call)
		lib.check(answer.status == 200, prefix .. i .. ": " .. tostring(answer.status))
		lib.check_full_stream(answer, prefix .. i, events)
	end
	local counts, record = lib.count_runs()
	for i = 1, #calls do lib.check(counts[prefix .. i] == 1, prefix .. i .. " was started " .. tostring(counts[prefix .. i]) .. " times") end
	local resumed = 0
	for _, run in ipairs(record.runs) do resumed = resumed + (run.resumed and run.request:find(prefix, 1, true) == 1 and 1 or 0) end
	return resumed
end

-- Runs that wait from the beginning: their engine has nothing to copy before their first event.
each_engine('{"do":"stall","target":"%s"}')
local calls = start("waits", 8, 80)
local engine, waiting = busiest("waits")
lib.control("world", '{"do":"leave","target":"' .. engine .. '"}')
sleep_ms(700)
local count = copy_requests(engine)
lib.check(count == 0, count .. " copies of runs without an event were requested from " .. engine)
each_engine('{"do":"stall","target":"%s","on":false}')
sleep_ms(600)
kill(engine)
local resumed = finish(calls, "waits", 80)
lib.check(resumed >= waiting, "of " .. waiting .. " runs that waited " .. resumed .. " migrated")

-- Runs that are preempted: one request for each may be in vain, the next one follows the run's next event.
calls = start("stops", 8, 120)
sleep_ms(300)
engine, waiting = busiest("stops")
lib.control("world", '{"do":"stall","target":"' .. engine .. '"}')
sleep_ms(100)
lib.control("world", '{"do":"leave","target":"' .. engine .. '"}')
sleep_ms(700)
local _, in_vain = copy_requests(engine)
for run, times in pairs(in_vain) do lib.check(times == 1, times .. " copies of the preempted " .. run .. " were requested in vain") end
lib.control("world", '{"do":"stall","target":"' .. engine .. '","on":false}')
sleep_ms(600)
kill(engine)
resumed = finish(calls, "stops", 120)
lib.check(resumed >= waiting, "of " .. waiting .. " preempted runs " .. resumed .. " migrated")

-- An engine ends while runs wait there: they may have run, so that they are lost and not sent again.
each_engine('{"do":"stall","target":"%s"}')
calls = start("ends", 4, 40)
engine, waiting = busiest("ends")
lib.control("world", '{"do":"leave","target":"' .. engine .. '"}')
sleep_ms(300)
kill(engine)
each_engine('{"do":"stall","target":"%s","on":false}')
local lost = 0
for _, call in ipairs(calls) do
	local ended = http_wait(call)
	lost = lost + ((ended.error ~= "" or ended.status ~= 200) and 1 or 0)
end
lib.check(lost == waiting, "of " .. waiting .. " runs that waited at an engine that ended " .. lost .. " were lost")
local runs = lib.count_runs()
for i = 1, 4 do lib.check(runs["ends" .. i] == 1, "ends" .. i .. " was started " .. tostring(runs["ends" .. i]) .. " times") end

-- No engine is left for a run: one log line tells it, however often the choice is repeated.
calls = start("stays", 2, 150)
for i = 0, 3 do
	local name = "engine-" .. i
	if not killed[name] then lib.control("world", '{"do":"leave","target":"' .. name .. '"}') end
end
finish(calls, "stays", 150)
local lines = {}
for _, name in ipairs{ "g1", "g2" } do
	for line in output(name):gmatch("[^\n]+") do
		local request = line:find('"event":"move"', 1, true) and line:find('"step":"no-engine"', 1, true) and line:match('"request":"(stays%d+)"')
		if request then lines[request] = (lines[request] or 0) + 1 end
	end
end
for i = 1, 2 do lib.check(lines["stays" .. i] == 1, "stays" .. i .. ": " .. tostring(lines["stays" .. i]) .. " lines that no engine has headroom") end
