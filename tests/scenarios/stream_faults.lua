-- Guards against lost, repeated, reordered or mixed tokens when links are cut or stalled, engines paused, preempted or killed, and callers
-- disconnect.
local lib = require("lib")
lib.standin("platform", "platform")
local direct = lib.standin("engine1", "engine", { name = "engine1", step_ms = 8, orphan_ms = 3000 })
local via_link = lib.relay("link1", direct)
lib.standin("engine2", "engine", { name = "engine2", step_ms = 8 })
lib.instance("one", { extra = { calls = { "stall_ms = 400", "resume_ms = 4000", "first_byte_ms = 4000" } } })
lib.apply("[model.small]\n[model.spare]\n" .. lib.account("kiosk") .. lib.target("engine1", via_link, "hall-a", "small"))
lib.ready("one", 1)

local function all_complete(calls, tokens, what)
	for _, call in ipairs(calls) do
		local answer = http_wait(call)
		local count, complete = lib.check_stream(answer.body)
		lib.check(complete and count == tokens, what .. ": " .. count .. " of " .. tokens .. ", " .. answer.body:sub(-300))
	end
end

local function start(count, tokens)
	local calls = {}
	for i = 1, count do calls[i] = lib.complete("one", { tokens = tokens, class = "stream" }) end
	return calls
end

-- The link is cut again and again; eight streams with different offsets are hit at different tokens.
local calls = {}
for i = 1, 8 do
	calls[i] = lib.complete("one", { tokens = 120, class = "stream" })
	sleep_ms(7)
end
for _ = 1, 8 do
	sleep_ms(90)
	lib.link("link1", "cut")
	sleep_ms(20)
	lib.link("link1", "pass")
end
all_complete(calls, 120, "cut")

-- The link stalls and recovers, then the engine drops its streams.
calls = start(6, 150)
sleep_ms(200)
lib.link("link1", "stall")
sleep_ms(700)
lib.link("link1", "pass")
sleep_ms(100)
lib.control("engine1", '{"drop_streams":true}')
all_complete(calls, 150, "stall")

-- The engine is paused and resumed.
calls = start(4, 120)
sleep_ms(200)
signal("engine1", "STOP")
sleep_ms(1000)
signal("engine1", "CONT")
all_complete(calls, 120, "paused")

-- The KV cache fills during decoding: preempted generations continue where they were.
lib.standin("tight", "engine", { name = "tight", step_ms = 2, memory_tokens = 220, models = "tight" })
lib.apply("[model.tight]\n" .. lib.target("tight", lib.ports.tight, "hall-a", "tight"))
lib.ready("one", 2)
calls = {}
for i = 1, 6 do calls[i] = lib.complete("one", { tokens = 100, class = "stream", model = "tight", prompt = "p" .. i }) end
all_complete(calls, 100, "preempted")

-- A caller disconnects: its call is cancelled at the engine, and the others continue.
local disconnected = lib.complete("one", { tokens = 5000, class = "stream", abort_after = 2000 })
calls = start(2, 100)
http_wait(disconnected)
all_complete(calls, 100, "beside a disconnected caller")
lib.until_true(5000, "the engine has no call in flight", function()
	for _, target in ipairs(lib.status("one").targets) do
		if target.name == "engine1" then return target.in_flight == 0 end
	end
end)

-- The engine is killed: a stream that has begun ends with an error event, never silently and never continued by another generation.
calls = start(3, 400)
local unstreamed = lib.complete("one", { tokens = 150, stream = false })
sleep_ms(400)
lib.apply(lib.target("engine2", lib.ports.engine2, "hall-a", "small"))
lib.ready("one", 3)
signal("engine1", "KILL")
for _, call in ipairs(calls) do
	local answer = http_wait(call)
	local count, complete, failure = lib.check_stream(answer.body)
	lib.check(count > 0 and not complete and failure, "killed: no error event after " .. count)
	local outcome = json(failure).cottonspool
	lib.check(outcome.ran == "yes" and outcome.complete == false, "killed: error event is " .. failure)
end
-- Of an answer that is not streamed nothing was delivered yet, so it runs again elsewhere, with the text of one generation.
local answer = http_wait(unstreamed)
lib.check(answer.status == 200, "not streamed, after kill: " .. answer.status .. " " .. answer.body)
local expected, seen = {}, json(answer.body)
for i = 1, 150 do expected[i] = seen.id:sub(1, 24) .. "." .. i .. " " end
lib.check(seen.choices[1].text == table.concat(expected), "not streamed, after kill: text is not of one generation")
lib.check(seen.id:match("%.(%d+)$") ~= "1", "not streamed, after kill: not run again")
