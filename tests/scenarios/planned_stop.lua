-- Guards against calls cut by a planned stop: each instance is restarted in turn under load.
local lib = require("lib")
lib.standin("platform", "platform")
local change = "[model.small]\n" .. lib.account("kiosk")
for i = 1, 4 do
	local name = "engine" .. i
	change = change .. lib.target(name, lib.standin(name, "engine", { name = name, step_ms = 4 }), "hall-" .. (i % 2 + 1), "small")
end
for i = 1, 2 do
	change = change .. lib.target("pay" .. i, lib.standin("pay" .. i, "service"), "hall-" .. i, "pay", 'kind = "service"')
end
local names = {}
for i = 1, 8 do
	names[i] = "i" .. i
	lib.instance(names[i], { hall = "hall-" .. (i % 2 + 1), extra = { stop = { "notice_ms = 600" } } })
end
lib.apply(change)
for _, name in ipairs(names) do lib.ready(name, 6) end

-- Acts as the load balancer: picks a ready instance, with readiness checked again every 200 ms.
local ready, checked_at = {}, 0
local function pick_ready()
	if now_ms() - checked_at > 200 then
		ready, checked_at = {}, now_ms()
		for _, name in ipairs(names) do
			if lib.http{ url = "http://" .. lib.ports[name] .. "/readyz", limit_ms = 300 }.status == 200 then ready[#ready + 1] = name end
		end
	end
	return ready[math.random(#ready)]
end

local calls = {}
local function send_calls(count)
	for i = 1, count do
		calls[#calls + 1] = lib.complete(pick_ready(), { tokens = i % 10 == 0 and 400 or 40, class = "stream" })
		calls[#calls + 1] = lib.complete(pick_ready(), { tokens = 30, stream = false })
		calls[#calls + 1] = lib.pay(pick_ready(), "k" .. #calls, "pay")
		sleep_ms(25)
	end
end
send_calls(20)
for _, name in ipairs(names) do
	signal(name, "TERM")
	while not wait_exit(name, 1) do send_calls(2) end
	lib.check(wait_exit(name, 1) == 0, name .. " did not exit with code 0: " .. tostring(wait_exit(name, 1)))
	lib.check(output(name):find("event=stopped instance=" .. name .. " cut=0"), name .. " cut calls")
	lib.instance(name, { hall = "hall-1", extra = { stop = { "notice_ms = 600" } } })
	send_calls(4)
end
for i, call in ipairs(calls) do
	local answer = http_wait(call)
	lib.check(answer.status == 200, "call " .. i .. ": " .. answer.status .. " " .. answer.error .. " " .. answer.body)
	if answer.body:find("^id: ") then
		local _, complete, failure = lib.check_stream(answer.body)
		lib.check(complete, "call " .. i .. ": stream cut: " .. tostring(failure))
	end
end
print("calls during the rolling restart: " .. #calls)
-- An instance with a long stream in flight completes it before it stops.
local long = lib.complete("i1", { tokens = 900, class = "stream" })
sleep_ms(300)
signal("i1", "TERM")
lib.until_true(5000, "the stopping instance is no longer ready", function() return lib.http{ url = "http://" .. lib.ports.i1 .. "/readyz" }.status == 503 end)
local count, complete = lib.check_stream(http_wait(long).body)
lib.check(complete and count == 900, "events of a long stream across a stop: " .. count)
lib.check(wait_exit("i1", 10000) == 0, "i1 did not stop")
