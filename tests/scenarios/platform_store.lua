-- The store turns calls away, says nothing, forgets its history, and lets rows lapse: service goes on, and recovers by itself.
local lib = require("lib")
lib.world{ engines = 3, services = 2, event_ms = 10 }
lib.gateway("g1", "hall-a")
lib.gateway("g2", "hall-b")
local number = 0
local function serve(what)
	for _, name in ipairs{ "g1", "g2" } do
		number = number + 1
		local id = "call" .. number
		local answer = http_wait(lib.ask(name, "/o/x", id))
		lib.check(answer.status == 200 and answer.body == "answer to " .. id, what .. ": " .. name .. " " .. tostring(answer.status))
		answer = http_wait(lib.ask(name, "/s/x", id .. "s", { events = 10 }))
		lib.whole_stream(answer, id .. "s", 10)
	end
end
serve("before")
local function reports_in(ms)
	local before = lib.record("world").reports
	sleep_ms(ms)
	return lib.record("world").reports - before
end
local usual = reports_in(2400)
for i, mode in ipairs{ "busy", "silent" } do
	lib.control("world", '{"store":"' .. mode .. '"}')
	for _ = 1, 8 do
		serve("while the store is " .. mode)
		sleep_ms(300)
	end
	-- Only engines' own reports tell who leaves now: they are asked for more often.
	local now = reports_in(2400)
	lib.check(now > 2 * usual, now .. " reports while the store is " .. mode .. ", " .. usual .. " before")
	-- All rows lapse while it is away; live targets write theirs again a second after its return.
	lib.control("world", '{"do":"lapse"}')
	lib.control("world", '{"store":"up"}')
	for _ = 1, 4 do
		serve("after its return from " .. mode)
		sleep_ms(250)
	end
	lib.control("world", '{"do":"beat"}')
	sleep_ms(1500)
	serve("once rows are back")
	lib.configure(10 + i, "route" .. i)
	lib.until_true(4000, "changes after " .. mode, function() return http_wait(lib.ask("g1", "/route" .. i .. "/x", "c" .. now_ms())).status == 200 end)
end
-- History is gone: a departure that happened in the gap is noticed all the same.
lib.control("world", '{"store":"compact"}')
lib.control("world", '{"do":"leave","target":"service-0"}')
sleep_ms(2000)
serve("after history was lost")
sleep_ms(1600)
serve("later")
local counts, record = lib.world_runs()
lib.check(#record.late == 0, "requests that reached a leaving target: " .. #record.late)
-- All instances die at once: they start from the store alone.
for _, name in ipairs{ "g1", "g2" } do signal(name, "KILL") end
for _, name in ipairs{ "g1", "g2" } do
	wait_exit(name, 5000)
	lib.gateway(name, "hall-a")
end
serve("after a cold start")
