-- Guards against new work at a draining target, whether the target, an operator, the instance list or a policy says that it drains.
local lib = require("lib")
local GRACE_MS = 3000
lib.standin("platform", "platform")
local engines = {}
local change = "[model.small]\n" .. lib.account("kiosk")
for i = 1, 5 do
	local name = "engine" .. i
	engines[i] = lib.standin(name, "engine", { name = name, step_ms = 3 })
	change = change .. lib.target(name, engines[i], "hall-a", "small")
end
change = change .. lib.target("pay1", lib.standin("pay1", "service"), "hall-a", "pay", 'kind = "service"')
	.. lib.target("pay2", lib.standin("pay2", "service"), "hall-a", "pay", 'kind = "service"')
for i = 1, 3 do lib.instance("i" .. i, { hall = "hall-" .. i }) end
lib.apply(change)
for i = 1, 3 do lib.ready("i" .. i, 7) end

-- Sends calls to all instances while trigger() starts the drain and afterwards; checks that no run starts at the target after GRACE_MS.
local function check_drain(target, what, trigger)
	local calls = {}
	local function send_calls(count)
		for i = 1, count do
			calls[#calls + 1] = lib.complete("i" .. (i % 3 + 1), { tokens = 30, class = "stream" })
			calls[#calls + 1] = http_start{ url = "http://" .. lib.ports["i" .. (i % 3 + 1)] .. "/services/pay/x",
				headers = { "Authorization: Bearer kiosk-key" } }
			sleep_ms(12)
		end
	end
	send_calls(20)
	local noticed = now_ms()
	trigger()
	while now_ms() < noticed + GRACE_MS do send_calls(8) end
	local allowed = now_ms()
	send_calls(60)
	for _, call in ipairs(calls) do
		local answer = http_wait(call)
		lib.check(answer.status == 200, what .. ": call failed: " .. answer.status .. " " .. answer.body)
		if answer.body:find("^id: ") then
			local count, complete = lib.check_stream(answer.body)
			lib.check(complete and count == 30, what .. ": a stream was cut after " .. count)
		end
	end
	local last = 0
	for _, run in ipairs(lib.record(target).runs) do last = math.max(last, run.at) end
	lib.check(last < allowed, what .. ": " .. target .. " got new work " .. (last - noticed) .. " ms after the notice")
	print(string.format("%s: last new work %d ms after the notice", what, last - noticed))
end

check_drain("engine1", "own notice", function() lib.control("engine1", '{"leaving":true}') end)
check_drain("engine2", "operator", function()
	local code, out = lib.operator({ "drain", "engine2", "--author", "night-shift", "--wait_s", "20" })
	lib.check(code == 0 and out:find("engine2 is empty"), "drain: " .. out)
end)
check_drain("pay1", "instance list", function()
	sleep_ms(800) -- Lets the instance list fall behind.
	lib.control("platform", '{"instances":[{"name":"engine4","leaving":false},{"name":"pay1","leaving":true}]}')
end)
check_drain("engine3", "policy", function()
	lib.apply("[policy.default]\nprogram = \"function drain(target) return target.name == 'engine3' end\"\n")
end)
lib.apply("[policy.default]\nremoved = true\n")
-- A drain notice persists after its policy is removed, while the platform is down and the list is silent.
lib.control("platform", '{"down":true}')
check_drain("engine3", "sticky with the platform down", function() end)
check_drain("engine4", "own notice with the platform down", function() lib.control("engine4", '{"leaving":true}') end)
lib.control("platform", '{"down":false}')
-- A restarted target is used again once no source says that it drains.
signal("engine1", "KILL")
wait_exit("engine1", 5000)
local port = engines[1]:match(":(%d+)")
lib.standin("engine1", "engine", { name = "engine1", port = port, step_ms = 3 })
lib.until_true(15000, "engine1 is used after its restart", function()
	local calls = {}
	for i = 1, 12 do calls[i] = lib.complete("i1", { tokens = 20 }) end
	for _, call in ipairs(calls) do http_wait(call) end
	return #lib.record("engine1").runs > 0
end)
