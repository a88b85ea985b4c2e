-- Tests the check of gangs itself (lib/jobs.lua) on ledgers that are made up.
-- A gang that keeps the barrier passes, whatever happens between the readings
-- of two ledgers; one that breaks it fails.

local jobs = require "jobs"
local SIZE = 16 -- of a gang with one member on each of two workers

-- A member of the gang; commit and go are in ms from now, nil for never.
local function member(commit, go)
	local function stamp(ms) return ms and (now_ms() + ms) * 1000 or 0 end
	return {token = "1.job.1", epoch = 1, go_epoch = 1,
		accelerators = SIZE // 2, state = "running",
		reserved_us = stamp(-1000), barrier_us = stamp(commit),
		go_us = stamp(go), end_us = 0}
end

-- Judges the ledgers of two workers; the second is read 50 ms later.
local function judge(first, second)
	local j = setmetatable({workers = {{name = "w1"}, {name = "w2"}},
		past = {}, accepted = {job = SIZE}}, jobs)
	function j:worker_ledger(i)
		if i == 2 then sleep(50) end
		return {tasks = {i == 1 and first or second}, free = 0,
			epoch = 1}
	end
	return pcall(j.gangs, j)
end

local function fails(reason, first, second)
	local ok, err = judge(first, second)
	check(not ok, "passes: " .. reason)
	check(tostring(err):find(reason, 1, true), "fails for " ..
		tostring(err))
end

local ok, gangs = judge(member(-20, -10), member(-15, -9))
check(ok, tostring(gangs))
check_eq(gangs["1.job.1"].running, SIZE, "accelerators of a whole gang")

-- Both commit and go after the first ledger was read.
ok, gangs = judge(member(), member(10, 20))
check(ok, "both go between the readings: " .. tostring(gangs))
check_eq(gangs["1.job.1"].running, 0, "accelerators before the start")
-- The first is read as running and has ended when the second is read.
local ended = member(-15, -9)
ended.end_us, ended.state = (now_ms() + 20) * 1000, "stopped"
ok, gangs = judge(member(-20, -10), ended)
check(ok, "one ends between the readings: " .. tostring(gangs))
check_eq(gangs["1.job.1"].running, SIZE, "accelerators before the end")

fails("accelerators committed", member(), member(-20, -10))
fails("accelerators committed", member(20, 30), member(-20, -10))
fails("before the last commit", member(-10, -5), member(-20, -15))
local partial = member(-20, -jobs.LEASE_MS - 1000)
partial.barrier_us = partial.go_us
local gone = member(-20, -jobs.LEASE_MS - 1000)
gone.barrier_us, gone.end_us, gone.state = gone.go_us, gone.go_us, "stopped"
fails("ran partially", partial, gone)
