-- Sections 1.2, 3.2 and 8: parts that are cut off serve what they can, and a
-- server never has more than 8 requests and 64 connections over all hosts.
-- Faults, two at a time: links within and between data centres are cut, the
-- store is down, a host freezes and returns, the leader is killed.

local cluster = require "cluster"
local c = cluster.start{service_ms = 30}
c:wait_ready()
c:basic_document()

local names = {"a1", "a2", "b1"}
local n = 0

-- Load on the given hosts with `width` in progress, which they can serve
-- without a queue. Nearly all must be answered.
local function check_served(hosts, width, text)
	local answered, rest = 0, {}
	local replies = c:load(300, width, function()
		n = n + 1
		return c:call(hosts[n % #hosts + 1], "/p/" .. n, {
			method = "POST", body = "x", deadline = 4000})
	end)
	for _, reply in ipairs(replies) do
		if cluster.check_outcome(reply) == "answered" then
			answered = answered + 1
		else
			local text = cluster.outcome(reply) .. " " ..
				tostring(reply.headers["chivebank-result"])
			rest[text] = (rest[text] or 0) + 1
		end
	end
	check(answered > 270, text .. ": answered " .. answered ..
		" of 300, the rest " .. json_encode(rest))
end

check_served(names, 12, "without faults")

c:cut_hosts("a1", "b1")
c:cut_hosts("a2", "b1")
c:platform_control{down = true}
check_served({"a1", "a2"}, 8, "pg1 alone, store down")
check_served({"b1"}, 4, "pg2 alone, store down")

-- Without credits only the floors remain; each host still serves.
c:cut_hosts("a1", "a2")
sleep(3000)
check_served({"a1"}, 2, "a1 alone")
check_served({"a2"}, 2, "a2 alone")
c:platform_control{down = false}
for _, pair in ipairs{{"a1", "a2"}, {"a1", "b1"}, {"a2", "b1"}} do
	c:heal_hosts(pair[1], pair[2])
end
c:wait_ready()

-- A host with credits freezes past their term and returns under load.
local calls = {}
for i = 1, 60 do
	calls[i] = http_start(c:call("a1", "/frozen/" .. i, {method = "POST",
		body = "x", deadline = 20000, timeout = 25000}))
end
sleep(30)
stop(c.hosts.a1.id)
c:cut_store("a2")
check_served({"a2", "b1"}, 4, "a1 frozen, a2 without the store")
sleep(2000)
cont(c.hosts.a1.id)
c:heal_store("a2")
check_served(names, 12, "a1 returned")
for _, call in ipairs(calls) do
	local reply = http_reply(call)
	reply.req = {method = "POST", path = "/frozen"}
	cluster.check_outcome(reply)
end

c:wait_ready()
local leader = c:leader("a1")
c:kill_host(leader)
c:cut_hosts(leader == "a1" and "a2" or "a1", "b1")
check_served({leader == "a1" and "a2" or "a1", "b1"}, 4, "leader killed")

local by_target = c:executions("target")
for target, count in pairs(by_target) do
	check(count == 1, target .. " ran " .. count .. " times")
end
for name, server in pairs(c.backends) do
	check(server.in_progress_max <= 8, name .. " had " ..
		server.in_progress_max .. " requests in progress")
	check(server.connections_max <= 64, name .. " had " ..
		server.connections_max .. " connections")
end
