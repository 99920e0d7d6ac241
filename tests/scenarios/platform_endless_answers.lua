-- Guards against an instance that outgrows its memory, or stops serving sound targets' callers, as one target's answers never end.
local lib = require("lib")
local MEMORY_MB, CALLERS = 110, 24
lib.start_platform{ engines = 1, services = 4, event_ms = 10 }
lib.gateway("g1", "hall-a", nil, MEMORY_MB)
local addresses = lib.record("world").targets
-- Shows the address of the faulty server in the row of a service.
local function show(address)
	lib.control("world", string.format('{"shown_as":{"%s":"%s"}}', addresses["service-0"], address))
	lib.control("world", '{"do":"beat"}')
	sleep_ms(400)
end
-- Sends requests of all callers for a while; returns how many answers there were of each status, and the times of the answers.
local number = 0
local function serve(ms)
	local counts, stop, calls = {}, now_ms() + ms, {}
	while now_ms() < stop do
		for _ = 1, CALLERS do
			number = number + 1
			local id = "call" .. number
			calls[id] = lib.request("g1", number % 2 == 0 and "/o/x" or "/r/x", id, { deadline = 2000 })
		end
		sleep_ms(100)
	end
	for id, call in pairs(calls) do
		local answer = http_wait(call)
		local whole = answer.status == 200 and answer.error == ""
		lib.check(not whole or answer.body == "answer to " .. id, id .. " got foreign or endless bytes as a whole answer")
		local kind = answer.error ~= "" and "broken" or answer.status
		counts[kind] = (counts[kind] or 0) + 1
	end
	return counts
end
serve(1000)
local quiet = lib.memory_mb("g1")
for _, how in ipairs{ "body", "chunks", "length", "failure", "interim", "head" } do
	show(lib.standin("endless-" .. how, "endless", { how = how }))
	local counts = serve(3000)
	local _, peak = lib.memory_mb("g1")
	local text, all = "", 0
	for kind, count in pairs(counts) do
		text = text .. " " .. kind .. ": " .. count
		all = all + count
	end
	print(string.format("%s: %.1f MB when quiet, %.1f MB at the peak so far; answers%s", how, quiet, peak, text))
	-- An idempotent request gets its answer from another target, so at most the others fail, and only as long as the target is in use.
	lib.check((counts[200] or 0) > 0.9 * all, how .. ": only " .. (counts[200] or 0) .. " of " .. all .. " were served")
	lib.check(not counts[503], how .. ": " .. (counts[503] or 0) .. " requests were refused")
	lib.check(peak < 0.75 * MEMORY_MB, string.format("%s: the instance used %.1f of %d MB", how, peak, MEMORY_MB))
	show(addresses["service-0"])
	signal("endless-" .. how, "KILL")
	sleep_ms(300)
end
lib.check((serve(500)[200] or 0) > 0, "nothing is served afterwards")
