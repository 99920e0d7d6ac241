-- Guards against requests to a target during the pause (Retry-After) with which it rejected a request, and against late refusals when all
-- targets of a pool pause.
local lib = require("lib")
lib.start_platform{ engines = 2, services = 3, event_ms = 5 }
lib.gateway("g1", "hall-a")

-- Counts requests that reached a target during its pauses, without the first half second of each.
local function within_pause(target)
	local record, count = lib.record("world"), 0
	for _, pause in ipairs(record.pauses) do
		for _, arrival in ipairs(record.arrivals) do
			local inside = arrival.at > pause.at + 500 and arrival.at < pause["until"]
			if pause.target == target and arrival.target == target and inside then count = count + 1 end
		end
	end
	return count
end

local function request_for(prefix, path, span_ms, options)
	local calls, stop, i = {}, now_ms() + span_ms, 0
	while now_ms() < stop do
		i = i + 1
		calls[i] = lib.request("g1", path, prefix .. i, options)
		sleep_ms(10)
	end
	local statuses = {}
	for _, call in ipairs(calls) do
		local status = http_wait(call).status
		statuses[status] = (statuses[status] or 0) + 1
	end
	return i, statuses
end

request_for("before", "/r/x", 300)
lib.control("world", '{"do":"pause","target":"service-0","ms":3000}')
local requested, statuses = request_for("one", "/r/x", 3500)
lib.check(statuses[200] == requested, "of " .. requested .. " requests " .. tostring(statuses[200]) .. " were served")
lib.check(#lib.record("world").pauses == 1, "no request reached the service that should ask for a pause")
lib.check(within_pause("service-0") <= 2, "a service got " .. within_pause("service-0") .. " requests during its pause")

-- The service is used again after its pause.
local before = #lib.record("world").runs
request_for("again", "/r/x", 1500)
local runs, used = lib.record("world").runs, 0
for i = before + 1, #runs do used = used + (runs[i].target == "service-0" and 1 or 0) end
lib.check(used >= 10, "after its pause a service got only " .. used .. " calls")

-- An engine asks for a pause.
lib.control("world", '{"do":"pause","target":"engine-0","ms":2500}')
requested, statuses = request_for("stream", "/s/x", 2500, { events = 3 })
lib.check((statuses[200] or 0) >= requested - 3, "of " .. requested .. " streams " .. tostring(statuses[200]) .. " were served")
lib.check(within_pause("engine-0") <= 2, "an engine got " .. within_pause("engine-0") .. " requests during its pause")

-- All engines ask for a pause: a request is refused at once, with a Retry-After at which the first pause has ended.
for i, ms in ipairs{ 4000, 2500 } do
	lib.control("world", '{"do":"pause","target":"engine-' .. i - 1 .. '","ms":' .. ms .. '}')
end
request_for("all", "/s/x", 400, { events = 3 })
local began = now_ms()
local answer = http_wait(lib.request("g1", "/s/x", "refused", { events = 3 }))
lib.check(answer.status == 503, "status while all engines pause: " .. tostring(answer.status))
lib.check(now_ms() - began < 60, "refused after " .. now_ms() - began .. " ms")
local retry_after = tonumber(answer.head:lower():match("retry%-after: ([%d.]+)"))
lib.check(retry_after and retry_after > 1.2 and retry_after < 3.2, "Retry-After is " .. tostring(retry_after) .. " s, the first pause has 2 s left")
for i = 0, 1 do
	lib.check(within_pause("engine-" .. i) <= 2, "engine-" .. i .. " got " .. within_pause("engine-" .. i) .. " requests during its pause")
end
sleep_ms(3000)
requested, statuses = request_for("over", "/s/x", 300, { events = 3 })
lib.check(statuses[200] == requested, "after the first pause's end " .. tostring(statuses[200]) .. " of " .. requested .. " were served")
