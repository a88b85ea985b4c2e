-- Started by runner.lua: fails while a process of it runs.
spawn("left", {"standins/backend", "--port", "0"})
wait_line("left", "port=")
print("child " .. pid(0))
check(false, "meant to fail")
