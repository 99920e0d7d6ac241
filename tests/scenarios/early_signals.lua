-- Guards against an instance that is ended by SIGHUP as it starts, before it handles signals: it waits for its settings file meanwhile.
local lib = require("lib")
lib.start_platform{ engines = 1, services = 1 }
local text = string.format('{"nodeName":"g1","zone":"hall-a","ip":"127.0.0.1","zones":{"hall-a":"r"},"listen":{"front":"127.0.0.1:0","ready":"127.0.0.1:0"},'
	.. '"internalPorts":[0,1],"platform":{"address":"%s"}}', lib.ports.world)
local path = write_file("written.json", text):gsub("written.json", "g1.json")
spawn("mkfifo", { "/usr/bin/mkfifo", path })
wait_exit("mkfifo", 1000)
spawn("g1", { BIN .. "/cottonspool", "gateway", "--settings", path })
sleep_ms(300)
for _ = 1, 3 do signal("g1", "HUP") end
sleep_ms(100)
lib.check(wait_exit("g1", 0) == nil, "SIGHUP has ended an instance that was starting")
-- The pipe is replaced by a file before its reader gets the text, as the instance reads its settings again.
spawn("writer", { "/bin/sh", "-c", string.format("exec 3>%s; mv %s %s; cat %s >&3", path, path:gsub("g1.json", "written.json"), path, path) })
lib.until_true(5000, "the instance is ready", function()
	lib.ports["g1.ready"] = output("g1"):match('"ready":"([%d.:]+)"')
	return lib.ports["g1.ready"] and lib.is_ready("g1")
end)
lib.check(output("g1"):find('"event":"reloaded"', 1, true), "the early signal was not handled")
signal("g1", "TERM")
lib.check(wait_exit("g1", 9000) == 0, "g1 has failed")
