-- Guards against answers that are lost because their callers stop reading for some seconds, and against runs that go on for callers
-- whose machines have vanished.
local lib = require("lib")
local EVENTS = 200
lib.start_platform{ engines = 4, services = 2, event_ms = 20, event_bytes = 220, answer_bytes = 120000, segment_bytes = 1400 }
lib.gateway("g1", "hall-a", nil, 110)
lib.gateway("g2", "hall-b", nil, 110)

local function check_whole(id, call, since)
	local answer = http_wait(call)
	local whole = answer.status == 200 and answer.error == ""
	lib.check(whole, string.format("%s got %d bytes, status %d, %s, %d ms after %s", id, #answer.body, answer.status, answer.error,
		now_ms() - since.at, since.what))
end

-- The same pauses at both instances; one of them is stopped while they last.
local calls, begun = { g1 = {}, g2 = {} }, { at = now_ms(), what = "the requests" }
for instance, started in pairs(calls) do
	for _, pause in ipairs(instance == "g1" and { 2000, 6000, 12000, 20000 } or { 2000, 4000 }) do
		for _, buffer in ipairs{ 2048, 8192, 65536 } do
			local id = instance .. "-" .. pause .. "-" .. buffer
			-- A buffer of 2 KB takes less than 30 KB/s.
			local options = { events = EVENTS, pause_ms = pause, receive_bytes = buffer, deadline = 29000, limit_ms = 29500 }
			started["stream-" .. id] = lib.request(instance, "/s/x", "stream-" .. id, options)
			started["plain-" .. id] = lib.request(instance, "/r/x", "plain-" .. id, options)
		end
	end
end
-- Callers whose pause lasts longer than the stopped instance's grace period: the kernel delivers what it has.
for i = 1, 4 do
	calls.g2["late" .. i] = lib.request("g2", "/r/x", "late" .. i, { pause_ms = 14000, receive_bytes = 16384, deadline = 29000, limit_ms = 29500 })
end
-- Machines that vanish at once, or while their window has been closed for some time.
local gone = {}
for i = 1, 6 do
	local after = i <= 3 and 0 or 5000
	gone["gone" .. i] = { after = after, call = lib.request("g1", "/s/x", "gone" .. i,
		{ events = 1400, pause_ms = 21000, vanishes_ms = after, receive_bytes = 2048, deadline = 28000, limit_ms = 29000 }) }
end
sleep_ms(1500)
signal("g2", "TERM")
local stopped = { at = now_ms(), what = "SIGTERM" }
for id, each in pairs(gone) do
	local limit = begun.at + each.after + 9000 - now_ms()
	lib.until_true(math.max(limit, 1), id .. " is found out", function() return output("g1"):match('"event":"finished"[^\n]-"request":"' .. id .. '"') end)
end
lib.check(wait_exit("g2", 9000) == 0, "g2 has failed")
for id, call in pairs(calls.g2) do check_whole(id, call, stopped) end
for id, call in pairs(calls.g1) do check_whole(id, call, begun) end
for _, each in pairs(gone) do http_wait(each.call) end
