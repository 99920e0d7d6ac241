-- Guards against a stand-in that ends because another process has taken the port of a target that restarts.
local lib = require("lib")
lib.start_platform{ engines = 1, services = 2 }
lib.gateway("g1", "hall-a")
local address = lib.record("world").targets["service-0"]
lib.control("world", '{"do":"crash","target":"service-0","back_ms":400,"keeps_port":false}')
-- A proxy takes the port while the target is down.
lib.standin("taker", "relay", { to = lib.ports.world, link_port = address:match(":(%d+)$") })
sleep_ms(900)
lib.check(lib.record("world").targets["service-0"] == address, "the stand-in ended, or the target has moved")
signal("taker", "KILL")
wait_exit("taker", 5000)
-- The target takes its port again and serves.
lib.until_true(5000, "service-0 serves again", function()
	for _ = 1, 4 do http_wait(lib.request("g1", "/r/x", "again" .. now_ms())) end
	for _, run in ipairs(lib.record("world").runs) do
		if run.target == "service-0" and run.request:find("again", 1, true) == 1 then return true end
	end
end)
-- A target that was stopped for good while it was down does not come back.
lib.control("world", '{"do":"crash","target":"service-1","back_ms":200}')
lib.control("world", '{"do":"kill","target":"service-1"}')
sleep_ms(600)
lib.check(http_wait(http_start{ url = "http://" .. lib.record("world").targets["service-1"] .. "/x" }).error ~= "", "a stopped target is back")
