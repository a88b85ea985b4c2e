-- Running gangs live on, without a stop or a second start, when the leader
-- is killed, frozen beyond its lease, or stopped gracefully; a new leader
-- reaches all workers within 10 s.

local jobs = require "jobs"
time_limit(60)
local j = jobs.start(6, {roda = {weight = 300}, bennani = {weight = 100}})
local c = j.c

local ids = j:submit({
	{customer = "roda", accelerators = 16},
	{customer = "bennani", accelerators = 16, stoppable = true},
	{customer = "roda", accelerators = 3},
	{customer = "bennani", accelerators = 5, stoppable = true}})
wait_until(function() return j:all_run(ids) end, 5000, "all gangs run")

local tokens = {}
for _, id in ipairs(ids) do
	local gang, token = j:running(id)
	tokens[token] = gang.last_go_us
end

-- The ledgers hold nothing but the first attempts, all of which still run.
local function check_untouched(text)
	for token, gang in pairs(j:gangs()) do
		check_eq(gang.last_go_us, tokens[token], text .. ": go of " ..
			token)
		check_eq(gang.running, j.accepted[gang.job], text ..
			": accelerators that run " .. token)
	end
	for _, entry in ipairs(j:entries()) do
		check(tokens[entry.token] and entry.end_us == 0, text .. ": " ..
			entry.token .. " on " .. entry.worker)
	end
end

local function oldest_epoch()
	j:entries()
	local oldest = math.maxinteger
	for _, w in ipairs(j.workers) do oldest = math.min(oldest, w.epoch) end
	return oldest
end

-- Makes a fault of the leader; another one must reach all workers in time.
-- The leader's own epoch has reached them before.
local function takeover(text, fault)
	c:wait_ready()
	local leader = j:leader()
	local _, epoch = c:leader(leader)
	wait_until(function() return oldest_epoch() >= epoch end, 6000,
		text .. ": the leader reaches all workers")
	check_eq(j:leader(), leader, text .. ": leader before the fault")
	local since = now_ms()
	fault(leader)
	wait_until(function()
		check_untouched(text)
		return oldest_epoch() > epoch
	end, jobs.TAKEOVER_MS, text .. ": a new leader reaches all workers")
	print(string.format("  %s: takeover after %d ms", text,
		now_ms() - since))
	return leader
end

local leader = takeover("killed", function(name) c:kill_host(name) end)
c:start_host(leader)
leader = takeover("frozen", function(name) stop(c.hosts[name].id) end)
cont(c.hosts[leader].id)
leader = takeover("stopped", function(name) c:kill_host(name, 15) end)
check_eq(wait_exit(c.hosts[leader].id, 10000), 0, "exit code")
c:start_host(leader)

-- Longer than the lease that the workers hold.
local until_ms = now_ms() + jobs.LEASE_MS - 5000
while now_ms() < until_ms do
	check_untouched("after the takeovers")
	sleep(500)
end
j:control{task_ms = 100}
wait_until(function() return j:all_done(ids) end, 5000, "all jobs are done")
wait_until(function() return j:all_free() end, 1000, "all workers are free")
