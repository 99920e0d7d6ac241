-- Guards against a second run of a call that must not be repeated, under concurrent use of its idempotency key, killed and paused
-- instances, lost answers, store outages and service timeouts.
local lib = require("lib")
lib.standin("platform", "platform")
local service = lib.standin("pay1", "service")
local via_link = lib.relay("link1", service)
local direct = lib.standin("pay2", "service")
for i = 1, 4 do lib.instance("i" .. i, { extra = { calls = { "service_ms = 1500" } } }) end
lib.apply(lib.account("kiosk") .. lib.target("pay1", via_link, "hall-a", "pay", 'kind = "service"')
	.. lib.target("pay2", direct, "hall-a", "pay", 'kind = "service"'))
for i = 1, 4 do lib.ready("i" .. i, 2) end

local function runs()
	local all = lib.runs_by_key(lib.record("pay1"))
	for key, count in pairs(lib.runs_by_key(lib.record("pay2"))) do all[key] = (all[key] or 0) + count end
	return all
end

-- Without faults: a key sent through all instances at once runs exactly once, and its answer can be fetched anywhere.
for round = 1, 10 do
	local calls = {}
	for i = 1, 4 do calls[i] = lib.pay("i" .. i, "healthy" .. round, "pay " .. round) end
	local answered = 0
	for i = 1, 4 do
		local answer = http_wait(calls[i])
		if answer.status == 200 then answered = answered + 1 end
		lib.check(answer.status == 200 or lib.ran(answer) == "unknown", "healthy: " .. answer.status .. " " .. answer.body)
	end
	lib.check(answered >= 1, "healthy: no caller got the answer")
	local again = http_wait(lib.pay("i" .. (round % 4 + 1), "healthy" .. round, "pay " .. round))
	lib.check(again.status == 200 and lib.ran(again) == "yes", "healthy: repeat got " .. again.status .. " " .. again.body)
	lib.check(runs()["healthy" .. round] == 1, "healthy: not exactly one run")
end
local other = http_wait(lib.pay("i1", "healthy1", "another payment"))
lib.check(other.status == 422 and lib.ran(other) == "no", "a key used for another request: " .. other.status)

-- Sends the call with a key through one instance after another; returns the answers.
local function request_repeatedly(key, tries)
	local answers = {}
	for i = 1, tries do
		answers[i] = http_wait(lib.pay("i" .. (i % 4 + 1), key, "pay", { limit_ms = 8000 }))
	end
	return answers
end

-- The store's answers are lost after it wrote.
for round = 1, 3 do
	lib.control("platform", '{"lose_answers":2}')
	request_repeatedly("lost" .. round, 3)
	lib.control("platform", '{"lose_answers":0}')
	local answers = request_repeatedly("lost" .. round, 4)
	lib.check((runs()["lost" .. round] or 0) <= 1, "lost answers: ran more than once")
	lib.check(lib.ran(answers[4]) ~= "no", "lost answers: still refused: " .. answers[4].body)
end

-- The store is down: the call is refused without running; afterwards it runs once.
lib.control("platform", '{"down":true}')
local refused = http_wait(lib.pay("i1", "down", "pay"))
lib.check(refused.status == 503 and lib.ran(refused) == "no", "store down: " .. refused.status .. " " .. refused.body)
lib.check(refused.head:lower():find("retry%-after: %d"), "store down: no Retry-After")
lib.check(runs()["down"] == nil, "store down: it ran")
lib.control("platform", '{"down":false}')
lib.until_true(15000, "the key can be used after the outage", function()
	local answer = http_wait(lib.pay("i2", "down", "pay"))
	return answer.status == 200
end)
lib.check(runs()["down"] == 1, "after the outage: not exactly one run")

-- The service answers after the timeout: the outcome is unknown, and there is no second run.
local late = http_wait(lib.pay("i1", "late", "pay", { path = "/issue?delay_ms=2500" }))
lib.check(late.status == 504 and lib.ran(late) == "unknown", "late service: " .. late.status .. " " .. late.body)
for i = 1, 4 do
	local answer = http_wait(lib.pay("i" .. i, "late", "pay", { path = "/issue?delay_ms=2500" }))
	lib.check(lib.ran(answer) == "unknown", "late service, repeat: " .. answer.body)
end
lib.check(runs()["late"] == 1, "late service: not exactly one run")

-- The answer of the service is lost, with and without a key.
lib.apply('[target.pay2]\nremoved = true\n')
lib.link("link1", "drop-answers")
local dropped = http_wait(lib.pay("i3", "dropped", "pay"))
lib.check(lib.ran(dropped) == "unknown", "dropped answer: " .. dropped.status .. " " .. dropped.body)
local before = #lib.record("pay1").runs
local keyless = http_wait(lib.pay("i3", nil, "pay"))
lib.check(lib.ran(keyless) == "unknown", "dropped answer without a key: " .. keyless.body)
lib.check(#lib.record("pay1").runs == before + 1, "without a key: not sent exactly once")
lib.link("link1", "pass")
lib.check(lib.ran(http_wait(lib.pay("i1", "dropped", "pay"))) == "unknown", "dropped answer, repeat")
lib.check(runs()["dropped"] == 1, "dropped answer: not exactly one run")

-- Instances are killed or paused between the claim, the send and the record of the outcome.
lib.control("pay1", '{"delay_ms":250}')
for round = 1, 6 do
	local victim = "i" .. (round % 3 + 2)
	local key = "killed" .. round
	local call = lib.pay(victim, key, "pay", { limit_ms = 6000 })
	sleep_ms(round * 45)
	signal(victim, round % 2 == 0 and "STOP" or "KILL")
	request_repeatedly(key, 1)
	local again = http_wait(lib.pay("i1", key, "pay", { limit_ms = 6000 }))
	if round % 2 == 0 then
		sleep_ms(1800)
		signal(victim, "CONT")
	end
	http_wait(call)
	if round % 2 == 1 then
		wait_exit(victim, 2000)
		lib.instance(victim, { extra = { calls = { "service_ms = 1500" } } })
		lib.ready(victim, 1)
	end
	lib.check((runs()[key] or 0) <= 1, key .. " ran more than once")
	if lib.ran(again) == "yes" then lib.check(runs()[key] == 1, key .. " answered as run, but the services have no such run") end
end
for key, count in pairs(runs()) do lib.check(count <= 1 or key == "", "key " .. key .. " ran " .. count .. " times") end

-- A caller disconnects while its call is queued: the call was never sent, so its key can be used again, and runs once.
lib.standin("till1", "service", { slots = 1 })
lib.apply(lib.target("till1", lib.ports.till1, "hall-a", "till", 'kind = "service"'))
lib.ready("i1", 2)
local function call_till(key, delay, limit)
	return http_start{ url = "http://" .. lib.ports.i1 .. "/services/till/x?delay_ms=" .. delay, body = "pay", limit_ms = limit,
		headers = { "Authorization: Bearer kiosk-key", "Cottonspool-Repeatable: no", "Idempotency-Key: " .. key } }
end
local busy = call_till("busy", 1200, 8000)
sleep_ms(200)
http_wait(call_till("left", 0, 400))
lib.check(http_wait(busy).status == 200, "the call that occupied the only slot failed")
lib.check(lib.runs_by_key(lib.record("till1"))["left"] == nil, "a call whose caller had disconnected was sent")
lib.until_true(5000, "the key of a caller that disconnected while queued can be used again", function()
	return http_wait(call_till("left", 0, 3000)).status == 200
end)
lib.check(lib.runs_by_key(lib.record("till1"))["left"] == 1, "left: not exactly one run")
