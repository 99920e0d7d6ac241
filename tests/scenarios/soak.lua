-- Guards against wrong answers, repeated runs and lasting damage under random faults (`cottonspool serve`). --seed chooses the faults, the
-- length is 12 s times --scale. The verdict depends only on answers and records, never on speed.
local lib = require("lib")
print("seed " .. SEED)
local halls = { "hall-a", "hall-b", "hall-c" }
lib.standin("platform", "platform")
local change, ports, links = "[model.small]\n", {}, {}
for i = 1, 10 do
	local name = "engine" .. i
	ports[name] = lib.standin(name, "engine", { name = name, step_ms = 4, memory_tokens = 3000, orphan_ms = 3000 }):match(":(%d+)")
	links[#links + 1] = "link" .. i
	change = change .. lib.target(name, lib.relay("link" .. i, "127.0.0.1:" .. ports[name]), halls[i % 3 + 1], "small")
end
for i = 1, 3 do
	local name = "pay" .. i
	links[#links + 1] = "link-" .. name
	change = change .. lib.target(name, lib.relay("link-" .. name, lib.standin(name, "service")), halls[i], "pay", 'kind = "service"')
end
for i = 1, 10 do change = change .. lib.account("account" .. i) end
change = change .. lib.account("kiosk")
local limits = { calls = { "stall_ms = 500", "resume_ms = 3000", "first_byte_ms = 8000", "service_ms = 2500" } }
for i = 1, 8 do lib.instance("i" .. i, { hall = halls[i % 3 + 1], extra = limits }) end
lib.apply(change)
for i = 1, 8 do lib.ready("i" .. i, 13) end

local calls, tally, lost_runs = {}, { no = 0, yes = 0, unknown = 0, lost = 0 }, {}
local refused = {}
local function send_call()
	local name = "i" .. math.random(8)
	local account = "account" .. math.random(10)
	local kind = math.random(4)
	if kind <= 2 then
		calls[#calls + 1] = { stream = kind == 1, call = lib.complete(name, { account = account, stream = kind == 1, class = kind == 1 and "stream" or nil,
			tokens = math.random(20) == 1 and 400 or math.random(5, 40), limit_ms = 40000 }) }
	elseif kind == 3 then
		local key = "key" .. math.random(1, 30 + #calls // 4)
		calls[#calls + 1] = { key = key, call = lib.pay(name, key, "pay " .. key, { limit_ms = 20000 }) }
	else
		calls[#calls + 1] = { call = http_start{ url = "http://" .. lib.ports[name] .. "/services/pay/tile?delay_ms=" .. math.random(0, 60),
			headers = { "Authorization: Bearer " .. account .. "-key" }, limit_ms = 20000 } }
	end
end
local function check_answer(entry)
	local answer = http_wait(entry.call)
	if answer.error ~= "" then
		tally.lost = tally.lost + 1 -- The instance was killed: there is no answer.
		if entry.stream then lib.check_stream(answer.body) end
		return
	end
	local ran = lib.ran(answer)
	lib.check(ran, "answer does not say whether it ran: " .. answer.status .. " " .. answer.body)
	tally[ran] = tally[ran] + 1
	local request = answer.head:lower():match("cottonspool%-request: ([%w%-]+)")
	if ran == "no" and request then refused[#refused + 1] = request end
	if entry.stream and answer.status == 200 then
		local _, complete, failure = lib.check_stream(answer.body)
		lib.check(complete or failure, "a stream ended without a final event")
	end
end

-- Faults: each function injects one and returns a function that ends it.
local function restart(name, again)
	signal(name, "KILL")
	wait_exit(name, 3000)
	return again
end
local records = {}
local function save_record(name) records[#records + 1] = lib.record(name) end
local faults = {
	function() local link = links[math.random(#links)] lib.link(link, "cut") return function() lib.link(link, "pass") end end,
	function() local link = links[math.random(#links)] lib.link(link, "stall") return function() lib.link(link, "pass") end end,
	function() local link = links[math.random(#links)] lib.link(link, "drop-answers") return function() lib.link(link, "pass") end end,
	function()
		local name = "engine" .. math.random(10)
		save_record(name)
		return restart(name, function() lib.standin(name, "engine", { name = name, port = ports[name], step_ms = 4, memory_tokens = 3000, orphan_ms = 3000 }) end)
	end,
	function() local name = "engine" .. math.random(10) signal(name, "STOP") return function() signal(name, "CONT") end end,
	function() local name = "pay" .. math.random(3) signal(name, "STOP") return function() signal(name, "CONT") end end,
	function() lib.control("platform", '{"down":true}') return function() lib.control("platform", '{"down":false}') end end,
	function() lib.control("platform", '{"slow_ms":250}') return function() lib.control("platform", '{"slow_ms":0}') end end,
	function() lib.control("platform", '{"lose_answers":5}') return function() lib.control("platform", '{"lose_answers":0}') end end,
	function()
		local i = math.random(8)
		return restart("i" .. i, function() lib.instance("i" .. i, { hall = halls[i % 3 + 1], extra = limits }) end)
	end,
	function() local name = "i" .. math.random(8) signal(name, "STOP") return function() signal(name, "CONT") end end,
	function() local name = "engine" .. math.random(10) lib.control(name, '{"slow_factor":6}') return function() lib.control(name, '{"slow_factor":1}') end end,
}
local stop = now_ms() + 12000 * SCALE
local happened = 0
while now_ms() < stop do
	local undo = {}
	for _ = 1, math.random(2) do
		undo[#undo + 1] = faults[math.random(#faults)]()
		happened = happened + 1
	end
	for _ = 1, math.random(6, 50) do
		send_call()
		sleep_ms(25)
	end
	for _, act in ipairs(undo) do act() end
	while #calls > 120 do check_answer(table.remove(calls, 1)) end
end
for _, entry in ipairs(calls) do check_answer(entry) end
calls = {}

-- The system recovers without an operator.
lib.until_true(30000, "all instances serve calls again", function()
	for i = 1, 8 do
		local answer = http_wait(lib.complete("i" .. i, { account = "account1", tokens = 10, limit_ms = 5000 }))
		if answer.status ~= 200 then return false end
		if http_wait(lib.pay("i" .. i, "after" .. i .. now_ms(), "pay", { limit_ms = 5000 })).status ~= 200 then return false end
	end
	return true
end)
lib.until_true(30000, "no call is left queued or in flight", function()
	for i = 1, 8 do
		local status = lib.status("i" .. i)
		if status.calls > 0 or status.queued > 0 or status.in_flight > 0 then return false end
	end
	return true
end)
-- Compares the targets' records with the answers.
local ran, runs = {}, {}
for i = 1, 10 do save_record("engine" .. i) end
for i = 1, 3 do
	local record = lib.record("pay" .. i)
	records[#records + 1] = record
	for key, count in pairs(lib.runs_by_key(record)) do runs[key] = (runs[key] or 0) + count end
end
for _, record in ipairs(records) do
	for _, run in ipairs(record.runs) do if run.began ~= false then ran[run.request] = true end end
end
for _, request in ipairs(refused) do lib.check(not ran[request], "answered as not run, but it ran: " .. request) end
for key, count in pairs(runs) do lib.check(count <= 1 or key == "", "key " .. key .. " ran " .. count .. " times") end
print(string.format("faults %d; answers: yes %d, no %d, unknown %d, instance died %d; refusals compared %d", happened, tally.yes, tally.no,
	tally.unknown, tally.lost, #refused))
