-- I1: a customer can always reclaim its guaranteed shape, within 9.4 s, even
-- when other work holds those accelerators.
-- Faults: stoppable work of another customer holds all workers, its
-- checkpoints are slow, workers lose answers.

local cluster = require "cluster"
local c = cluster.start{workers = 4, task_ms = 60000}
time_limit(200)
c:wait_ready()
c:basic_document()
local BOUND_US = 9400000

local section = c:section("a1", "customer/roda")
cluster.must(c:put_section("a1", "customer/roda", {weight = 300,
	guarantees = {{dc = "pg1", unit = "worker", count = 2}}},
	section.revision), "guarantee")

local function running(id)
	local sum, last = 0, 0
	for _, task in ipairs(c:tasks()) do
		if task.job == id and task.go_us > 0 and task.end_us == 0 then
			sum = sum + task.accelerators
			last = math.max(last, task.go_us)
		end
	end
	return sum, last
end

for i = 1, 4 do
	local reply = c:submit("a1", "fill-" .. i, {customer = "bennani",
		accelerators = 8, stoppable = true, grace_ms = 1000})
	check(reply.status < 300, "submission: " .. reply.body)
	wait_until(function()
		sleep(100)
		return running(reply.json.id) == 8
	end, 20000, "borrowed work runs")
end
for i in ipairs(c.workers) do c:worker_control(i, {checkpoint_ms = 800}) end
c:worker_control(1, {drop_answers = 1})
c:worker_control(3, {drop_answers = 1})

local since_us = now_ms() * 1000
local claim = c:submit("a2", "claim", {customer = "roda", accelerators = 16})
check(claim.status < 300, "claim: " .. claim.status .. " " .. claim.body)
local last = wait_until(function()
	sleep(100)
	local sum, at = running(claim.json.id)
	return sum == 16 and at
end, 20000, "the claim runs")
print("  claim met after " .. (last - since_us) // 1000 .. " ms")
check(last - since_us <= BOUND_US, "claim met after " ..
	(last - since_us) // 1000 .. " ms")
