-- Guards against ends of streams that an entry instance drops when it stops while their callers read slowly.
local lib = require("lib")
lib.standin("platform", "platform")
lib.instance("one", { extra = { stop = { "notice_ms = 200" }, callers = { "max_backlog_bytes = 4194304" } } })
lib.apply("[model.small]\n" .. lib.account("kiosk")
	.. lib.target("engine1", lib.standin("engine1", "engine", { name = "engine1", step_ms = 1, memory_tokens = 1000000 }), "hall-a", "small"))
lib.ready("one", 1)
local calls = {}
-- Some 900 KB each: more than the kernel takes for a caller that does not read, and less than what makes the instance pause the engine.
for i = 1, 4 do calls[i] = lib.complete("one", { tokens = 6000, class = "stream", pause_ms = 9500 }) end
sleep_ms(1000)
signal("one", "TERM")
for i, call in ipairs(calls) do
	local answer = http_wait(call)
	local got, complete = lib.check_stream(answer.body)
	lib.check(complete and got == 6000, "stream " .. i .. " got " .. got .. " of 6000 tokens, " .. answer.error)
end
lib.check(wait_exit("one", 10000) == 0, "the instance has failed")
