-- Guards against requests that reach a service more often than the retry budget of all instances together allows: counted at the targets,
-- with 7 instances, in any ten seconds, while instances are killed, stopped, started, added and cut off, and pass requests on.
-- CASE in the environment chooses one series of faults instead of a mix of all, --seed their order.
local lib = require("lib")
local WINDOW_MS, RATIO, SLACK = 10000, 0.2, 54
local SPAN_MS = tonumber(os.getenv("SPAN_MS") or "14000") -- Length of the series.
local FIRST_PORT = 30000 + SEED * 20 % 2000
local INSTANCES = { g1 = "hall-a", g2 = "hall-a", g3 = "hall-a", g4 = "hall-b", g5 = "hall-b", g6 = "hall-b", g7 = "hall-b" }
math.randomseed(SEED)

lib.start_platform{ engines = 2, services = 3, event_ms = 10 }
lib.control("world", '{"keep_sends":true}')
local function route(name, prefix, kind, attempts)
	return string.format('{"name":"%s","host":"h.example","pathPrefix":"%s","routeType":"%s","service":"services","maxAttempts":%d,'
		.. '"timeoutMs":800,"targetLatencyMs":300,"priority":1}', name, prefix, kind, attempts)
end
lib.control("world", '{"config":{"version":2,"routes":[' .. route("once", "/o/", "non_idempotent", 1) .. "," .. route("repeat", "/r/", "idempotent", 2)
	.. '],"services":[{"name":"services"}],"limits":{"idleTimeoutMs":15000},"tenants":[{"name":"acme","apiKeys":["k1"]}]}}')
