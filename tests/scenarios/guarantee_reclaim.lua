-- I1: a customer whose guaranteed places are all lent reclaims them with an
-- urgent job within 9.4 s of its submission, by the workers' ledgers.
-- Faults: a checkpoint that never ends, the store down after the submission,
-- the leader killed after it (within the takeover bound of 10 s plus 9.4 s).

time_limit(60)
local jobs = require "jobs"
local claims = require "claims"
local j, claim = claims.jobs, claims.claim
local c = j.c

claim("no fault", jobs.RECLAIM_MS)
claim("endless checkpoint", jobs.RECLAIM_MS, function()
	j:control{checkpoint_ms = 600000}
end)
claim("store down", jobs.RECLAIM_MS, nil, function()
	c:platform_control{down = true}
	return function() c:platform_control{down = false} end
end)
claim("leader killed", jobs.TAKEOVER_MS + jobs.RECLAIM_MS, nil,
	function(leader)
		c:kill_host(leader)
		return function()
			c:start_host(leader)
			c:wait_ready()
		end
	end)
