-- Guards against ignored configuration changes after the store was restored from a copy and its version counter went back: reads must not be
-- rejected as older than known, and a version that is given out twice must not be taken for already known.
local lib = require("lib")
local IN_FORCE_MS, ANSWER_MS = 2000, 300 -- Bound on configuration changes; time allowed for the check itself.
local NAMES = { "g1", "g2", "g3" }
lib.start_platform{ engines = 2, services = 2, event_ms = 10 }
for i, name in ipairs(NAMES) do lib.gateway(name, i == 2 and "hall-b" or "hall-a") end

local request_count = 0
local function status(name, path, key)
	request_count = request_count + 1
	return http_wait(lib.request(name, path, "ask" .. request_count, { key = key, deadline = 1000, limit_ms = 2000 })).status
end

-- Changes the configuration to one with a route /vVERSION/; key k2 is valid only with with_key. Returns the time of the acknowledgement.
local function change(version, with_key, before_return)
	local text = lib.configuration(version, "v" .. version, with_key and '"k1","k2"' or '"k1"')
	lib.control("world", string.format('{"config":%s%s}', text, before_return or ""))
	return now_ms()
end

local function check_in_force(version, acked, what)
	for _, name in ipairs(NAMES) do
		local left = math.max(0, acked + IN_FORCE_MS - now_ms())
		lib.until_true(left + ANSWER_MS, what .. ": " .. name .. " serves the route of version " .. version, function()
			return status(name, "/v" .. version .. "/x") == 200
		end)
		lib.check(status(name, "/v" .. version .. "/x", "k2") == 401, what .. ": " .. name .. " accepts a revoked key")
	end
end

local function send_heartbeats(times)
	for _ = 1, times do lib.control("world", '{"do":"beat"}') end
end

-- Makes the store unavailable and restores it from the copy; before_return runs before the store answers again.
local function restore_store(outage_ms, before_return)
	lib.control("world", '{"store":"away"}')
	sleep_ms(outage_ms)
	lib.control("world", '{"do":"return"}')
	if before_return then before_return() end
	lib.control("world", '{"store":"up"}')
end

check_in_force(2, change(2, false), "before")

-- Many writes are lost: the version counter restarts far below the versions that instances know.
lib.control("world", '{"do":"copy"}')
change(3, true)
send_heartbeats(20)
sleep_ms(300)
restore_store(600)
sleep_ms(500)
check_in_force(5, change(5, false), "version counter far below")

-- One write is lost, and the next write gets the same version: instances must still read it.
lib.control("world", '{"do":"copy"}')
change(7, true)
for _, name in ipairs(NAMES) do
	lib.until_true(IN_FORCE_MS, name .. " serves the route of version 7", function() return status(name, "/v7/x", "k2") == 200 end)
end
local acked
restore_store(600, function() acked = change(9, false) end)
check_in_force(9, acked, "version given out twice")