local targets, ports = {}, {}
for id, address in pairs(lib.record("world").targets) do
	if id:match("^service") then targets[#targets + 1], ports[#ports + 1] = id, address:match(":(%d+)$") end
end
table.sort(targets)
ports = table.concat(ports, " ")
local function services(action) for _, id in ipairs(targets) do lib.control("world", '{"target":"' .. id .. '",' .. action .. "}") end end

local up = {}
local function cut(name, mode) return write_file(name .. ".links", mode .. " " .. ports) end
local function start(name, hall, first)
	local index = tonumber(name:match("%d+"))
	local own = FIRST_PORT + 8 * index
	local settings = string.format('{"nodeName":"%s","zone":"%s","ip":"127.0.0.1","zones":{"hall-a":"r","hall-b":"r"},"listen":{"front":'
		.. '"127.0.0.1:%d","ready":"127.0.0.1:%d"},"internalPorts":[%d,%d],"platform":{"address":"%s"},"bootstrap":%s,"bounds":{"graceS":8,'
		.. '"contactMs":3000,"drainMs":2000,"retryBudgetRatio":%g,"budgetWindowS":10,"retrySlack":%g}}', name, hall, own + 3, own + 4, own, own + 2,
		lib.ports.world, tostring(first), RATIO, SLACK)
	lib.ports[name], lib.ports[name .. ".ready"] = "127.0.0.1:" .. own + 3, "127.0.0.1:" .. own + 4
	spawn(name, { "/usr/bin/env", "LD_PRELOAD=" .. BIN .. "/libcottonspool-links.so", "COTTONSPOOL_TEST_LINKS=" .. cut(name, "pass"),
		BIN .. "/cottonspool", "gateway", "--settings", write_file(name .. ".json", settings) })
	up[name] = true
end
local function tell_callers()
	local list = {}
	for name in pairs(up) do list[#list + 1] = string.format('"%s":"%s"', name, lib.ports[name]) end
	lib.control("callers", '{"instances":{' .. table.concat(list, ",") .. "}}")
end
for name, hall in pairs(INSTANCES) do start(name, hall, true) end
for name in pairs(INSTANCES) do lib.until_true(20000, name .. " is ready", function() return lib.is_ready(name) end) end
sleep_ms(1000)

local function pick() local names = {} for name in pairs(INSTANCES) do names[#names + 1] = name end table.sort(names) return names[math.random(#names)] end
local function restart(name, sign, away_ms)
	signal(name, sign)
	up[name] = nil
	tell_callers()
	wait_exit(name, sign == "TERM" and 9000 or 1000)
	sleep_ms(away_ms)
	start(name, INSTANCES[name], false)
	lib.until_true(5000, name .. " is ready", function() return lib.is_ready(name) end)
	tell_callers()
end

-- Faults, each of which takes some time.
local added = 0
local faults = {
	kill = function() restart(pick(), "KILL", 100) end,
	kill_all = function()
		for name in pairs(INSTANCES) do signal(name, "KILL") end
		for name in pairs(INSTANCES) do wait_exit(name, 1000) end
		for name, hall in pairs(INSTANCES) do start(name, hall, false) end
		for name in pairs(INSTANCES) do lib.until_true(8000, name .. " is ready", function() return lib.is_ready(name) end) end
		sleep_ms(1000)
	end,
	stop = function() restart(pick(), "TERM", 100) end,
	cut = function()
		local name = pick()
		cut(name, ({ "refuse", "silent", "reset" })[math.random(3)])
		sleep_ms(1000)
		cut(name, "pass")
	end,
	crash = function()
		lib.control("world", '{"do":"crash","back_ms":2000,"target":"' .. targets[math.random(#targets)] .. '"}')
		sleep_ms(600)
	end,
	join = function()
		added = added + 1
		if added > 3 then return end
		local name = "g" .. 7 + added
		INSTANCES[name] = added % 2 == 0 and "hall-a" or "hall-b"
		start(name, INSTANCES[name], false)
		lib.until_true(8000, name .. " is ready", function() return lib.is_ready(name) end)
		tell_callers()
	end,
	none = function() sleep_ms(500) end,
}

-- Returns the worst window of all, by the excess of its repeats over the bound.
local function worst_window(begun)
	local arrived, repeats = {}, {}
	for _, send in ipairs(lib.record("world").sends) do
		local id, at = send[2], send[3]
		if arrived[id] then repeats[#repeats + 1] = at end
		arrived[id] = true
	end
	local function count(times, from, to)
		local found = 0
		for _, at in ipairs(times) do if at > from and at <= to then found = found + 1 end end
		return found
	end
	local worst = { excess = -math.huge, repeats = 0, requests = 0 }
	for _, to in ipairs(repeats) do
		local from, requests = to - WINDOW_MS, 0
		for _, earlier in ipairs{ 0, WINDOW_MS / 2, WINDOW_MS } do requests = math.max(requests, count(begun, from - earlier, to - earlier)) end
		local found = count(repeats, from, to)
		if found - RATIO * requests - SLACK > worst.excess then
			worst = { excess = found - RATIO * requests - SLACK, repeats = found, requests = requests }
		end
	end
	return worst, #repeats
end

-- Runs faults beside callers, and returns what the callers' requests began and how often they arrived.
local function play(order, span_ms, once)
	lib.standin("callers", "callers", { seed = SEED, per_second = 60, streams = 0, once = once })
	tell_callers()
	local stop = now_ms() + span_ms
	while now_ms() < stop do faults[order[math.random(#order)]]() end
	lib.control("callers", '{"active":false}')
	sleep_ms(1200)
	local begun = {}
	for _, each in ipairs(json(lib.http{ url = "http://" .. lib.ports.callers .. "/take" }.body).ended) do begun[#begun + 1] = each.began end
	signal("callers", "KILL")
	wait_exit("callers", 1000)
	return begun
end

-- The service fails every request; each of them may be repeated once.
services('"do":"fail","part":1')
local chosen = os.getenv("CASE")
local begun = play(chosen and { chosen } or { "kill", "kill", "kill", "kill_all", "stop", "cut", "crash", "join" }, SPAN_MS, 0)
local worst, all = worst_window(begun)
print(string.format("%d requests, %d repeats; worst window: %d repeats of %d requests, excess %.1f", #begun, all, worst.repeats, worst.requests, worst.excess))
lib.check(all > 0, "no request was repeated")
lib.check(worst.excess <= 0, string.format("%d repeats of %d requests arrived in ten seconds", worst.repeats, worst.requests))

-- The service has few places, and half of the instances reach it only through others: a request that may be sent once is sent once.
services('"do":"fail","part":0')
services('"do":"slots","slots":1,"queue":0,"work_ms":60')
for name, hall in pairs(INSTANCES) do if hall == "hall-b" then cut(name, "silent") end end
local before = #lib.record("world").sends
play({ "none" }, 5000, 1)
local sends, arrived = lib.record("world").sends, {}
for i = before + 1, #sends do
	arrived[sends[i][2]] = (arrived[sends[i][2]] or 0) + 1
	lib.check(arrived[sends[i][2]] == 1, sends[i][2] .. " arrived " .. arrived[sends[i][2]] .. " times")
end
lib.check(output("g4"):find('"event":"passed%-on"') or output("g5"):find('"event":"passed%-on"'), "no request was passed on")
