-- Guards against faults of the normal operation: streams, non-idempotent and idempotent calls, API keys and a new route.
local lib = require("lib")
lib.start_platform{ engines = 6, services = 3, event_ms = 10 }
for i, hall in ipairs{ "hall-a", "hall-b", "hall-a" } do lib.gateway("g" .. i, hall) end
local calls = {}
for i = 1, 150 do
	local name = "g" .. i % 3 + 1
	local kind = i % 5 == 0 and "s" or i % 2 == 0 and "o" or "r"
	local id = "req" .. i
	calls[i] = { id = id, kind = kind, call = lib.request(name, "/" .. kind .. "/x", id, { events = 20 + i % 30 }), events = 20 + i % 30 }
	if i % 15 == 0 then sleep_ms(40) end
end
for _, each in ipairs(calls) do
	local answer = http_wait(each.call)
	lib.check(answer.status == 200, each.id .. ": " .. tostring(answer.status))
	if each.kind == "s" then lib.check_full_stream(answer, each.id, each.events) end
	if each.kind ~= "s" then lib.check(answer.body == "answer to " .. each.id, each.id .. " got " .. answer.body) end
end
local counts, record = lib.count_runs()
for _, each in ipairs(calls) do lib.check(counts[each.id] == 1, each.id .. " ran " .. tostring(counts[each.id]) .. " times") end
for _, run in ipairs(record.runs) do lib.check(run.account == nil or run.account == "acme", "account " .. tostring(run.account)) end
-- Unknown keys and routes are refused.
lib.check(http_wait(lib.request("g1", "/r/x", "bad-key", { key = "nobody" })).status == 401, "unknown key is not answered 401")
lib.check(http_wait(lib.request("g1", "/none/x", "bad-route")).status == 404, "unknown route is not answered 404")
-- A new configuration is in force on each instance in time, and an older one does not replace it.
lib.configure(5, "new", '"k1","k2"')
for i = 1, 3 do
	lib.until_true(2000, "the new route on g" .. i, function() return http_wait(lib.request("g" .. i, "/new/x", "new" .. i .. now_ms())).status == 200 end)
	lib.check(http_wait(lib.request("g" .. i, "/r/x", "key" .. i, { key = "k2" })).status == 200, "the new key on g" .. i)
end
lib.configure(4)
sleep_ms(600)
lib.check(http_wait(lib.request("g2", "/new/x", "still")).status == 200, "an older configuration replaced a newer one")
-- One instance polls the store for all: two tables, twice a second. Three instances polling would make 24 calls in two seconds.
local before = lib.record("world").store_calls
sleep_ms(2000)
local used = lib.record("world").store_calls - before
lib.check(used <= 16, "store calls in two seconds: " .. used)
-- Metrics count requests and latencies.
local metrics = lib.http{ url = "http://" .. lib.ports["g1.metrics"] .. "/metrics" }.body
lib.check(metrics:find('cottonspool_requests_total{outcome="answered"}', 1, true), "no count of answers")
lib.check(metrics:find('cottonspool_first_token_seconds_bucket{account="acme"', 1, true), "no histogram of the account")
