-- Guards against an instance that outgrows its memory, as the targets read the bodies of requests slowly, and against requests that are
-- executed although their callers were told that they were not.
local lib = require("lib")
local REQUESTS, BODY_BYTES, MEMORY_MB = 300, 1000000, 96
lib.start_platform{ engines = 2, services = 2, event_ms = 5 }
local shown, links = {}, {}
for id, address in pairs(lib.record("world").targets) do
	if id:find("service") then
		links[#links + 1] = "link-" .. id
		shown[#shown + 1] = string.format('"%s":"%s"', address, lib.relay(links[#links], address, 1400))
	end
end
lib.control("world", '{"shown_as":{' .. table.concat(shown, ",") .. "}}")
lib.gateway("g1", "hall-a", nil, MEMORY_MB)
local before = lib.memory_mb("g1")
local function set_links(mode) for _, link in ipairs(links) do lib.link(link, mode) end end
-- 300 requests with 1 MB each within a second; the targets read for a part of that time only.
local calls, body, peak_held = {}, string.rep("b", BODY_BYTES), 0
local peak_share = 0
local function measure()
	local held, share = lib.held("g1")
	peak_held, peak_share = math.max(peak_held, held), math.max(peak_share, share)
end
for i = 1, REQUESTS do
	if i % 50 == 1 then set_links(i % 100 == 1 and "stall" or "pass") end
	if i % 50 == 10 then set_links("stall") end
	calls[i] = lib.request("g1", i % 2 == 0 and "/o/x" or "/r/x", "b" .. i, { body = body, limit_ms = 20000 })
	if i % 10 == 0 then measure() end
	sleep_ms(2)
end
local counts, rejected = {}, {}
for i, call in ipairs(calls) do
	local answer = http_wait(call)
	counts[answer.status] = (counts[answer.status] or 0) + 1
	if answer.status == 503 then
		rejected[#rejected + 1] = "b" .. i
		lib.check(answer.head:lower():find("retry%-after: "), "b" .. i .. " was rejected without a Retry-After")
	end
	lib.check(answer.status ~= 0, "b" .. i .. " got no answer: " .. answer.error)
	measure()
end
local now, peak = lib.memory_mb("g1")
local text = ""
for status, count in pairs(counts) do text = text .. " " .. status .. ": " .. count end
print(string.format("memory of the instance: %.1f MB before, %.1f MB at its peak, %.1f MB after; held at most %.1f MB, %.2f of the bound; answers%s", before, peak, now,
	peak_held, peak_share, text))

lib.check(peak_share < 1.1, string.format("%.1f MB were held, %.2f of the bound", peak_held, peak_share))
lib.check(peak < MEMORY_MB, string.format("the instance used %.1f of %d MB", peak, MEMORY_MB))
lib.check(output("g1"):find('"reason":"held%-memory"'), "no request was rejected because of the memory")

-- Once the targets read, everything is served again.
set_links("pass")
lib.until_true(5000, "the held bytes are released", function() return lib.held("g1") < 1 end)
local runs = lib.count_runs()
for _, id in ipairs(rejected) do lib.check(not runs[id], id .. " was executed, but its caller was told that it was not") end
for i = 1, 20 do
	local answer = http_wait(lib.request("g1", "/r/x", "after" .. i, { body = body }))
	lib.check(answer.status == 200, "afterwards a request got " .. answer.status)
end
