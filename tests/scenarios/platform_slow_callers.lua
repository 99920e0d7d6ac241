-- Guards against an instance that outgrows its memory, as many callers read their answers slowly at the same time, and against answers that
-- are lost when it holds back.
local lib = require("lib")
local CALLERS, EVENTS, EVENT_BYTES, MEMORY_MB = 500, 96, 16384, 96
lib.start_platform{ engines = 8, services = 2, event_ms = 20, event_bytes = EVENT_BYTES, answer_bytes = 1 << 18, segment_bytes = 1400 }
lib.gateway("g1", "hall-a", nil, MEMORY_MB)
local before = lib.memory_mb("g1")

-- 500 callers read streams of 1.5 MB each slowly, and 40 callers answers of 256 KB.
local streams, answers = {}, {}
for i = 1, CALLERS do streams[i] = lib.request("g1", "/s/x", "slow" .. i, { events = EVENTS, slow_ms = 50, limit_ms = 60000, deadline = 30000 }) end
for i = 1, 40 do answers[i] = lib.request("g1", "/r/x", "plain" .. i, { slow_ms = 50, limit_ms = 60000 }) end

local peak_held, peak_share, quick = 0, 0, 0
for i = 1, 60 do
	local held, share = lib.held("g1")
	peak_held, peak_share = math.max(peak_held, held), math.max(peak_share, share)
	-- Callers that read at once are served beside the slow ones, unless their requests are rejected as not executed.
	local call = lib.http{ url = "http://" .. lib.ports.g1 .. "/s/x", headers = { "Host: h.example", "X-Attempt-Id: quick" .. i, "X-Model: m",
		"X-Token-Count: 100,8", "Authorization: Bearer k1", "X-Deadline-Ms: 5000" }, limit_ms = 6000 }
	if call.status == 200 then quick = quick + 1 end
	sleep_ms(100)
end
local now, peak = lib.memory_mb("g1")
print(string.format("memory of the instance: %.1f MB before, %.1f MB at its peak, %.1f MB after 6 s; held at most %.1f MB, %.2f of the bound; quick callers served: %d of 60",
	before, peak, now, peak_held, peak_share, quick))

-- Whatever was begun is delivered whole; whatever was rejected was not executed and has a Retry-After.
local counts = {}
local function check(call, id, whole)
	local answer = http_wait(call)
	counts[answer.status] = (counts[answer.status] or 0) + 1
	if answer.status == 200 then
		lib.check(whole(answer.body, id), id .. " got an incomplete answer of " .. #answer.body .. " bytes: " .. answer.error)
	else
		lib.check(answer.status == 503 and answer.head:lower():find("retry%-after: "), id .. " got " .. answer.status .. " " .. answer.error)
	end
end
for i, call in ipairs(streams) do
	check(call, "slow" .. i, function(body)
		local events = 0
		for number in body:gmatch("id: (%d+)\ndata: ") do
			events = events + 1
			if tonumber(number) ~= events then return false end
		end
		return events == EVENTS
	end)
end
for i, call in ipairs(answers) do
	check(call, "plain" .. i, function(body, id) return #body == #("answer to " .. id) + (1 << 18) end)
end
print("status 200: " .. (counts[200] or 0) .. ", 503: " .. (counts[503] or 0))
lib.check(output("g1"):find('"event":"memory%-pressure".-"level":"full"'), "the load was too small to reach the bound")
-- Each connection may pass the bound by one read of 8 KB.
lib.check(peak_share < 1.2, string.format("%.1f MB were held, %.2f of the bound", peak_held, peak_share))
lib.check(peak < MEMORY_MB, string.format("the instance used %.1f of %d MB", peak, MEMORY_MB))
lib.check(quick >= 50, "only " .. quick .. " of 60 callers that read at once were served")
lib.check((counts[200] or 0) >= 400, "only " .. (counts[200] or 0) .. " of 540 slow callers got their answers")
