-- Guards against a stream without a length or chunks that looks complete to its caller although its engine ended inside an event.
local lib = require("lib")
lib.start_platform{ engines = 1, services = 1, event_ms = 20 }
lib.gateway("g1", "hall-a")
for _, target in ipairs{ "engine-0", "service-0" } do lib.control("world", '{"do":"garble","target":"' .. target .. '","how":"unframed"}') end

local function request_whole(id)
	local plain = http_wait(lib.request("g1", "/r/x", id .. "-plain"))
	lib.check(plain.status == 200 and plain.body == "answer to " .. id .. "-plain", id .. ": plain answer " .. plain.status .. " " .. plain.body)
	lib.check_full_stream(http_wait(lib.request("g1", "/s/x", id, { events = 10, body = id })), id, 10)
end

-- Starts a stream, ends its engine after wait_ms, and returns the answer.
local function request_broken(id, wait_ms, inside_event)
	local call = lib.request("g1", "/s/x", id, { events = 200, body = id })
	sleep_ms(wait_ms)
	lib.control("world", '{"do":"crash","target":"engine-0","back_ms":300,"inside_event":' .. tostring(inside_event) .. "}")
	return http_wait(call)
end

request_whole("before")
for i, inside_event in ipairs{ true, false } do
	for _, wait_ms in ipairs{ 5, 300 } do
		local id = "broken-" .. i .. "-" .. wait_ms
		local answer = request_broken(id, wait_ms, inside_event)
		lib.check(answer.error ~= "" or answer.status >= 500, id .. " looks complete, status " .. answer.status .. ", body " .. answer.body:sub(-40))
		lib.check(answer.body == "" or answer.body:sub(-2) == "\n\n", id .. " got a part of an event: " .. answer.body:sub(-40))
		sleep_ms(1500)
	end
end
request_whole("after")
