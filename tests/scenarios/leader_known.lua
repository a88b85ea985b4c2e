-- Every host knows which host leads its data centre and forwards calls about
-- jobs to it, also after the document has changed.

local cluster = require "cluster"
local c = cluster.start{hosts = {a1 = "pg1", a2 = "pg1", a3 = "pg1"},
	backends = {s1 = "pg1"}}
time_limit(30)
c:wait_ready()

local function acting()
	for _, name in ipairs{"a1", "a2", "a3"} do
		local text = c:admin(name, "GET", "/metrics").body
		if text:match("\nchivebank_leader_acting 1") then
			return name
		end
	end
end

local leader = wait_until(acting, 10000, "a leader")
for i = 1, 5 do
	cluster.must(c:put_section(leader, "customer/c" .. i, {weight = 1}),
		"customer")
	sleep(700) -- longer than the period of heartbeats
	check_eq(acting(), leader, "the host that leads")
	for _, name in ipairs{"a1", "a2", "a3"} do
		check_eq(c:leader(name), leader, "leader known to " .. name)
		check_eq(c:admin(name, "GET", "/v1/jobs").status, 200,
			"call forwarded by " .. name)
	end
end
