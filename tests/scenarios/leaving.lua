-- I6: a server that is leaving gets no new work after 3 s.
-- Faults: a server that says so itself, one that only the platform's list
-- names.

local cluster = require "cluster"
local c = cluster.start{}
c:wait_ready()
c:basic_document()

local hosts = {"a1", "a2"}
local since = {}

local function traffic(ms)
	local until_ms = now_ms() + ms
	local n = 0
	while now_ms() < until_ms do
		n = n + 1
		for _, r in ipairs(http_all{
			c:call(hosts[1], "/l/" .. n), c:call(hosts[2], "/l/" .. n),
			c:call(hosts[random(2)], "/l/" .. n)}) do
			r.req = {method = "GET", path = "/l/" .. n}
			cluster.check_outcome(r)
		end
	end
end

local function check_quiet(server)
	for _, entry in ipairs(c:ledger()) do
		if entry.server == server then
			check(entry.start_us // 1000 <= since[server] + 3000,
				server .. " got work " ..
				(entry.start_us // 1000 - since[server]) ..
				" ms after the first sign")
		end
	end
end

traffic(1000)
since.s1 = now_ms()
c:backend_control("s1", {mode = "leaving"})
traffic(1500)
since.s2 = now_ms()
c:list_backend("s2", "leaving")
traffic(6000)
check_quiet("s1")
check_quiet("s2")
