-- Guards against acting on a store that was restored from an outdated copy: removed targets and evacuated halls get no new requests, targets
-- that the copy lacks stay in use, quarantined requests stay quarantined, also at an instance that starts then, and peer links stay up.
local lib = require("lib")
local NAMES = { "g1", "g2", "g3" }
lib.start_platform{ engines = 10, services = 4, event_ms = 10 }
-- The copy is taken before the instances start, so it lacks their rows.
lib.control("world", '{"do":"copy"}')
for i, name in ipairs(NAMES) do lib.gateway(name, i == 2 and "hall-b" or "hall-a") end

local request_count = 0
local function request_all(path, count, body)
	local answers, calls = {}, {}
	for i = 1, count do
		request_count = request_count + 1
		calls[i] = lib.request(NAMES[i % #NAMES + 1], path, "ask" .. request_count, { body = body or "body" .. request_count, events = body and 40 or 3, deadline = 2000 })
	end
	for i, call in ipairs(calls) do answers[i] = http_wait(call) end
	return answers
end

local function check_served(path, count, what)
	for i, answer in ipairs(request_all(path, count)) do
		lib.check(answer.status == 200, what .. ": answer " .. i .. " is " .. tostring(answer.status))
	end
end

-- Counts the runs since the last count for which test() is true.
local seen_runs = 0
local function count_new_runs(test)
	local runs, count = lib.record("world").runs, 0
	for i = seen_runs + 1, #runs do count = count + (test(runs[i]) and 1 or 0) end
	seen_runs = #runs
	return count
end

local function make_store_unavailable()
	lib.control("world", '{"store":"away"}')
	sleep_ms(600)
end

local function restore_store()
	make_store_unavailable()
	lib.control("world", '{"do":"return"}')
	lib.control("world", '{"store":"up"}')
	sleep_ms(400)
end

local function links_of(name)
	local figures = lib.http{ url = "http://" .. lib.ports[name .. ".metrics"] .. "/metrics" }.body
	return tonumber(figures:match("cottonspool_peer_links (%d+)")) or 0
end

check_served("/r/x", 6, "before")
check_served("/s/x", 6, "before")
lib.until_true(5000, "all instances are linked", function() return links_of("g1") >= 1 and links_of("g2") >= 1 and links_of("g3") >= 1 end)
local links = {}
for _, name in ipairs(NAMES) do links[name] = links_of(name) end

-- Not in the copy: one service drains, one is removed without notice and one starts; hall-b is evacuated; a request crashes engines.
lib.control("world", '{"do":"leave","target":"service-0"}')
lib.control("world", '{"do":"vanish","target":"service-2"}')
lib.control("world", '{"do":"add","target":"service-new","pool":"services"}')
for _ = 1, 4 do
	request_all("/s/x", 1, "crash me")
	sleep_ms(250)
end
local crashes = #lib.record("world").crashes
lib.check(crashes >= 2 and crashes <= 3, crashes .. " engines crashed before the store became unavailable")
sleep_ms(2200)
lib.control("world", '{"put":"evacuate/hall-b"}')
sleep_ms(600)
count_new_runs(function() return true end)
restore_store()

-- Operator and targets have not written their rows again yet.
local departed = function(run) return run.target == "service-0" or run.target == "service-2" end
local evacuated = function(run) return run.hall == "hall-b" end
local added = function(run) return run.target == "service-new" end
for _ = 1, 4 do
	request_all("/r/x", 12)
	request_all("/s/x", 6)
	sleep_ms(200)
	local before = seen_runs
	lib.check(count_new_runs(departed) == 0, "draining or removed targets got new requests")
	seen_runs = before
	lib.check(count_new_runs(evacuated) == 0, "an evacuated hall got new requests")
end
-- An instance that knows fewer engines in its hall widens its scope and opens another link; none is closed, not even for a moment.
for _, name in ipairs(NAMES) do
	lib.check(links_of(name) >= links[name], name .. " has lost links: " .. links_of(name) .. " of " .. links[name])
	lib.check(not output(name):find('"event":"peer-link-closed"', 1, true), name .. " has closed a link")
end
-- An instance that starts now reads from the store the crash records that the others have written again.
signal("g3", "KILL")
wait_exit("g3", 5000)
lib.gateway("g3", "hall-a")
sleep_ms(1000)
for i = 1, 6 do
	local answer = http_wait(lib.request(NAMES[i % 3 + 1], "/s/x", "again" .. i, { body = "crash me", deadline = 2000 }))
	lib.check(answer.status == 503, "a quarantined request was answered " .. tostring(answer.status))
end
lib.check(#lib.record("world").crashes == crashes, "a request quarantined before the store was restored crashed further engines")

-- All rows are written again: the hall stays evacuated until it is reinstated, and live targets are used.
lib.control("world", '{"again":"servers"}')
lib.control("world", '{"again":"op"}')
sleep_ms(500)
count_new_runs(function() return true end)
check_served("/r/x", 12, "written again")
local before = seen_runs
lib.check(count_new_runs(evacuated) == 0, "an evacuated hall got new requests after all rows were written again")
seen_runs = before
lib.control("world", '{"drop":"evacuate/hall-b"}')
sleep_ms(800)
count_new_runs(function() return true end)
request_all("/s/x", 30)
lib.check(count_new_runs(evacuated) > 0, "a reinstated hall gets no requests")
