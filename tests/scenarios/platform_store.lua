-- Guards against interrupted service while the store rejects calls, doesn't answer, loses its history or lets rows expire.
local lib = require("lib")
lib.start_platform{ engines = 3, services = 2, event_ms = 10 }
lib.gateway("g1", "hall-a")
lib.gateway("g2", "hall-b")
local number = 0
local function check_served(what)
	for _, name in ipairs{ "g1", "g2" } do
		number = number + 1
		local id = "call" .. number
		local answer = http_wait(lib.request(name, "/o/x", id))
		lib.check(answer.status == 200 and answer.body == "answer to " .. id, what .. ": " .. name .. " " .. tostring(answer.status))
		answer = http_wait(lib.request(name, "/s/x", id .. "s", { events = 10 }))
		lib.check_full_stream(answer, id .. "s", 10)
	end
end
check_served("before")
local function reports_in(ms)
	local before = lib.record("world").reports
	sleep_ms(ms)
	return lib.record("world").reports - before
end
local reports_before = reports_in(2400)
for i, mode in ipairs{ "busy", "silent" } do
	lib.control("world", '{"store":"' .. mode .. '"}')
	for _ = 1, 8 do
		check_served("while the store is " .. mode)
		sleep_ms(300)
	end
	-- Only the reports of engines show now which of them drain: they are polled more often.
	local reports_now = reports_in(2400)
	lib.check(reports_now > 2 * reports_before, reports_now .. " reports while the store is " .. mode .. ", " .. reports_before .. " before")
	-- All rows expire during the outage; live targets write theirs again a second after it.
	lib.control("world", '{"do":"lapse"}')
	lib.control("world", '{"store":"up"}')
	for _ = 1, 4 do
		check_served("after the store was " .. mode)
		sleep_ms(250)
	end
	lib.control("world", '{"do":"beat"}')
	sleep_ms(1500)
	check_served("once rows are back")
	lib.configure(10 + i, "route" .. i)
	lib.until_true(4000, "changes after " .. mode, function() return http_wait(lib.request("g1", "/route" .. i .. "/x", "c" .. now_ms())).status == 200 end)
end
-- The store has lost its history: a drain notice written meanwhile is still noticed.
lib.control("world", '{"store":"compact"}')
lib.control("world", '{"do":"leave","target":"service-0"}')
sleep_ms(2000)
check_served("after history was lost")
sleep_ms(1600)
check_served("later")
local counts, record = lib.count_runs()
lib.check(#record.late == 0, "requests that reached a draining target: " .. #record.late)
-- All instances are killed at once and have to start from the store alone.
for _, name in ipairs{ "g1", "g2" } do signal(name, "KILL") end
for _, name in ipairs{ "g1", "g2" } do
	wait_exit(name, 5000)
	lib.gateway(name, "hall-a")
end
check_served("after all instances restarted")
