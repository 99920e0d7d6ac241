-- Leases and fenced orders: a holder paused past its lease, lost answers, repeated orders, targets that check and that don't.
local lib = require("lib")
lib.standin("platform", "platform")
local checks = lib.standin("engine1", "engine", { name = "engine1", models = "none" })
local trusts = lib.standin("engine2", "engine", { name = "engine2", models = "none", check_fences = "false" })
for i = 1, 3 do lib.instance("i" .. i) end
lib.apply("[model.small]\n[model.large]\n" .. lib.account("kiosk") .. lib.target("engine1", checks, "hall-a", "small", 'role = "decode"')
	.. lib.target("engine2", trusts, "hall-a", "small", "checks_fences = false"))

local function has(engine, model)
	for _, loaded in ipairs(lib.record(engine).models) do if loaded == model then return true end end
	return false
end
local function holder()
	for i = 1, 3 do
		local answer = lib.http{ url = "http://" .. lib.ports["i" .. i] .. "/operator/status", headers = { "Authorization: Bearer ops" }, limit_ms = 300 }
		if answer.status == 200 and json(answer.body).lease.held then return "i" .. i end
	end
end
-- Orders in the sequence of their arrival: at a target that checks fences, epochs never fall.
local function check_epochs(engine)
	local last = 0
	for _, order in ipairs(lib.record(engine).orders) do
		lib.check(order.epoch >= last, engine .. " took an order of epoch " .. order.epoch .. " after " .. last)
		last = order.epoch
	end
end

lib.until_true(20000, "both engines are ordered to load the model", function() return has("engine1", "small") and has("engine2", "small") end)
lib.check(lib.record("engine1").role == "decode", "the role was not ordered")
lib.check(http_wait(lib.complete("i1", { tokens = 5 })).status == 200, "not served after the load")

-- Answers of the table are lost while the lease is renewed.
lib.control("platform", '{"lose_answers":4}')
sleep_ms(3000)
lib.control("platform", '{"lose_answers":0}')
lib.until_true(20000, "somebody holds the lease", holder)

-- The holder is paused past its lease while another configuration comes; another takes over; the paused one returns.
for round, model in ipairs({ "large", "small", "large" }) do
	local paused = lib.until_true(20000, "somebody holds the lease", holder)
	signal(paused, "STOP")
	local others = {}
	for i = 1, 3 do if "i" .. i ~= paused then others[#others + 1] = "i" .. i end end
	lib.operator({ "apply", write_file("load" .. round .. ".toml", 'author = "s"\n' .. lib.target("engine1", checks, "hall-a", model, 'role = "decode"')
		.. lib.target("engine2", trusts, "hall-a", model, "checks_fences = false")) }, others)
	lib.until_true(25000, "another holder orders the load", function() return has("engine1", model) and has("engine2", model) end)
	signal(paused, "CONT")
	sleep_ms(1500)
	lib.check(has("engine1", model) and has("engine2", model), "the returning holder's orders took effect")
	check_epochs("engine1")
	check_epochs("engine2")
end
lib.until_true(20000, "served after the changes", function()
	return http_wait(lib.complete("i2", { tokens = 5, model = "large" })).status == 200
end)
-- An engine that starts anew without its model is ordered again.
signal("engine2", "KILL")
wait_exit("engine2", 5000)
lib.standin("engine2", "engine", { name = "engine2", models = "none", check_fences = "false", port = trusts:match(":(%d+)") })
lib.until_true(20000, "a new start is ordered again", function() return has("engine2", "large") end)
-- Orders are not repeated once the engine is as wanted.
local count = #lib.record("engine1").orders
sleep_ms(3000)
lib.check(#lib.record("engine1").orders == count, "orders go on although the engine is as wanted")
