-- Guards against a request that crashes one target after another, when its caller sends it again under new ids through any instance:
-- instances share crash records by request fingerprint and quarantine the request.
local lib = require("lib")
lib.start_platform{ engines = 12, services = 6, event_ms = 30 }
local names = { "g1", "g2", "g3" }
for i, name in ipairs(names) do lib.gateway(name, i == 2 and "hall-b" or "hall-a") end

local function crashes_of(prefix)
	local count, times = 0, {}
	for _, crash in ipairs(lib.record("world").crashes) do
		if crash.request:find(prefix, 1, true) == 1 then
			count = count + 1
			times[#times + 1] = crash.at
		end
	end
	return count, times
end

-- Sends the request again every 250 ms, to the instances in turn.
local function send_in_turn(prefix, count, path, body)
	local answers = {}
	for i = 1, count do
		local began = now_ms()
		local answer = http_wait(lib.request(names[i % 3 + 1], path, prefix .. i, { body = body, deadline = 3000 }))
		answers[i] = { answer = answer, took = now_ms() - began }
		sleep_ms(250)
	end
	return answers
end

-- Streams: other streams go on beside the harmful request.
local innocent = {}
for i = 1, 12 do innocent[i] = lib.request(names[i % 3 + 1], "/s/x", "innocent" .. i, { body = "innocent" .. i, events = 150 }) end
sleep_ms(300)
local answers = send_in_turn("bad", 12, "/s/x", "crash one")
local ended = crashes_of("bad")
lib.check(ended >= 2, "the request crashed only " .. ended .. " engines, the scenario needs two")
lib.check(ended <= 3, ended .. " engines crashed under one request")
local counts = lib.count_runs()
for i = 7, 12 do
	local answer = answers[i].answer
	lib.check(answer.status == 503, "bad" .. i .. " was answered " .. tostring(answer.status))
	lib.check(counts["bad" .. i] == nil, "bad" .. i .. " was answered as not run, but ran")
	lib.check(answers[i].took < 300, "bad" .. i .. " was refused after " .. answers[i].took .. " ms")
	lib.check(answer.head:lower():find("retry%-after: "), "bad" .. i .. " has no Retry-After")
end

-- Other requests of the same account and route are served.
local answer = http_wait(lib.request("g1", "/s/x", "other", { body = "another one", events = 20 }))
lib.check(answer.status == 200, "another request of that account: " .. tostring(answer.status))
lib.check_full_stream(answer, "other", 20)

-- The quarantine outlasts the instances: all are killed, and after their restart they refuse the request from the start.
for _, name in ipairs(names) do signal(name, "KILL") end
for i, name in ipairs(names) do
	wait_exit(name, 5000)
	lib.gateway(name, i == 2 and "hall-b" or "hall-a")
end
sleep_ms(1000)
send_in_turn("bad-again", 3, "/s/x", "crash one")
lib.check(crashes_of("bad-again") == 0, "engines crashed under a quarantined request after all instances had restarted: " .. crashes_of("bad-again"))

-- Idempotent calls: retries of an instance count as well.
answers = send_in_turn("badcall", 9, "/r/x", "crash two")
ended = crashes_of("badcall")
lib.check(ended >= 2 and ended <= 3, ended .. " services crashed under one idempotent call")

-- A crash counts although the caller disconnected before it, if other streams of the instance fail with that engine.
local beside = {}
for i = 1, 48 do beside[i] = lib.request(names[i % 3 + 1], "/s/x", "beside" .. i, { body = "beside" .. i, events = 200 }) end
sleep_ms(2600)
for i = 1, 6 do
	http_wait(lib.request(names[i % 3 + 1], "/s/x", "gone" .. i, { body = "crash three", deadline = 3000, limit_ms = 25 }))
	sleep_ms(300)
end
ended = crashes_of("gone")
lib.check(ended >= 2 and ended <= 3, ended .. " engines crashed under a request whose caller disconnected")
for _, call in ipairs(beside) do http_wait(call) end

-- A request that ran on targets which crashed for other reasons is cleared once it is served.
for round = 1, 2 do
	local call = lib.request("g1", "/s/x", "unlucky" .. round, { body = "unlucky", events = 60 })
	sleep_ms(120)
	local _, record = lib.count_runs()
	for _, run in ipairs(record.runs) do
		if run.request == "unlucky" .. round then lib.control("world", '{"do":"crash","target":"' .. run.target .. '"}') end
	end
	http_wait(call)
	sleep_ms(100)
	if round == 1 then
		local again = http_wait(lib.request("g2", "/s/x", "lucky" .. round, { body = "unlucky", events = 10 }))
		lib.check(again.status == 200, "a request whose engine crashed once: " .. tostring(again.status))
		sleep_ms(300)
	end
end
answer = http_wait(lib.request("g3", "/s/x", "cleared", { body = "unlucky", events = 10 }))
lib.check(answer.status == 200, "a request that was served between two crashes: " .. tostring(answer.status))
