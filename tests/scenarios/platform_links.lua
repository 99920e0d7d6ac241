-- Guards against a stream that looks complete although events were lost on the link to its engine.
local lib = require("lib")
lib.start_platform{ engines = 1, services = 1, event_ms = 10 }
lib.standin("relay", "relay")
local shown_as = {}
local ports = {}
for id, address in pairs(lib.record("world").targets) do
	ports[id] = json(lib.control("relay", string.format('{"to":"%s"}', address)).body).port
	shown_as[#shown_as + 1] = string.format('"%s":"127.0.0.1:%d"', address, ports[id])
end
lib.control("world", '{"shown_as":{' .. table.concat(shown_as, ",") .. "}}")
lib.gateway("g1", "hall-a")
local call = lib.request("g1", "/s/x", "hole", { events = 100, deadline = 4000 })
sleep_ms(300)
lib.control("relay", string.format('{"port":%d,"mode":"drop-answers"}', ports["engine-0"]))
sleep_ms(200)
lib.control("relay", string.format('{"port":%d,"mode":"pass"}', ports["engine-0"]))
local answer = http_wait(call)
local events = select(2, answer.body:gsub("id: %d+\n", ""))
print("events " .. events .. ", " .. (answer.error == "" and "looks complete" or answer.error))
lib.check(events == 100 or answer.error ~= "", "a stream looks complete with " .. events .. " of 100 events")
-- The link is restored: the next stream is complete.
lib.check_full_stream(http_wait(lib.request("g1", "/s/x", "next", { events = 30 })), "next", 30)
