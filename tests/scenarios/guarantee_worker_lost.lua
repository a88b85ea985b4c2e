-- I1: a customer whose guaranteed places are all lent reclaims them with an
-- urgent job within 9.4 s of its submission, by the workers' ledgers.
-- Fault: a worker of the pool, of which two are guaranteed and all are lent,
-- is killed just before the submission.

time_limit(60)
local jobs = require "jobs"
local claims = require "claims"
local j = claims.jobs

claims.claim("worker killed", jobs.RECLAIM_MS, function()
	j:kill_worker(random(4))
end)
