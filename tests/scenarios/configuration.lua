-- Guards against an accepted configuration that reaches an instance late, or that an instance reverts, under conflicting changes, lost
-- store answers, partitions, peers with an older configuration and paused processes.
local lib = require("lib")
local IN_FORCE_MS = 13000
lib.standin("platform", "platform")
local engine = lib.standin("engine1", "engine", { name = "engine1", step_ms = 3 })
local via_link = lib.relay("link-platform", lib.ports.platform)
lib.instance("i1", { hall = "hall-a" })
lib.instance("i2", { hall = "hall-a" })
lib.instance("i3", { hall = "hall-b", platform = via_link, extra = { configuration = { "stale_ms = 2000" } } })
lib.instance("i4", { hall = "hall-b", platform = via_link, extra = { configuration = { "stale_ms = 2000" } } })
lib.apply("[model.small]\n" .. lib.account("kiosk") .. lib.target("engine1", engine, "hall-a", "small")
	.. lib.target("pay1", lib.standin("pay1", "service"), "hall-a", "pay", 'kind = "service"'))

-- Checks that the configuration sequence of each instance never decreases.
local seen = {}
local function check_sequences()
	for _, name in ipairs(lib.names) do
		local answer = lib.http{ url = "http://" .. lib.ports[name] .. "/operator/status", headers = { "Authorization: Bearer ops" }, limit_ms = 500 }
		if answer.status == 200 then
			local sequence = json(answer.body).sequence
			lib.check(sequence >= (seen[name] or 0), name .. " went back from " .. tostring(seen[name]) .. " to " .. sequence)
			seen[name] = sequence
		end
	end
end
local function wait_in_force(sequence, names)
	local from = now_ms()
	lib.until_true(IN_FORCE_MS, "sequence " .. sequence .. " is in force everywhere", function()
		check_sequences()
		for _, name in ipairs(names or lib.names) do if (seen[name] or 0) < sequence then return false end end
		return true
	end)
	return now_ms() - from
end

-- Four operators apply conflicting changes, each at another instance: one is accepted, the others learn whose change it was.
local function race(round, inject_fault)
	local base = lib.status("i1").sequence
	if inject_fault then inject_fault() end
	for i = 1, 4 do
		local file = write_file("race" .. i .. ".toml", string.format('id = "race%d-%d"\nauthor = "operator%d"\nbase = %d\n[share."*"]\n"hall-%d" = 1\n"hall-a" = 1\n',
			round, i, i, base, i))
		spawn("racer" .. i, { BIN .. "/cottonspool", "--key", "ops", "--server", "http://" .. lib.ports["i" .. i], "apply", file })
	end
	local won, refused = 0, 0
	for i = 1, 4 do
		local code = wait_exit("racer" .. i, 60000)
		if code == 0 then won = won + 1 end
		if code == 3 then
			refused = refused + 1
			lib.check(output("racer" .. i):find("by operator%d"), "the conflict does not name the other operator: " .. output("racer" .. i))
		end
	end
	if inject_fault then lib.control("platform", '{"lose_answers":0}') end
	lib.check(won <= 1, won .. " of four conflicting changes were accepted")
	if not inject_fault then lib.check(won == 1 and refused == 3, "race: accepted " .. won .. ", refused " .. refused) end
	-- Repeating a change whose outcome is unknown is harmless; exactly one of the four is in force.
	won = 0
	for i = 1, 4 do
		local code = lib.operator({ "apply", DIR .. "/race" .. i .. ".toml" }, { "i1" })
		if code == 0 then won = won + 1 end
		if not inject_fault then write_file("none.toml", "") end
	end
	lib.check(won == 1, "after repeating, " .. won .. " of four conflicting changes are in force")
	check_sequences()
end
for round = 1, 3 do race(round) end
for round = 4, 5 do race(round, function() lib.control("platform", '{"lose_answers":2}') end) end

-- A hall that reaches its peers but not the platform gets changes from them and reports its configuration as fresh.
lib.link("link-platform", "cut")
local sequence = lib.apply('[share."*"]\n"hall-a" = 2\n', { "i1", "i2" })
local took = wait_in_force(sequence)
print("in force everywhere with one hall cut off from the platform after " .. took .. " ms")
sleep_ms(2500)
check_sequences()
lib.check(lib.status("i3").fresh, "a hall that reaches live peers reports its configuration as stale")
lib.check(http_wait(lib.pay("i3", nil, "pay")).status == 200, "a hall that reaches live peers refuses a call")

-- Without live peers it reports its configuration as stale, refuses calls that must not run twice and serves all others.
signal("i1", "STOP")
signal("i2", "STOP")
lib.until_true(10000, "a hall without platform and peers reports its configuration as stale", function() return not lib.status("i3").fresh end)
local refused = http_wait(lib.pay("i3", nil, "pay"))
lib.check(refused.status == 503 and lib.ran(refused) == "no" and refused.body:find("configuration%-stale"), "without platform and peers: " .. refused.body)
lib.check(http_wait(lib.complete("i3", { tokens = 10 })).status == 200, "without platform and peers: stream not served")
-- An instance that starts now loads the configuration of a peer that cannot confirm it, and reports it as stale.
lib.instance("i5", { hall = "hall-b", platform = via_link, seeds = { "i3", "i4" }, extra = { configuration = { "stale_ms = 2000" } } })
lib.until_true(10000, "the new instance has the configuration of its peers", function() return lib.status("i5").sequence == sequence end)
lib.check(not lib.status("i5").fresh, "an instance that started from a stale peer reports its configuration as fresh")
lib.ready("i5", 2)
lib.check(http_wait(lib.complete("i5", { tokens = 10 })).status == 200, "started from a peer: stream not served")

-- Resumed instances have outdated messages in their sockets; they catch up and never go back.
signal("i1", "CONT")
signal("i2", "CONT")
lib.link("link-platform", "pass")
signal("i4", "STOP")
for i = 1, 5 do sequence = lib.apply('[share."*"]\n"hall-a" = ' .. i + 2 .. "\n", { "i1" }) end
signal("i4", "CONT")
print("in force everywhere after a pause of one instance after " .. wait_in_force(sequence) .. " ms")
lib.until_true(10000, "all are fresh again", function()
	for _, name in ipairs(lib.names) do if not lib.status(name).fresh then return false end end
	return true
end)

-- Time until a change is in force without faults.
local worst = 0
for i = 1, 10 do
	sequence = lib.apply('[share."*"]\n"hall-a" = ' .. i + 20 .. "\n", { "i" .. (i % 5 + 1) })
	worst = math.max(worst, wait_in_force(sequence))
end
print("in force everywhere, worst of 10: " .. worst .. " ms after the change was accepted")
