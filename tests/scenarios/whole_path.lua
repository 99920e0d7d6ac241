-- Guards against incomplete or swapped answers from caller to target: streams, unstreamed completions and service calls together, through
-- 8 entry instances in three data halls to 10 engines and 3 services, for 10 client accounts.
local lib = require("lib")
local halls = { "hall-a", "hall-b", "hall-c" }
lib.standin("platform", "platform")
local change = "[model.small]\n"
for i = 1, 10 do
	local name = "engine" .. i
	change = change .. lib.target(name, lib.standin(name, "engine", { name = name, step_ms = 2 }), halls[i % 3 + 1], "small")
end
for i = 1, 3 do
	local name = "pay" .. i
	change = change .. lib.target(name, lib.standin(name, "service"), halls[i], "pay", 'kind = "service"')
end
for i = 1, 10 do change = change .. lib.account("account" .. i) end
for i = 1, 8 do lib.instance("instance" .. i, { hall = halls[i % 3 + 1] }) end
lib.apply(change)
for i = 1, 8 do lib.ready("instance" .. i, 13) end

local streams, unstreamed, services = {}, {}, {}
for i = 1, 240 do
	local instance = "instance" .. (i % 8 + 1)
	local account = "account" .. (i % 10 + 1)
	local tokens = i % 40 == 0 and 600 or 5 + i % 30
	if i % 3 == 0 then
		streams[#streams + 1] = { call = lib.complete(instance, { account = account, tokens = tokens, class = "stream" }), tokens = tokens }
	elseif i % 3 == 1 then
		unstreamed[#unstreamed + 1] = { call = lib.complete(instance, { account = account, tokens = tokens, stream = false }), tokens = tokens }
	else
		local headers = { "Authorization: Bearer " .. account .. "-key" }
		local url = "http://" .. lib.ports[instance] .. "/services/pay/session/" .. i .. "?delay_ms=" .. (i * 37 % 90)
		services[#services + 1] = { call = http_start{ url = url, headers = headers, body = "body " .. i }, number = i }
	end
end
for _, entry in ipairs(streams) do
	local answer = http_wait(entry.call)
	local count, complete = lib.check_stream(answer.body)
	lib.check(answer.status == 200 and complete and count == entry.tokens, "stream: " .. answer.status .. " " .. count .. " of " .. entry.tokens)
end
for _, entry in ipairs(unstreamed) do
	local answer = http_wait(entry.call)
	local body = json(answer.body)
	lib.check(answer.status == 200 and body.cottonspool.complete, "not streamed: " .. answer.status .. " " .. answer.body)
	lib.check(body.usage.completion_tokens == entry.tokens, "not streamed: wrong length")
	local last = body.choices[1].text:match("%.(%d+) $")
	lib.check(tonumber(last) == entry.tokens, "not streamed: ends with token " .. tostring(last))
end
for _, entry in ipairs(services) do
	local answer = http_wait(entry.call)
	local body = json(answer.body)
	lib.check(answer.status == 200 and lib.ran(answer) == "yes", "service: " .. answer.status .. " " .. answer.body)
	lib.check(body.path == "/session/" .. entry.number and body.echo == "body " .. entry.number, "service: answer to another request")
end
for i = 1, 8 do
	signal("instance" .. i, "TERM")
end
for i = 1, 8 do lib.check(wait_exit("instance" .. i, 15000) == 0, "instance" .. i .. " did not exit with code 0") end
