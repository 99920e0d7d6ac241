-- Guards against answers that are wrong about whether the request ran: under every kind of failure they are compared with the targets'
-- records.
local lib = require("lib")
lib.standin("platform", "platform")
local direct = lib.standin("engine1", "engine", { name = "engine1", step_ms = 5, max_waiting = 3, max_batch = 4 })
local via_link = lib.relay("link1", direct)
local service = lib.standin("pay1", "service")
local pay_via_link = lib.relay("link2", service)
lib.instance("one", { extra = { calls = { "service_ms = 700", "stall_ms = 300", "resume_ms = 900", "first_byte_ms = 900" },
	dispatch = { "retry_burst = 1000", "router = \"round-robin\"", "eject_base_ms = 50", "eject_max_ms = 100" } } })
lib.apply("[model.small]\n" .. lib.account("kiosk") .. lib.target("engine1", via_link, "hall-a", "small")
	.. lib.target("pay1", pay_via_link, "hall-a", "pay", 'kind = "service"'))
lib.ready("one", 2)

local answers = {}
local tally = { no = 0, yes = 0, unknown = 0 }

local function check_answer(call)
	local answer = http_wait(call)
	local ran = lib.ran(answer)
	lib.check(ran, "answer does not say whether it ran: " .. answer.status .. " " .. answer.error .. " " .. answer.body)
	tally[ran] = tally[ran] + 1
	local request = answer.head:lower():match("cottonspool%-request: ([%w%-]+)")
	answers[#answers + 1] = { ran = ran, request = request, status = answer.status }
	if ran == "no" then lib.check(answer.status >= 400, "answered as not run, but with status " .. answer.status) end
end

local function burst(count, options)
	local calls = {}
	for i = 1, count do
		local call = {}
		for key, value in pairs(options or {}) do call[key] = value end
		if i % 2 == 0 then call.headers = { "Cottonspool-Repeatable: no" } end
		call.stream = i % 3 ~= 0
		calls[#calls + 1] = lib.complete("one", call)
		calls[#calls + 1] = lib.pay("one", nil, "pay " .. i, { path = "/issue?delay_ms=" .. (i * 53 % 900) })
	end
	return calls
end

local function check_answers(calls) for _, call in ipairs(calls) do check_answer(call) end end

check_answers(burst(6, { tokens = 10 }))
-- More calls than the engine accepts: its refusals are passed on as not run.
check_answers(burst(24, { tokens = 40 }))
-- Wait limits that are too short to be served.
check_answers(burst(6, { tokens = 5, headers = { "Cottonspool-Wait-Ms: 1" } }))
-- Requests reach the targets, answers are lost.
for _, name in ipairs({ "link1", "link2" }) do lib.link(name, "drop-answers") end
local calls = burst(6, { tokens = 10 })
check_answers(calls)
-- Links are cut while calls are in flight, then restored.
for _, name in ipairs({ "link1", "link2" }) do lib.link(name, "pass") end
sleep_ms(500)
for _ = 1, 6 do
	calls = burst(4, { tokens = 20 })
	sleep_ms(40)
	for _, name in ipairs({ "link1", "link2" }) do lib.link(name, "cut") end
	sleep_ms(150)
	for _, name in ipairs({ "link1", "link2" }) do lib.link(name, "pass") end
	check_answers(calls)
end
-- All targets are unreachable.
for _, name in ipairs({ "link1", "link2" }) do lib.link(name, "cut") end
check_answers(burst(4, { tokens = 5 }))
for _, name in ipairs({ "link1", "link2" }) do lib.link(name, "pass") end
-- Targets are paused until calls time out, then resume what they had begun.
sleep_ms(500)
calls = burst(4, { tokens = 20 })
sleep_ms(30)
signal("engine1", "STOP")
signal("pay1", "STOP")
sleep_ms(2500)
signal("engine1", "CONT")
signal("pay1", "CONT")
check_answers(calls)
sleep_ms(1500)

local ran = {}
for _, run in ipairs(lib.record("engine1").runs) do if run.began then ran[run.request] = true end end
for _, run in ipairs(lib.record("pay1").runs) do ran[run.request] = true end
local compared = 0
for _, answer in ipairs(answers) do
	if answer.ran == "no" and answer.request then
		compared = compared + 1
		lib.check(not ran[answer.request], "answered as not run, but the target ran " .. answer.request .. " (status " .. answer.status .. ")")
	end
	if answer.ran == "yes" then lib.check(ran[answer.request], "answered as run, but no target ran " .. answer.request) end
end
print(string.format("answers: no %d, yes %d, unknown %d; compared with the records: %d", tally.no, tally.yes, tally.unknown, compared))
lib.check(tally.no > 0 and tally.yes > 0 and tally.unknown > 0, "not every kind of answer was seen")
