-- Guards against broken guarantees under random, overlapping faults (`cottonspool gateway`): link faults, stopped, paused and killed
-- instances, changed settings and clocks, store outages and restores, failing and draining targets, rate limits, pauses, parts of prompts
-- that crash targets, and frequent configuration changes. The guarantees are checked against what callers and targets recorded.
-- --seed N chooses the faults, --scale N the length (15 s each), INSTANCES in the environment the number of instances.
local lib = require("lib")
local CONTACT_MS, DRAIN_MS, IN_FORCE_MS, REVOKE_MS, RECOVER_MS = 3000, 2000, 2000, 5000, 12000 -- Bounds that the instances guarantee.
local PROBE_MS = 300 -- Short, as faults are ended by the same loop.
local STOP_MS, ANSWER_SLACK_MS, LOST_MS, LIMIT_MS = 8500, 700, 150, 4000
local SEND_MS = 1000 -- Longest time from a send to the crash that it causes, over delayed links.
local INSTANCES = tonumber(os.getenv("INSTANCES") or "") or 8
-- Below the ephemeral ports, and different for seeds that run side by side.
local FIRST_PORT = 10000 + SEED * 100 % 20000
print("seed " .. SEED .. ", " .. INSTANCES .. " instances")
local halls, instances, names, violations, tally, pending = { "hall-a", "hall-b" }, {}, {}, {}, { faults = 0, ended = 0 }, {}
local refused, kinds, windows, config = {}, {}, {}, { version = 1, acked = 0 }
local harmful_parts, harmful_of = {}, {} -- Parts of prompts that crash targets, and the part of each request that has one.
local shown_as = {}

