-- Guards against orders of an instance that has lost the lease, at engines that check fencing tokens and at engines that don't.
local lib = require("lib")
lib.standin("platform", "platform")
local fenced = lib.standin("engine1", "engine", { name = "engine1", models = "none" })
local unfenced = lib.standin("engine2", "engine", { name = "engine2", models = "none", check_fences = "false" })
for i = 1, 3 do lib.instance("i" .. i) end
lib.apply("[model.small]\n[model.large]\n" .. lib.account("kiosk") .. lib.target("engine1", fenced, "hall-a", "small", 'role = "decode"')
	.. lib.target("engine2", unfenced, "hall-a", "small", "checks_fences = false"))

local function has_model(engine, model)
	for _, loaded in ipairs(lib.record(engine).models) do if loaded == model then return true end end
	return false
end
local function holder()
	for i = 1, 3 do
		local answer = lib.http{ url = "http://" .. lib.ports["i" .. i] .. "/operator/status", headers = { "Authorization: Bearer ops" }, limit_ms = 300 }
		if answer.status == 200 and json(answer.body).lease.held then return "i" .. i end
	end
end
-- Checks that the epochs of accepted orders never decrease.
local function check_epochs(engine)
	local last = 0
	for _, order in ipairs(lib.record(engine).orders) do
		lib.check(order.epoch >= last, engine .. " accepted an order of epoch " .. order.epoch .. " after " .. last)
		last = order.epoch
	end
end

lib.until_true(20000, "both engines have loaded the model", function() return has_model("engine1", "small") and has_model("engine2", "small") end)
lib.check(lib.record("engine1").role == "decode", "the role was not ordered")
lib.check(http_wait(lib.complete("i1", { tokens = 5 })).status == 200, "not served after the load")

-- The store's answers are lost while the lease is renewed.
lib.control("platform", '{"lose_answers":4}')
sleep_ms(3000)
lib.control("platform", '{"lose_answers":0}')
lib.until_true(20000, "an instance holds the lease", holder)

-- The holder is paused past its lease during a change; another instance takes over; the paused one resumes.
for round, model in ipairs({ "large", "small", "large" }) do
	local paused = lib.until_true(20000, "an instance holds the lease", holder)
	signal(paused, "STOP")
	local others = {}
	for i = 1, 3 do if "i" .. i ~= paused then others[#others + 1] = "i" .. i end end
	lib.operator({ "apply", write_file("load" .. round .. ".toml", 'author = "s"\n' .. lib.target("engine1", fenced, "hall-a", model, 'role = "decode"')
		.. lib.target("engine2", unfenced, "hall-a", model, "checks_fences = false")) }, others)
	lib.until_true(25000, "another holder orders the load", function() return has_model("engine1", model) and has_model("engine2", model) end)
	signal(paused, "CONT")
	sleep_ms(1500)
	lib.check(has_model("engine1", model) and has_model("engine2", model), "orders of the former holder took effect after it resumed")
	check_epochs("engine1")
	check_epochs("engine2")
end
lib.until_true(20000, "served after the changes", function()
	return http_wait(lib.complete("i2", { tokens = 5, model = "large" })).status == 200
end)
-- An engine that restarts without its model is ordered to load it again.
signal("engine2", "KILL")
wait_exit("engine2", 5000)
lib.standin("engine2", "engine", { name = "engine2", models = "none", check_fences = "false", port = unfenced:match(":(%d+)") })
lib.until_true(20000, "the restarted engine has loaded the model", function() return has_model("engine2", "large") end)
-- No orders are sent to an engine that is in the wanted state.
local count = #lib.record("engine1").orders
sleep_ms(3000)
lib.check(#lib.record("engine1").orders == count, "orders are sent although the engine is in the wanted state")
