-- Guards against instances that give out their shares of a cold target anew when they start again.
local lib = require("lib")
local PER_S, MAX_PER_S = 32, 32 * 1.5 + 5
local NAMES = { "g1", "g2", "g3" }
lib.start_platform{ engines = 1, services = 1 }
lib.control("world", '{"keep_sends":true,"config":{"version":2,"routes":[{"name":"once","host":"h.example","pathPrefix":"/o/","routeType":"non_idempotent",'
	.. '"service":"services","maxAttempts":1,"timeoutMs":2000,"targetLatencyMs":300,"priority":1}],"services":[{"name":"services","coldStartS":3,"coldPerS":'
	.. PER_S .. '}],"limits":{"idleTimeoutMs":15000},"tenants":[{"name":"acme","apiKeys":["k1"]}]}}')
lib.standin("callers", "callers", { seed = SEED, per_second = 300, streams = 0, once = 1 })
local function start_all()
	local list = {}
	for i, name in ipairs(NAMES) do
		lib.gateway(name, "hall-a")
		list[i] = string.format('"%s":"%s"', name, lib.ports[name])
	end
	lib.control("callers", '{"instances":{' .. table.concat(list, ",") .. "}}")
end
start_all()
-- What the instances hold back at their own start is over.
sleep_ms(2500)
lib.control("world", '{"do":"cold","ms":8000,"target":"service-0"}')
sleep_ms(100)
local cold_at = now_ms()
for _ = 1, 2 do
	sleep_ms(300)
	for _, name in ipairs(NAMES) do signal(name, "KILL") end
	for _, name in ipairs(NAMES) do wait_exit(name, 1000) end
	start_all()
end
local started_at = now_ms()
sleep_ms(5000)
lib.control("callers", '{"active":false}')
local times, most, late = {}, 0, 0
for _, send in ipairs(lib.record("world").sends) do
	local at = send[3]
	if at > cold_at then times[#times + 1] = at end
	if at > started_at + 3000 and at <= started_at + 5000 then late = late + 1 end
end
for first = 1, #times do
	local last = first
	while last < #times and times[last + 1] < times[first] + 1000 do last = last + 1 end
	most = math.max(most, last - first + 1)
end
print("a cold target got " .. #times .. " requests, at most " .. most .. " in a second; " .. late .. " in the last two seconds")
lib.check(most <= MAX_PER_S, "a cold target got " .. most .. " requests in a second")
-- Shares hold for 1.2 s each, as requests may arrive late.
lib.check(late >= 0.8 * 2 * PER_S / 1.2, "three seconds after their start, the instances sent it only " .. late .. " requests in two seconds")
