-- A worker that fails everything is quarantined and its jobs are done
-- elsewhere; a job that fails everywhere, and one that can never fit, end
-- with a reason; 500 cancellations don't hold up an urgent start.

local jobs = require "jobs"
time_limit(60)
local j = jobs.start(6, {lab = {weight = 100}, clinic = {weight = 100,
	guarantees = json_array{{dc = "pg1", unit = "worker", count = 2}}}})
local c = j.c
local host = j:leader()

local BAD_JOBS = 3 -- WORKER_BAD_JOBS
local HOPELESS_WORKERS = 3 -- JOB_HOPELESS_WORKERS
local FAILURES_MAX = 10 -- JOB_FAILURES_MAX

local function same(n, body)
	local bodies = {}
	for i = 1, n do bodies[i] = body end
	return bodies
end

local function wait_state(id, state)
	return wait_until(function()
		local job = j:job(id)
		return job and job.state == state and job
	end, 15000, "job is " .. state)
end

-- ---- a worker that fails everything ----

local bad = random(#j.workers)
j:control{task_ms = 300}
j:control({fail = true}, bad)
local ids = j:submit(same(12, {customer = "lab", accelerators = 8}))
-- The end of a task is seen at the next sync, up to 5.5 s later.
wait_until(function() return j:all_done(ids) end, 30000,
	"jobs are done elsewhere")
local failed, n = {}, 0
for _, e in ipairs(j:entries()) do
	if e.worker == j.workers[bad].name then
		check(e.state ~= "done", "nothing is done on the bad worker")
		if e.go_us > 0 and not failed[e.job] then
			failed[e.job], n = true, n + 1
		end
	end
end
check(n <= BAD_JOBS, "jobs started on the bad worker: " .. n)
check(n > 0, "the bad worker was tried")
print("  jobs that failed on the bad worker: " .. n)

-- ---- a job that fails everywhere ----

j:control{fail = true}
local id = j:submit({{customer = "lab", accelerators = 4}})[1]
local job = wait_state(id, "failed")
check(job.reason ~= "", "reason of the failure")
local workers, tries, distinct = {}, 0, 0
for _, e in ipairs(j:entries()) do
	if e.job == id and e.go_us > 0 then
		tries = tries + 1
		distinct = distinct + (workers[e.worker] and 0 or 1)
		workers[e.worker] = true
	end
end
check(distinct >= HOPELESS_WORKERS, "workers that tried: " .. distinct)
check(tries <= FAILURES_MAX, "tries: " .. tries)
print(string.format("  failed job: %d tries on %d workers, %s", tries,
	distinct, job.reason))
j:control{fail = false}

-- ---- a job that can never fit ----

local reply = c:admin(host, "POST", "/v1/jobs", {customer = "lab",
	accelerators = 8 * #j.workers + 1}, {["Idempotency-Key"] = "never"})
check_eq(reply.status, 422, "status of a job that never fits")
check(reply.json.error.text ~= "", "reason of the refusal")

-- ---- a wave of cancellations ----

j:control{task_ms = 600000}
local wave = j:submit(same(500, {customer = "lab", accelerators = 8,
	stoppable = true, grace_ms = 6000}))
wait_until(function()
	local running = 0
	for _, gang in pairs(j:gangs()) do
		running = running + (gang.running > 0 and 1 or 0)
	end
	return running >= #j.workers - 1 -- one is quarantined
end, 5000, "the wave runs")
local calls = {}
for i, one in ipairs(wave) do
	calls[i] = http_start{port = c.hosts[host].admin, method = "DELETE",
		path = "/v1/jobs/" .. one,
		headers = {Authorization = "Bearer admin-token"}}
end
local since_us = now_ms() * 1000
local urgent = j:submit({{customer = "clinic", accelerators = 16,
	urgent = true}})[1]
local gang = wait_until(function() return j:running(urgent) end,
	jobs.RECLAIM_MS + 1000, "the urgent job runs")
local ms = (gang.last_go_us - since_us) // 1000
print("  urgent start during 500 cancellations: " .. ms .. " ms")
check(ms <= jobs.RECLAIM_MS, "urgent start")
for _, call in ipairs(calls) do
	check_eq(http_reply(call).status, 202, "status of a cancellation")
end
-- What was cancelled is stopped and never starts again.
wait_until(function()
	local gangs = j:gangs()
	for _, other in pairs(gangs) do
		if other.running > 0 and other.job ~= urgent then
			return false
		end
	end
	return true
end, 10000, "cancelled work is stopped")
local now_us = now_ms() * 1000
sleep(1000)
for _, e in ipairs(j:entries()) do
	check(e.reserved_us <= now_us, "start of cancelled work " .. e.token)
end
