-- Guards against cut or refused calls while operators move traffic from one hall to another and back, step by step under load;
-- also with the platform down and with an instance killed during a step.
local lib = require("lib")
lib.standin("platform", "platform")
local names = {}
local function add_site(hall, from, to)
	local change = ""
	for i = from, to do
		change = change .. lib.target("engine" .. i, lib.standin("engine" .. i, "engine", { name = "engine" .. i, step_ms = 4 }), hall, "small")
	end
	return change .. lib.target("pay-" .. hall, lib.standin("pay-" .. hall, "service"), hall, "pay", 'kind = "service"')
end
local function share(old, new) return string.format('[share."*"]\nold = %d\nnew = %d\n', old, new) end
for i = 1, 6 do
	names[i] = "i" .. i
	lib.instance(names[i], { hall = i <= 3 and "old" or "new" })
end
lib.apply("[model.small]\n" .. lib.account("kiosk") .. lib.account("viewer", "stream") .. add_site("old", 1, 3) .. share(100, 0))
for _, name in ipairs(names) do lib.ready(name, 4) end

local calls, alive = {}, { "i1", "i2", "i3", "i4", "i5", "i6" }
local function send_calls(count)
	for i = 1, count do
		local function any() return alive[math.random(#alive)] end
		calls[#calls + 1] = lib.complete(any(), { account = i % 2 == 0 and "viewer" or "kiosk", tokens = i % 9 == 0 and 300 or 30, class = "stream" })
		calls[#calls + 1] = lib.complete(any(), { tokens = 20, stream = false })
		calls[#calls + 1] = lib.pay(any(), "k" .. #calls, "pay")
		sleep_ms(20)
	end
end
local function check_calls(what, tolerated)
	local refused = 0
	for i, call in ipairs(calls) do
		local answer = http_wait(call)
		local complete = true
		if answer.body:find("^id: ") then _, complete = lib.check_stream(answer.body) end
		if answer.status ~= 200 or not complete then
			refused = refused + 1
			lib.check(tolerated and tolerated(answer), what .. ", call " .. i .. ": " .. answer.status .. " " .. answer.error .. " " .. answer.body:sub(-300))
		end
	end
	print(what .. ": calls " .. #calls .. ", not served " .. refused)
	calls = {}
end
local function apply_under_load(change)
	send_calls(6)
	lib.apply(change, alive)
	send_calls(6)
end

-- Add the new hall's targets, shift traffic to them in steps, drain the old hall.
send_calls(6)
apply_under_load(add_site("new", 4, 6))
for _, name in ipairs(names) do lib.ready(name, 8) end
for _, part in ipairs({ 10, 50, 100 }) do apply_under_load(share(100 - part, part)) end
local function drain(target, back)
	send_calls(3)
	local words = { "drain", target, "--author", "mover", "--wait_s", "30" }
	if back then words[#words + 1] = "--back" end
	local code, out = lib.operator(words, alive)
	lib.check(code == 0, "drain " .. target .. ": " .. out)
	send_calls(3)
end
for _, target in ipairs({ "engine1", "engine2", "engine3", "pay-old" }) do drain(target) end
local before = #lib.record("engine1").runs
send_calls(10)
lib.check(#lib.record("engine1").runs == before, "the drained hall got new work")
check_calls("there")

-- The way back.
for _, target in ipairs({ "engine1", "engine2", "engine3", "pay-old" }) do drain(target, true) end
for _, part in ipairs({ 60, 0 }) do apply_under_load(share(100 - part, part)) end
for _, target in ipairs({ "engine4", "engine5", "engine6", "pay-new" }) do drain(target) end
send_calls(6)
check_calls("and back")

-- The platform is down during a step: the change is not accepted and calls are served; afterwards the change is accepted.
for _, target in ipairs({ "engine4", "engine5", "engine6", "pay-new" }) do drain(target, true) end
apply_under_load(share(50, 50))
check_calls("half way")
lib.control("platform", '{"down":true}')
for i = 1, 20 do
	calls[#calls + 1] = lib.complete(alive[i % 6 + 1], { tokens = 60, class = "stream" })
	calls[#calls + 1] = lib.complete(alive[i % 6 + 1], { tokens = 20, stream = false })
	sleep_ms(50)
end
local file = write_file("outage.toml", 'id = "step-in-outage"\nauthor = "mover"\n' .. share(0, 100))
local code, out = lib.operator({ "apply", file }, { "i1" })
lib.check(code ~= 0, "a change was reported as accepted while the platform was down: " .. out)
sleep_ms(math.floor(3000 * SCALE))
for i = 1, 20 do calls[#calls + 1] = lib.complete(alive[i % 6 + 1], { tokens = 30, class = "stream" }) end
lib.control("platform", '{"down":false}')
lib.until_true(30000, "the change is accepted after the outage", function()
	code, out = lib.operator({ "apply", file, "--wait_s", "15" }, { "i1" })
	return code == 0
end)
send_calls(6)
check_calls("platform down")

-- An instance is killed during a step: only its own calls may be lost, and no call runs twice.
send_calls(4)
signal("i2", "KILL")
alive = { "i1", "i3", "i4", "i5", "i6" }
lib.apply(share(30, 70), alive)
send_calls(10)
check_calls("instance killed", function(answer) return answer.error ~= "" end)
for key, count in pairs(lib.runs_by_key(lib.record("pay-old"))) do lib.check(count == 1, key .. " ran " .. count .. " times") end
for key, count in pairs(lib.runs_by_key(lib.record("pay-new"))) do lib.check(count == 1, key .. " ran " .. count .. " times") end
