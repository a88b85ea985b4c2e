-- I2: a running gang with a member that is cut off ends on all workers within
-- the lease of a task, and runs whole elsewhere.
-- Faults: a worker cut off for longer than a lease, and the leader killed at
-- the same time.

local jobs = require "jobs"
time_limit(60)
local j = jobs.start(6, {roda = {weight = 300}})
local c = j.c

local ids = j:submit{{customer = "roda", accelerators = 16},
	{customer = "roda", accelerators = 16, stoppable = true}}
wait_until(function() return j:all_run(ids) end, 5000, "gangs run")

-- A worker with a member of the first gang.
local gang, first = j:running(ids[1])
local lost = tonumber(gang.members[1].worker:match("%d+"))
cut(j.workers[lost].link)
local leader = j:leader()
if SEED % 2 == 0 then c:kill_host(leader) end
local since = now_ms()
wait_until(function()
	local gangs = j:gangs()
	return gangs[first].running == 0
end, jobs.LEASE_MS, "the gang ends everywhere")
print(string.format("  ended after %d ms, partial for %d ms",
	now_ms() - since, j:gangs()[first].partial_ms))
wait_until(function() return j:all_run(ids) end,
	jobs.LEASE_MS + jobs.TAKEOVER_MS, "all gangs run whole")
heal(j.workers[lost].link)
j:control{task_ms = 100}
wait_until(function() return j:all_done(ids) end, 5000, "all jobs are done")
wait_until(function() return j:all_free() end, jobs.HOLD_MS,
	"all accelerators are free")
