-- I7: a planned stop cuts off no request in progress.
-- Faults: each entry host is stopped in turn under load, the leader among
-- them, with slow servers; the store is down during one of the stops.

local cluster = require "cluster"
local c = cluster.start{service_ms = 150}
c:wait_ready()
c:basic_document()

local function stop_under_load(name, others)
	local stopping = false
	local stopped_at
	local replies = c:load(200, 16, function(i)
		-- The balancer stops sending once /healthz answers 503.
		local to = stopping and others[random(#others)] or
			(i % 2 == 0 and name or others[random(#others)])
		return c:call(to, "/g/" .. name .. "/" .. i, {method = "POST",
			body = "x"})
	end, function(i)
		if i == 60 then
			kill(c.hosts[name].id, 15)
			stopped_at = now_ms()
		elseif i > 60 and not stopping and now_ms() - stopped_at > 100 then
			stopping = true
		end
	end)
	for _, reply in ipairs(replies) do
		check(reply.status ~= 0, "no reply to " .. reply.req.path .. ": " ..
			tostring(reply.error))
		local outcome = cluster.check_outcome(reply)
		check(outcome ~= "unknown", reply.req.path .. " was cut off, result " ..
			tostring(reply.headers["chivebank-result"]))
	end
	check_eq(wait_exit(c.hosts[name].id, 10000), 0, "exit code of " .. name)
	c:start_host(name)
	c:wait_ready()
end

local leader = c:leader("a1")
local other = leader == "a1" and "a2" or "a1"
stop_under_load(leader, {other, "b1"})
stop_under_load(other, {leader, "b1"})
c:platform_control{down = true}
local replies = c:load(100, 8, function(i)
	return c:call("b1", "/down/" .. i, {method = "POST", body = "x"})
end, function(i)
	if i == 40 then kill(c.hosts.b1.id, 15) end
end)
for _, reply in ipairs(replies) do
	-- New connections are refused once the process has ended.
	if reply.error ~= "connection reset" and reply.error ~= "cannot connect"
	then
		check(cluster.check_outcome(reply) ~= "unknown", "cut off")
	end
end
check_eq(wait_exit(c.hosts.b1.id, 10000), 0, "exit code of b1")
for _, entry in ipairs(c:ledger()) do
	check(entry.end_us > 0, entry.target .. " was abandoned")
end
