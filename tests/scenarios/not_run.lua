-- I4: when the system says a request was not run, it did not run.
-- Faults: servers that refuse, close before any work or are leaving, all of
-- them at once, overload, a store outage, a host that drains.

local cluster = require "cluster"
local c = cluster.start{service_ms = 30}
c:wait_ready()
c:basic_document()

local hosts, servers = {"a1", "a2", "b1"}, {"s1", "s2", "s3", "s4"}
local modes = {"refuse", "close-before", "leaving", "close-after", "normal"}

local function make(i)
	local key
	if i % 3 == 0 then key = "key-" .. i end
	return c:call(hosts[random(#hosts)], "/n/" .. i, {method = "POST",
		body = "x", key = key, deadline = random(50, 1500)})
end

local function fault(i)
	if i % 50 == 0 then
		c:backend_control(servers[random(#servers)],
			{mode = modes[random(#modes)]})
	end
	if i == 300 then c:platform_control{down = true} end
	if i == 600 then c:platform_control{down = false} end
	if i == 800 then kill(c.hosts.a2.id, 15) end
end

local replies = c:load(1000, 64, make, fault)
sleep(1500)
local ran = c:executions("target")
local count = {}
for _, reply in ipairs(replies) do
	-- Without a reply the caller was told nothing.
	if reply.status ~= 0 then
		local outcome = cluster.check_outcome(reply)
		count[outcome] = (count[outcome] or 0) + 1
		if outcome == "not-run" then
			local target = reply.req.path:sub(#"/r/echo" + 1)
			check(not ran[target], target .. " was reported as not run, " ..
				"result " .. tostring(reply.headers["chivebank-result"]))
		end
	end
end
check((count["not-run"] or 0) > 50, "some were not run")
check((count.answered or 0) > 100, "some were answered")
