-- Story: a caller sends a request that ends each target which begins to run it. The request comes again, under a new id each time, at
-- any instance. Every instance took it for a new request, as a first send, which no retry budget counts: eleven engines ended under
-- it in 14 seconds, with up to 3 innocent streams each, at the hands of seven instances in three halls.
-- Evidence: `received` lines with the same account, route and length of the prompt, which no other requests shared, at seven instances; each
-- is followed by `run-lost` without an event, each time at another engine, whose other streams end in the same millisecond; no moves, and no
-- second send that reached an engine. So no instance repeated anything: what was missing is what all of them know together of a request.
local lib = require("lib")
lib.world{ engines = 12, services = 6, event_ms = 30 }
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

-- The request comes every 250 ms, at one instance after another.
local function send_in_turn(prefix, count, path, body)
	local answers = {}
	for i = 1, count do
		local began = now_ms()
		local answer = http_wait(lib.ask(names[i % 3 + 1], path, prefix .. i, { body = body, deadline = 3000 }))
		answers[i] = { answer = answer, took = now_ms() - began }
		sleep_ms(250)
	end
	return answers
end

-- Streams: innocents go on beside it.
local innocent = {}
for i = 1, 12 do innocent[i] = lib.ask(names[i % 3 + 1], "/s/x", "innocent" .. i, { body = "innocent" .. i, events = 150 }) end
sleep_ms(300)
local answers = send_in_turn("bad", 12, "/s/x", "crash one")
local ended = crashes_of("bad")
lib.check(ended >= 2, "the request ended only " .. ended .. " engines: it was not what it should be")
lib.check(ended <= 3, ended .. " engines ended under one request")
local counts = lib.world_runs()
for i = 7, 12 do
	local answer = answers[i].answer
	lib.check(answer.status == 503, "bad" .. i .. " was answered " .. tostring(answer.status))
	lib.check(counts["bad" .. i] == nil, "bad" .. i .. " was told not run, and ran")
	lib.check(answers[i].took < 300, "bad" .. i .. " was refused after " .. answers[i].took .. " ms")
	lib.check(answer.head:lower():find("retry%-after: "), "bad" .. i .. " was not told when to come back")
end

-- Others of the same account are served, also on the same route.
local answer = http_wait(lib.ask("g1", "/s/x", "other", { body = "another one", events = 20 }))
lib.check(answer.status == 200, "another request of that account: " .. tostring(answer.status))
lib.whole_stream(answer, "other", 20)

-- What is known outlasts each instance: all are killed, and those that start anew refuse it from their first second on.
for _, name in ipairs(names) do signal(name, "KILL") end
for i, name in ipairs(names) do
	wait_exit(name, 5000)
	lib.gateway(name, i == 2 and "hall-b" or "hall-a")
end
sleep_ms(1000)
send_in_turn("bad-again", 3, "/s/x", "crash one")
lib.check(crashes_of("bad-again") == 0, "engines ended under it after all instances had started anew: " .. crashes_of("bad-again"))

-- Repeatable calls: an instance's own second sends count as well.
answers = send_in_turn("badcall", 9, "/r/x", "crash two")
ended = crashes_of("badcall")
lib.check(ended >= 2 and ended <= 3, ended .. " services ended under one repeatable call")

-- A caller who leaves before its engine ends does not take the evidence with it, where other streams of the instance end with that engine.
local beside = {}
for i = 1, 48 do beside[i] = lib.ask(names[i % 3 + 1], "/s/x", "beside" .. i, { body = "beside" .. i, events = 200 }) end
sleep_ms(2600)
for i = 1, 6 do
	http_wait(lib.ask(names[i % 3 + 1], "/s/x", "gone" .. i, { body = "crash three", deadline = 3000, limit_ms = 25 }))
	sleep_ms(300)
end
ended = crashes_of("gone")
lib.check(ended >= 2 and ended <= 3, ended .. " engines ended under a request whose caller left")
for _, call in ipairs(beside) do http_wait(call) end

-- A request that was only there when targets ended for other reasons is cleared once it is answered well.
for round = 1, 2 do
	local call = lib.ask("g1", "/s/x", "unlucky" .. round, { body = "unlucky", events = 60 })
	sleep_ms(120)
	local _, record = lib.world_runs()
	for _, run in ipairs(record.runs) do
		if run.request == "unlucky" .. round then lib.control("world", '{"do":"crash","target":"' .. run.target .. '"}') end
	end
	http_wait(call)
	sleep_ms(100)
	if round == 1 then
		local again = http_wait(lib.ask("g2", "/s/x", "lucky" .. round, { body = "unlucky", events = 10 }))
		lib.check(again.status == 200, "a request that had been there once when its engine ended: " .. tostring(again.status))
		sleep_ms(300)
	end
end
answer = http_wait(lib.ask("g3", "/s/x", "cleared", { body = "unlucky", events = 10 }))
lib.check(answer.status == 200, "a request that was answered well in between: " .. tostring(answer.status))
