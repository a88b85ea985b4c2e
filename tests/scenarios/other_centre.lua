-- Section 3.5: when a data centre has no usable backend server, its requests
-- go to another data centre, also those that wait already.
-- Faults: the only server of a data centre is gone while the list lags.

local cluster = require "cluster"
local c = cluster.start{backends = {s1 = "pg1", s2 = "pg2"}}
c:wait_ready()
c:basic_document()

local hosts = {"a1", "a2"}
c:platform_control{hosts_lag_ms = 10000}
c:list_backend("s1", "leaving")
c:backend_control("s1", {mode = "refuse"})
local replies = c:load(300, 8, function(i)
	return c:call(hosts[random(2)], "/after/" .. i)
end)
local answered, rest = 0, {}
for _, reply in ipairs(replies) do
	if cluster.check_outcome(reply) == "answered" then
		answered = answered + 1
	else
		rest[#rest + 1] = cluster.outcome(reply) .. " " ..
			tostring(reply.headers["chivebank-result"]) .. " after " ..
			reply.ms .. " ms"
	end
end
check(answered == 300, answered .. " of 300 answered; the rest: " ..
	table.concat(rest, ", "))