local function report_violation(text)
	violations[#violations + 1] = text
	print("BROKEN " .. text)
end

-- Records the time of a fault; whom: name of an instance, "store" or "targets". Guarantees are checked outside of these times.
local function add_disturbance(whom, for_ms) windows[#windows + 1] = { whom = whom, from = now_ms(), to = now_ms() + for_ms } end
local function is_undisturbed(whom, from, to)
	for _, window in ipairs(windows) do
		if window.whom == whom and window.from <= to and window.to + CONTACT_MS >= from then return false end
	end
	return true
end

local function link(to, port)
	return json(lib.control("relay", string.format('{"to":"%s","port":%d}', to, port or 0)).body).port
end
local function set_link(port, mode, delay)
	lib.control("relay", string.format('{"port":%d,"mode":"%s","delay_ms":%d}', port, mode, delay or 0))
end

local function write_settings(name, extra)
	local each = instances[name]
	return write_file(name .. ".json", string.format('{"nodeName":"%s","zone":"%s","ip":"127.0.0.1","zones":{"hall-a":"r","hall-b":"r"},'
		.. '"listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},"internalPorts":[%d,%d],"platform":{"address":"127.0.0.1:%d"},'
		.. '"bounds":{"graceS":8,"contactMs":%d,"drainMs":%d,"configApplyMs":%d,"retrySlack":50}%s}', name, each.hall, each.front, each.ready,
		each.own, each.own + 2, each.store, CONTACT_MS, DRAIN_MS, IN_FORCE_MS, extra or ""))
end

local function start(name)
	local each = instances[name]
	local file = write_settings(name)
	each.clock = write_file(name .. ".clock", "0")
	spawn(name, { "/usr/bin/env", "LD_PRELOAD=" .. BIN .. "/libcottonspool-clock.so " .. BIN .. "/libcottonspool-links.so",
		"COTTONSPOOL_TEST_CLOCK=" .. each.clock, "COTTONSPOOL_TEST_LINKS=" .. write_file(name .. ".links", "pass"),
		BIN .. "/cottonspool", "gateway", "--settings", file })
	each.up, each.known_version, each.started_at = true, 0, now_ms()
end

local function update_callers()
	local list = {}
	for name, each in pairs(instances) do
		if each.in_balancer then list[#list + 1] = string.format('"%s":"127.0.0.1:%d"', name, each.front) end
	end
	lib.control("callers", '{"instances":{' .. table.concat(list, ",") .. "}}")
end

-- The system: simulated platform, links to its store and targets, instances, callers.
lib.start_platform{ engines = 6, services = 4, event_ms = 10 }
lib.standin("relay", "relay")
lib.standin("callers", "callers", { seed = SEED, per_second = 30 + INSTANCES })
local targets, target_links = {}, {}
for id, address in pairs(lib.record("world").targets) do
	targets[#targets + 1] = id
	target_links[id] = link(address)
	shown_as[#shown_as + 1] = string.format('"%s":"127.0.0.1:%d"', address, target_links[id])
end
table.sort(targets)
for i = 1, INSTANCES do
	local name = "g" .. i
	names[i] = name
	local own = FIRST_PORT + 5 * i
	instances[name] = { hall = halls[i % 2 + 1], front = own + 3, ready = own + 4, own = own, store = link(lib.ports.world), peer = 0 }
	instances[name].peer = link("127.0.0.1:" .. own + 1)
	shown_as[#shown_as + 1] = string.format('"127.0.0.1:%d":"127.0.0.1:%d"', own + 1, instances[name].peer)
	lib.ports[name], lib.ports[name .. ".ready"] = "127.0.0.1:" .. instances[name].front, "127.0.0.1:" .. instances[name].ready
end
lib.control("world", '{"shown_as":{' .. table.concat(shown_as, ",") .. "}}")
for _, name in ipairs(names) do start(name) end
for _, name in ipairs(names) do
	lib.until_true(20000, name .. " is ready", function() return lib.is_ready(name) end)
	instances[name].in_balancer = true
end
update_callers()

-- Faults: each function injects one and schedules its end with later().
local function later(for_ms, act) pending[#pending + 1] = { at = now_ms() + for_ms, act = act } end
local function pick(list) return list[math.random(#list)] end
local function pick_instance()
	local up = {}
	for _, name in ipairs(names) do if instances[name].up and instances[name].in_balancer then up[#up + 1] = name end end
	return #up > 1 and pick(up) or nil
end
local function disturb_link(port, whom, for_ms)
	local mode = pick{ "cut", "stall", "drop-answers", "drop-requests", "reset", "delay" }
	add_disturbance(whom, for_ms)
	set_link(port, mode, mode == "delay" and math.random(20, 300) or 0)
	later(for_ms, function() set_link(port, "pass") end)
end
-- Load balancer: an instance that is not ready gets no new connections.
local function take_out(name)
	instances[name].in_balancer = false
	update_callers()
end
local function put_back(name)
	if not instances[name].up or instances[name].in_balancer then return end
	instances[name].in_balancer = lib.is_ready(name, PROBE_MS)
	if not instances[name].in_balancer then return later(200, function() put_back(name) end) end
	update_callers()
end
local function restart(name)
	wait_exit(name, 100)
	start(name)
	later(300, function() put_back(name) end)
end
local function configure(with_key)
	local before = config.version
	config.version = config.version + math.random(1, 9)
	lib.configure(config.version, "v" .. config.version, with_key and '"k1","k2"' or '"k1"')
	config.acked, config.before = now_ms(), before
	if config.key and not with_key then config.revoked = now_ms() end
	config.key = with_key
	if with_key then config.revoked = nil end
end
local spare, copying = 0, false
local faults = {
	function() local name = pick_instance() if name then disturb_link(instances[name].store, name, math.random(300, 5000)) end end,
	function() local name = pick_instance() if name then disturb_link(instances[name].peer, name, math.random(300, 4000)) end end,
	function() disturb_link(target_links[pick(targets)], "targets", math.random(300, 3000)) end,
	function() -- An instance is killed and restarted later.
		local name = pick_instance()
		if not name then return end
		local away = math.random(100, 3000)
		add_disturbance(name, away + 1500)
		signal(name, "KILL")
		instances[name].up = false
		take_out(name)
		later(away, function() restart(name) end)
	end,
	function() -- An instance is stopped as planned: callers keep their connections until the process exits.
		local name = pick_instance()
		if not name then return end
		signal(name, "TERM")
		instances[name].up, instances[name].stopping = false, now_ms()
		later(2000, function() take_out(name) end)
		local function await_exit()
			local code = wait_exit(name, 0)
			if code == nil and now_ms() - instances[name].stopping < STOP_MS then return later(100, await_exit) end
			if code == nil then report_violation(name .. " still runs " .. STOP_MS .. " ms after SIGTERM") signal(name, "KILL") end
			instances[name].stopping = nil
			add_disturbance(name, 1500)
			take_out(name)
			restart(name)
		end
		later(2100, await_exit)
	end,
	function() -- An instance, or most of a hall, is cut off from all targets, but not from callers, the store and the other instances.
		local cut, length, mode = {}, math.random(500, 6000), pick{ "refuse", "silent", "reset" }
		for _, name in ipairs(math.random(2) == 1 and { pick_instance() } or names) do
			if #cut == 0 or instances[name].hall == instances[cut[1]].hall then cut[#cut + 1] = name end
		end
		local ports = {}
		for _, port in pairs(target_links) do ports[#ports + 1] = port end
		for _, name in ipairs(cut) do
			add_disturbance(name, length)
			write_file(name .. ".links", mode .. " " .. table.concat(ports, " "))
			later(length, function() write_file(name .. ".links", "pass") end)
		end
	end,
	function() -- An engine answers with neither a length nor chunks, and may end inside events.
		local id, length = pick(targets), math.random(1000, 5000)
		if not id:match("^engine") then return end
		lib.control("world", string.format('{"do":"garble","target":"%s","how":"unframed"}', id))
		later(length, function()
			lib.control("world", string.format('{"do":"garble","target":"%s","how":""}', id))
			if math.random(2) == 1 then return end
			add_disturbance("targets", 2500)
			lib.control("world", string.format('{"do":"crash","target":"%s","inside_event":true}', id))
		end)
	end,
	function() -- An instance is paused.
		local name = pick_instance()
		if not name then return end
		local length = math.random(100, 2500)
		add_disturbance(name, length)
		signal(name, "STOP")
		later(length, function() signal(name, "CONT") end)
	end,
	function() -- The settings file of an instance changes, with or without SIGHUP.
		local name = pick_instance()
		if not name then return end
		write_settings(name, ',"heartbeatMs":' .. math.random(900, 1500))
		if math.random(2) == 1 then signal(name, "HUP") end
	end,
	function() -- The wall clock of an instance jumps, and jumps back.
		local name = pick_instance()
		if not name then return end
		write_file(name .. ".clock", tostring(math.random(-3000000, 3000000)))
		later(math.random(500, 6000), function() write_file(name .. ".clock", "0") end)
	end,
	function() -- The store fails; its rows may expire meanwhile.
		local length = math.random(300, 4000)
		add_disturbance("store", length)
		local mode = pick{ "busy", "silent", "compact", "lose", "slow" }
		lib.control("world", mode == "slow" and '{"slow_ms":' .. math.random(50, 400) .. "}" or '{"store":"' .. mode .. '"}')
		local lapse = math.random(3) == 1 and mode ~= "compact"
		if lapse then lib.control("world", '{"do":"lapse"}') end
		later(length, function()
			lib.control("world", '{"store":"up","slow_ms":0}')
			if lapse then later(800, function() lib.control("world", '{"do":"beat"}') end) end
		end)
	end,
	function() -- The store is restored from a copy, once or twice; operators and targets write their rows again.
		if copying then return end
		copying = true
		local age, away, again, twice = math.random(500, 8000), math.random(0, 1500), math.random(0, 1500), math.random(3) == 1
		lib.control("world", '{"do":"copy"}')
		local function come_back(last)
			lib.control("world", '{"do":"return","store":"up"}')
			if not last then return later(math.random(100, 900), function() come_back(true) end) end
			add_disturbance("store", again)
			local tables = math.random(2) == 1 and { "op", "servers" } or { "servers", "op" }
			for i, name in ipairs(tables) do later(again * i // 2, function() lib.control("world", '{"again":"' .. name .. '"}') end) end
			copying = false
		end
		later(age, function()
			add_disturbance("store", away + 2000)
			lib.control("world", '{"store":"' .. pick{ "away", "silent", "busy" } .. '"}')
			later(away, function() come_back(not twice) end)
		end)
	end,
	function() -- A target is removed with or without notice, or killed; another one is added.
		spare = spare + 1
		local i = math.random(#targets)
		local old, pool = targets[i], targets[i]:match("^engine") and "engines" or "services"
		local how = pick{ "leave", "leave", "vanish", "kill" }
		targets[i] = (pool == "engines" and "engine-x" or "service-x") .. spare
		lib.control("world", string.format('{"do":"add","target":"%s","pool":"%s"}', targets[i], pool))
		target_links[targets[i]] = target_links[old]
		lib.control("world", string.format('{"do":"%s","target":"%s"}', how, old))
		if how == "kill" then return add_disturbance("targets", 500) end
		later(DRAIN_MS + 2500, function()
			add_disturbance("targets", 500)
			lib.control("world", string.format('{"do":"kill","target":"%s"}', old))
		end)
	end,
	function() -- A service fails half of its calls, or truncates its answers.
		local id = pick(targets)
		if not id:match("^service") then return end
		local length = math.random(500, 3000)
		add_disturbance("targets", length)
		lib.control("world", math.random(2) == 1 and string.format('{"do":"fail","target":"%s","part":0.5}', id)
			or string.format('{"do":"garble","target":"%s","how":"reset"}', id))
		later(length, function()
			lib.control("world", string.format('{"do":"fail","target":"%s","part":0}', id))
			lib.control("world", string.format('{"do":"garble","target":"%s","how":""}', id))
		end)
	end,
	function() -- Some streams have a part in their prompts that crashes engines.
		if #harmful_parts > 2 then return end
		local part, length = "dead" .. #harmful_parts, math.random(3000, 8000)
		harmful_parts[#harmful_parts + 1] = part
		lib.control("callers", '{"harmful":"' .. part .. '"}')
		later(length, function() if part == harmful_parts[#harmful_parts] then lib.control("callers", '{"harmful":""}') end end)
	end,
	function() -- A target announces a rate limit, and later withdraws it.
		local id, length = pick(targets), math.random(4000, 9000)
		local function announce(per_s) lib.control("world", string.format('{"do":"limit","target":"%s","per_s":"%s"}', id, per_s)) end
		announce(pick{ "1.5", "4", "12" })
		later(length, function() announce("") end)
	end,
	function() -- A target rejects requests and asks their senders for a pause.
		lib.control("world", string.format('{"do":"pause","target":"%s","ms":%d}', pick(targets), math.random(700, 3000)))
	end,
	function() -- A target announces its drain only in its answers; another one is added.
		local i = math.random(#targets)
		local old, pool = targets[i], targets[i]:match("^engine") and "engines" or "services"
		spare = spare + 1
		targets[i] = (pool == "engines" and "engine-x" or "service-x") .. spare
		lib.control("world", string.format('{"do":"add","target":"%s","pool":"%s"}', targets[i], pool))
		target_links[targets[i]] = target_links[old]
		lib.control("world", string.format('{"do":"say-leaving","target":"%s"}', old))
		later(DRAIN_MS + 2500, function()
			add_disturbance("targets", 500)
			lib.control("world", string.format('{"do":"kill","target":"%s"}', old))
		end)
	end,
	function() configure(math.random(2) == 1) end,
	function() for i = 0, 4 do later(i * 300, function() configure(math.random(2) == 1) end) end end,
}

-- Checks one answer as a caller saw it.
local function check_answer(each)
	tally.ended = tally.ended + 1
	kinds[each.id] = each.kind
	if each.harmful ~= "" then harmful_of[each.id] = each.harmful end
	tally[each["end"] .. each.status] = (tally[each["end"] .. each.status] or 0) + 1
	if each.fault ~= "" then report_violation(each.id .. ": " .. each.fault) end
	local is_rejection = each["end"] == "whole" and (each.status == 503 or each.status == 429 or each.status == 408 or each.status == 421)
	if is_rejection then refused[each.id] = true end
	if is_rejection and (each.status == 503 or each.status == 429) and not each.retry_after then report_violation(each.id .. ": no Retry-After") end
	local undisturbed = is_undisturbed(each.instance, each.began, each.over) and is_undisturbed("targets", each.began, each.over)
	if undisturbed and each["end"] == "broken" and each.over - each.began > LOST_MS then
		report_violation(each.id .. ": cut after " .. each.over - each.began .. " ms (" .. each.cause .. ") without a fault")
	end
	if undisturbed and each["end"] == "whole" and (each.status == 502 or each.status == 504) and is_undisturbed("store", each.began, each.over) then
		report_violation(each.id .. ": " .. each.status .. " without a fault")
	end
	local limit = (each.kind == "s" and 15000 or 2000) + ANSWER_SLACK_MS
	if is_undisturbed(each.instance, each.began, each.over) and each["end"] ~= "left" and each.over - each.began > limit then
		report_violation(each.id .. ": answered after " .. each.over - each.began .. " ms")
	end
end
-- Engines may crash as long as a request with a harmful part is open.
local known_crashes = 0
local function add_crashes(crashes)
	for i = known_crashes + 1, #crashes do windows[#windows + 1] = { whom = "targets", from = crashes[i].at, to = crashes[i].at } end
	known_crashes = #crashes
end
local function collect_answers()
	local taken = json(lib.http{ url = "http://" .. lib.ports.callers .. "/take" }.body)
	if #harmful_parts > 0 then add_crashes(lib.record("world").crashes) end
	for _, each in ipairs(taken.ended) do check_answer(each) end
	return taken.open
end

-- Checks what targets saw: rejected requests did not run, and draining targets got nothing new.
local checked_late = 0
local function check_record()
	local counts, record = lib.count_runs()
	for id, count in pairs(counts) do
		local kind = refused[id] and "refused"
		if kind then report_violation(id .. ": answered as not run, but ran " .. count .. " times") refused[id] = nil end
	end
	for i = checked_late + 1, #record.late do
		local late = record.late[i]
		local name = late.request:match("^(g%d+)%-")
		local from = late.at - late.after_ms - CONTACT_MS
		if late.after_ms > DRAIN_MS and name and is_undisturbed(name, from, late.at) and is_undisturbed("store", from, late.at) then
			report_violation(late.request .. " reached " .. late.target .. " " .. late.after_ms .. " ms after its drain notice")
		end
	end
	checked_late = #record.late
	return counts, record
end

-- Rate limits and pauses that targets announced, checked at the end. Instances with a recent fault are left out.
local function undisturbed_sender(arrival)
	local name = arrival.request:match("^(g%d+)%-")
	return name and is_undisturbed(name, arrival.at - LIMIT_MS - CONTACT_MS, arrival.at) and name
end
local function check_limit(named, ends, arrivals)
	local times, first = {}, 1
	for _, arrival in ipairs(arrivals) do
		local inside = arrival.target == named.target and arrival.at > named.at + CONTACT_MS and arrival.at < ends
		if inside and undisturbed_sender(arrival) then times[#times + 1] = arrival.at end
	end
	for last = 1, #times do
		while times[last] - times[first] >= LIMIT_MS do first = first + 1 end
		local allowed = 1.5 * named.per_s * LIMIT_MS / 1000 + 5
		if last - first + 1 > allowed then
			return report_violation(named.target .. " has a limit of " .. named.per_s .. " requests per second and got " .. last - first + 1 .. " in four seconds")
		end
	end
end
local function check_pause(pause, arrivals)
	local first_arrival, count = {}, {}
	for _, arrival in ipairs(arrivals) do
		local inside = arrival.target == pause.target and arrival.at >= pause.at and arrival.at < pause["until"]
		local name = inside and undisturbed_sender(arrival)
		if name then
			first_arrival[name] = first_arrival[name] or arrival.at
			if arrival.at > first_arrival[name] + 500 then count[name] = (count[name] or 0) + 1 end
			if count[name] and count[name] > 2 then
				return report_violation(pause.target .. " asked " .. name .. " for a pause and got " .. count[name] .. " requests in it")
			end
		end
	end
end
local function check_announcements(record)
	for i, named in ipairs(record.limits) do
		local ends = math.huge
		for j = i + 1, #record.limits do
			if record.limits[j].target == named.target then ends = math.min(ends, record.limits[j].at) end
		end
		if named.per_s > 0 then check_limit(named, ends, record.arrivals) end
	end
	for _, pause in ipairs(record.pauses) do check_pause(pause, record.arrivals) end
	tally.limits, tally.pauses = #record.limits, #record.pauses
end

-- Parts of prompts that crash targets, checked at the end: a contact time after the fifth crash, undisturbed instances send three more.
local function check_harmful_parts(record)
	for _, part in ipairs(harmful_parts) do
		local times, late, fifth = {}, 0, nil
		for _, crash in ipairs(record.crashes) do
			local name = harmful_of[crash.request] == part and crash.request:match("^(g%d+)%-")
			if name then
				times[#times + 1] = crash.at
				fifth = #times == 5 and crash.at or fifth
				local in_touch = fifth and is_undisturbed(name, fifth, crash.at) and is_undisturbed("store", fifth, crash.at)
				if in_touch and crash.at > fifth + CONTACT_MS + SEND_MS then late = late + 1 end
			end
		end
		tally[part] = #times
		if late > 3 then report_violation(late .. " targets crashed under the part " .. part .. " after the fifth and a contact time") end
	end
end

-- Checks that a configuration is in force within the bound and that no instance reverts to an older one.
local probes = 0
local function probe(name, path, key)
	probes = probes + 1
	return http_wait(lib.request(name, path, "probe" .. probes, { key = key, deadline = PROBE_MS, limit_ms = 2 * PROBE_MS }))
end
local function check_configuration()
	local version, acked = config.version, config.acked
	if acked == 0 then return end
	for _, name in ipairs(names) do
		local each = instances[name]
		local started = each.started_at
		if each.up and each.in_balancer and is_undisturbed(name, now_ms(), now_ms()) then
			local before = now_ms()
			local known = probe(name, "/v" .. version .. "/x")
			local settled = is_undisturbed(name, acked, now_ms()) and is_undisturbed("store", acked, now_ms())
			if config.version == version and each.started_at == started and each.up then
				if known.status == 404 and each.known_version >= version then report_violation(name .. " reverted to a version before " .. version) end
				if known.status == 404 and settled and before - acked > IN_FORCE_MS then report_violation(name .. " does not serve version " .. version) end
				if known.status ~= 404 and known.status ~= 0 and known.status ~= 503 then each.known_version = math.max(each.known_version, version) end
				local old = config.before > 1 and each.known_version >= version and probe(name, "/v" .. config.before .. "/x")
				if old and old.status == 200 then report_violation(name .. " serves the route of " .. config.before .. " after " .. version) end
				if config.revoked and settled and before - config.revoked > REVOKE_MS and probe(name, "/r/x", "k2").status == 200 then
					report_violation(name .. " accepts a key " .. before - config.revoked .. " ms after it was revoked")
				end
			end
		end
	end
end

local stop = now_ms() + math.floor(15000 * SCALE)
local next_fault, next_check = now_ms() + 1000, now_ms() + 1000
while now_ms() < stop do
	for i = #pending, 1, -1 do
		if now_ms() >= pending[i].at then table.remove(pending, i).act() end
	end
	if now_ms() >= next_fault then
		tally.faults = tally.faults + 1
		pick(faults)()
		next_fault = now_ms() + math.random(50, 900)
	end
	if now_ms() >= next_check then
		collect_answers()
		check_record()
		check_configuration()
		next_check = now_ms() + 1000
	end
	sleep_ms(20)
end
-- All faults end; the system recovers without an operator.
while #pending > 0 do
	for i = #pending, 1, -1 do
		if now_ms() >= pending[i].at then table.remove(pending, i).act() end
	end
	sleep_ms(20)
end
local function recovered(name)
	for _, path in ipairs{ "/s/x", "/o/x", "/r/x" } do
		probes = probes + 1
		if http_wait(lib.request(name, path, "back" .. probes, { events = 3, deadline = 1500, limit_ms = 2000 })).status ~= 200 then return false end
	end
	return true
end
for _, name in ipairs(names) do lib.until_true(RECOVER_MS, name .. " serves again", function() return recovered(name) end) end
lib.control("callers", '{"active":false}')
lib.until_true(20000, "no request is open", function() return collect_answers() == 0 end)
config.acked = config.acked > 0 and now_ms() - IN_FORCE_MS - 1 or 0
check_configuration()
local counts, record = check_record()
check_announcements(record)
check_harmful_parts(record)
for _, run in ipairs(record.works_on) do
	if undisturbed_sender(run) and is_undisturbed("targets", run.at - LIMIT_MS, run.at) then report_violation(run.target .. " works on " .. run.request) end end
for id, count in pairs(counts) do
	local most = kinds[id] and kinds[id] ~= "r" and 1 or 2
	if count > most then report_violation(id .. " ran " .. count .. " times") end
end
local out_text = {}
for key, count in pairs(tally) do out_text[#out_text + 1] = key .. " " .. count end
table.sort(out_text)
print(table.concat(out_text, ", "))
lib.check(tally.whole200 and tally.whole200 > 0, "nothing was served")
lib.check(#violations == 0, #violations .. " guarantees violated, the first: " .. tostring(violations[1]))
