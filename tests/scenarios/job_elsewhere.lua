-- Section 7: a job that does not fit its data centre's capacity goes to
-- another data centre of the region. No faults.

local cluster = require "cluster"
local c = cluster.start{workers = 2}
c:wait_ready()
c:basic_document()

local reply = c:submit("b1", "elsewhere", {customer = "roda",
	accelerators = 8})
check(reply.status < 300, "submission in pg2, whose pool is empty: " ..
	reply.status .. " " .. reply.body)
wait_until(function()
	for _, task in ipairs(c:tasks()) do
		if task.job == reply.json.id and task.go_us > 0 then return true end
	end
end, 20000, "the job runs in pg1")
-- Guards against a job without any possible place that is sent round or kept.
reply = c:submit("b1", "nowhere", {customer = "roda", accelerators = 24})
check(reply.status == 422 and reply.json.error.name == "CB_E_NEVER_FITS",
	"submission that no pool could hold: " .. reply.status .. " " ..
	reply.body)
