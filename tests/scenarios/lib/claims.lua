-- A customer whose guarantee of 2 of 4 workers is lent claims it.

local jobs = require "jobs"
local claims = {}

local j = jobs.start(4, {lab = {weight = 100}, clinic = {weight = 100,
	guarantees = json_array{{dc = "pg1", unit = "worker", count = 2}}}})

-- All workers run stoppable work of the other customer.
local function lend()
	j:control{task_ms = 600000}
	local bodies = {}
	for i = 1, 4 do
		bodies[i] = {customer = "lab", accelerators = 8,
			stoppable = true, grace_ms = 6000}
	end
	local ids = j:submit(bodies)
	wait_until(function() return j:all_run(ids) end, 5000,
		"lent work runs")
end

-- Ends all work; done jobs of both customers leave the workers free.
local function clear()
	j:control{task_ms = 100, checkpoint_ms = 100}
	wait_until(function()
		for _, job in ipairs(j:ask("GET", "/v1/jobs").jobs) do
			if job.ended_us == 0 then
				return false
			end
		end
		return j:all_free()
	end, jobs.LEASE_MS, "all work ends")
end

-- before() and after(leader) are faults around the submission; what after()
-- returns ends them.
function claims.claim(text, bound_ms, before, after)
	lend()
	if before then before() end
	local leader = j:leader()
	local since_us = now_ms() * 1000
	local id = j:submit({{customer = "clinic", accelerators = 16,
		urgent = true}})[1]
	local over = after and after(leader)
	local gang = wait_until(function() return j:running(id) end,
		bound_ms + 1000, text .. ": the claim runs")
	local ms = (gang.last_go_us - since_us) // 1000
	print(string.format("  %s: runs after %d ms", text, ms))
	check(ms <= bound_ms, text .. ": within " .. bound_ms .. " ms")
	if over then over() end
	clear()
end

claims.jobs = j
return claims
