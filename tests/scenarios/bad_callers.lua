-- Guards against malformed requests and slow or disconnecting callers that block other callers or hold resources.
local lib = require("lib")
lib.standin("platform", "platform")
lib.instance("one", { extra = { callers = { "request_ms = 800", "max_backlog_bytes = 16384" } } })
lib.apply("[model.small]\n" .. lib.account("kiosk")
	.. lib.target("engine1", lib.standin("engine1", "engine", { name = "engine1", step_ms = 1, memory_tokens = 1000000 }), "hall-a", "small"))
lib.ready("one", 1)
local port = lib.ports.one:match(":(%d+)")

local function complete_streams(count, what)
	local calls = {}
	for i = 1, count do calls[i] = lib.complete("one", { tokens = 80, class = "stream" }) end
	for _, call in ipairs(calls) do
		local got, complete = lib.check_stream(http_wait(call).body)
		lib.check(complete and got == 80, what .. ": " .. got .. " of 80")
	end
end

-- Sends raw bytes on a new connection; returns the answer and whether the connection was closed.
local function raw(bytes) return raw_call(tonumber(port), bytes, 2500) end
local answer, closed = raw("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Le")
lib.check(closed, "connection with an incomplete head was not closed")
answer, closed = raw("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
lib.check(closed, "connection with an incomplete body was not closed")
answer, closed = raw("GET / HTTP/1.1\r\n" .. string.rep("X-Header: " .. string.rep("y", 1000) .. "\r\n", 600) .. "\r\n")
lib.check(answer:find("HTTP/1.1 4") or (closed and answer == ""), "oversized headers: " .. answer:sub(1, 80))
answer = raw("\0\1\2 nonsense\r\n\r\n")
lib.check(answer:find("HTTP/1.1 4") or answer == "", "not HTTP: " .. answer:sub(1, 80))
answer = raw("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n")
lib.check(answer:find("HTTP/1.1 4") or answer == "", "negative Content-Length: " .. answer:sub(1, 80))
complete_streams(10, "beside bad requests")

-- A slow reader: its stream is paused without delaying the others, and it still gets every token.
local slow = lib.complete("one", { tokens = 12000, class = "stream", slow_ms = 1, limit_ms = 120000 })
sleep_ms(300)
complete_streams(20, "beside a slow caller")
-- Callers that disconnect while their call waits and while they read.
local disconnected = {}
for i = 1, 30 do disconnected[i] = lib.complete("one", { tokens = 50000, class = "stream", abort_after = 1 + i * 40 }) end
for i = 31, 40 do disconnected[i] = lib.complete("one", { tokens = 50000, stream = false, limit_ms = 300 }) end
complete_streams(20, "beside disconnecting callers")
for _, call in ipairs(disconnected) do http_wait(call) end
lib.until_true(15000, "the instance has dropped the calls of disconnected callers", function() return lib.status("one").calls <= 1 end)
local count, complete = lib.check_stream(http_wait(slow).body)
lib.check(complete and count == 12000, "the slow caller got " .. count .. " of 12000")
local metrics = lib.http{ url = "http://" .. lib.ports.one .. "/metrics", headers = { "Authorization: Bearer ops" } }.body
lib.check(metrics:find("cottonspool_callers_gone_total %d"), "disconnected callers are not counted")
