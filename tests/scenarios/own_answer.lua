-- Guards against answers given to the wrong caller, when hundreds overtake each other, and truncated bodies passed on as complete.
local lib = require("lib")
lib.standin("platform", "platform")
local service = lib.standin("pay1", "service")
lib.instance("one")
lib.apply("[model.small]\n" .. lib.account("kiosk") .. lib.target("pay1", service, "hall-a", "pay", 'kind = "service"\nslots = 500')
	.. lib.target("engine1", lib.standin("engine1", "engine", { name = "engine1", step_ms = 3 }), "hall-a", "small"))
lib.ready("one", 2)
local url = "http://" .. lib.ports.one .. "/services/pay/"
local headers = { "Authorization: Bearer kiosk-key" }
for _ = 1, 3 do
	local calls = {}
	for i = 1, 120 do
		calls[i] = http_start{ url = url .. "tile/" .. i .. "?delay_ms=" .. math.random(0, 120), headers = headers, body = "own body " .. i,
			method = i % 2 == 0 and "POST" or "GET" }
	end
	for i, call in ipairs(calls) do
		local answer = http_wait(call)
		local body = json(answer.body)
		lib.check(answer.status == 200, "tile " .. i .. ": " .. answer.status .. " " .. answer.body)
		lib.check(body.path == "/tile/" .. i, "tile " .. i .. " got the answer of " .. body.path)
		if i % 2 == 0 then lib.check(body.echo == "own body " .. i, "tile " .. i .. " got the answer to " .. body.echo) end
	end
end
-- A truncated body is never passed on as complete.
for i = 1, 6 do
	local answer = lib.http{ url = url .. "cut?truncate=1", headers = headers, body = "x", method = "POST" }
	lib.check(answer.status == 502 and lib.ran(answer) == "unknown", "truncated: " .. answer.status .. " " .. answer.body)
	answer = lib.http{ url = url .. "cut?truncate=1", headers = headers }
	lib.check(answer.status >= 500 and lib.ran(answer) == "unknown", "truncated, repeatable: " .. answer.status .. " " .. answer.body)
end
-- Invalid input gets a 4xx that names the fault, and doesn't disturb other calls.
local long = lib.complete("one", { tokens = 300, class = "stream" })
local function expect(status, reason, call)
	call.url = "http://" .. lib.ports.one .. (call.path or "/v1/completions")
	call.headers = call.headers or headers
	local answer = lib.http(call)
	lib.check(answer.status == status, reason .. ": " .. answer.status .. " " .. answer.body)
	lib.check(answer.body:find(reason, 1, true), reason .. " is not named: " .. answer.body)
	if status ~= 413 then lib.check(lib.ran(answer) == "no", reason .. ": answer does not say that the request did not run") end
end
expect(400, "bad-body", { body = "{" })
expect(400, "bad-prompt", { body = '{"model":"small"}' })
expect(404, "unknown-model", { body = '{"model":"none","prompt":"x"}' })
expect(401, "key", { body = "{}", headers = { "Authorization: Bearer wrong" } })
expect(404, "unknown-service", { path = "/services/none/x" })
expect(404, "path", { path = "/v2" })
expect(405, "method", { method = "GET" })
expect(400, "class", { body = '{"model":"small","prompt":"x"}', headers = { headers[1], "Cottonspool-Class: fast" } })
expect(400, "repeatable", { body = '{"model":"small","prompt":"x"}', headers = { headers[1], "Cottonspool-Repeatable: maybe" } })
expect(400, "wait", { body = '{"model":"small","prompt":"x"}', headers = { headers[1], "Cottonspool-Wait-Ms: 0" } })
expect(413, "", { body = string.rep("x", 5 * 1024 * 1024) })
local count, complete = lib.check_stream(http_wait(long).body)
lib.check(complete and count == 300, "the stream beside bad input: " .. count)
