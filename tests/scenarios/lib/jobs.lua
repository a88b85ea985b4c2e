-- A pool of stand-in workers, each a process behind a relay of its own, and
-- verdicts on jobs from the ledgers of these workers.

local cluster = require "cluster"

local jobs = {}
jobs.__index = jobs

-- The bounds of base/limits.h and of the design page.
jobs.LEASE_MS = 30000 -- TASK_LEASE_MS
jobs.RECLAIM_MS = 9400 -- RECLAIM_BOUND_MS
jobs.TAKEOVER_MS = 10000 -- TAKEOVER_BOUND_MS
jobs.HOLD_MS = 10000 -- RESERVATION_TERM_MS and BARRIER_TERM_MS

local PER_WORKER = 8
local DC = "pg1"
local HOSTS = {"a1", "a2", "a3"}

-- Starts three entry hosts and n workers, and writes the pool and the
-- customers (name -> body). Tasks run until their time is shortened.
function jobs.start(n, customers)
	local j = setmetatable({workers = {}, count = 0, past = {},
		accepted = {}}, jobs)
	j.c = cluster.start{hosts = {a1 = DC, a2 = DC, a3 = DC}, backends = {}}
	j.task_ms, j.checkpoint_ms = 600000, 100
	local pool = json_array{}
	for i = 1, n do
		local w = {name = "w" .. i, port = free_port()}
		j.workers[i] = w
		j:start_worker(i)
		w.link, w.via = relay(w.port)
		pool[i] = {name = w.name, addr = "127.0.0.1", port = w.via,
			rack = 0, accelerators = PER_WORKER}
	end
	j.c:wait_ready()
	cluster.must(j.c:put_section("a1", "pool/" .. DC, {workers = pool}),
		"pool")
	for name, body in pairs(customers) do
		cluster.must(j.c:put_section("a1", "customer/" .. name, body),
			"customer " .. name)
	end
	wait_until(function()
		local live = 0
		for _, w in ipairs(j:ask("GET", "/v1/workers").workers) do
			live = live + (w.state == "live" and 1 or 0)
		end
		return live == n
	end, 10000, "all workers are live")
	return j
end

-- ---- workers ----

function jobs:start_worker(i)
	local w = self.workers[i]
	w.id = spawn(w.name, {"standins/worker", "--port", w.port,
		"--task-ms", self.task_ms, "--checkpoint-ms",
		self.checkpoint_ms})
	w.dead = false
	wait_until(function()
		return http{port = w.port, path = "/ledger",
			timeout = 500}.status == 200
	end, 5000, w.name .. " starts")
end

function jobs:worker_ledger(i)
	return cluster.must(http{port = self.workers[i].port,
		path = "/ledger"}, "ledger of worker " .. i)
end

-- The ledger is read behind a cut link, so that nothing is left out of it.
function jobs:kill_worker(i)
	local w = self.workers[i]
	cut(w.link, true)
	local ledger = self:worker_ledger(i)
	kill(w.id)
	wait_exit(w.id, 2000)
	w.dead = true
	local now_us = now_ms() * 1000
	for _, entry in ipairs(ledger.tasks) do
		if entry.end_us == 0 then
			entry.end_us = now_us
			entry.state = "killed"
		end
		entry.worker = w.name
		self.past[#self.past + 1] = entry
	end
	heal(w.link)
end

-- Changes the behaviour of worker i, or of all workers that run.
function jobs:control(body, i)
	for k, w in ipairs(self.workers) do
		if not w.dead and (not i or i == k) then
			cluster.must(http{port = w.port, method = "POST",
				path = "/control", body = json_encode(body)},
				"control of " .. w.name)
		end
	end
	if not i then
		self.task_ms = body.task_ms or self.task_ms
		self.checkpoint_ms = body.checkpoint_ms or
			self.checkpoint_ms
	end
end

-- ---- ledgers ----

-- All entries of all workers, also of processes that have been killed; in
-- each worker in the order of reservation.
function jobs:entries()
	local all = {table.unpack(self.past)}
	for i, w in ipairs(self.workers) do
		local ledger = w.dead and {tasks = {}} or self:worker_ledger(i)
		for _, entry in ipairs(ledger.tasks) do
			entry.worker = w.name
			all[#all + 1] = entry
		end
		w.free, w.epoch = ledger.free, ledger.epoch
	end
	return all
end

-- Milliseconds in which some but not all of a gang's accelerators ran. A
-- member that is done counts as present: its part of the work is whole.
local function partial_ms(gang, size, now_us)
	local steps = {}
	for _, e in ipairs(gang.members) do
		steps[#steps + 1] = {e.go_us, e.accelerators, e.accelerators}
		if e.end_us > 0 then
			steps[#steps + 1] = {e.end_us, -e.accelerators,
				e.state == "done" and 0 or -e.accelerators}
		end
	end
	table.sort(steps, function(a, b) return a[1] < b[1] end)
	local running, present, sum, last = 0, 0, 0, 0
	for _, step in ipairs(steps) do
		if running > 0 and present < size then
			sum = sum + step[1] - last
		end
		running, present = running + step[2], present + step[3]
		last = step[1]
	end
	if running > 0 and present < size then sum = sum + now_us - last end
	gang.running, gang.present = running, present
	return sum // 1000
end

-- The barrier: no member goes before all members have committed.
local function check_barrier(token, entries, size)
	local committed, first_go, last_barrier = 0, math.maxinteger, 0
	for _, e in ipairs(entries) do
		if e.barrier_us > 0 then
			committed = committed + e.accelerators
			last_barrier = math.max(last_barrier, e.barrier_us)
		end
		if e.go_us > 0 then first_go = math.min(first_go, e.go_us) end
	end
	if first_go == math.maxinteger then return end
	check_eq(committed, size, token .. " went: accelerators committed")
	check(last_barrier <= first_go, token .. " went before the last commit")
end

-- The entry as it was at a time before its ledger was read.
local function entry_at(entry, at_us)
	local e = {}
	for key, value in pairs(entry) do e[key] = value end
	for _, key in ipairs{"barrier_us", "go_us", "end_us"} do
		if e[key] > at_us then e[key] = 0 end
	end
	return e
end

-- Merges the ledgers: token -> {job, members that went, running and done
-- accelerators, partial_ms, last_go_us}. Checks that no token went twice on
-- a worker, and that each worker reserved and went under the epoch of the
-- token only, never under an older epoch after a newer one.
-- The ledgers are read one after the other while gangs start and end, so
-- gangs are judged as of the time before the first of them was read. All
-- processes stamp with the clock of the machine, and a worker shows in its
-- ledger all that it has stamped before it was asked.
function jobs:gangs()
	local gangs, seen, newest = {}, {}, {}
	local at_us = now_ms() * 1000
	for _, e in ipairs(self:entries()) do
		local epoch, job = e.token:match("^(%d+)%.(.+)%.%d+$")
		local text = " of " .. e.token .. " on " .. e.worker
		check(not (e.go_us > 0 and seen[e.worker .. e.token]),
			"second start" .. text)
		seen[e.worker .. e.token] = e.go_us > 0
		if e.reserved_us > 0 then
			check_eq(e.epoch, tonumber(epoch), "epoch" .. text)
			check(e.epoch >= (newest[e.worker] or 0),
				"older epoch after a newer one" .. text)
			newest[e.worker] = e.epoch
		end
		if e.go_us > 0 then
			check_eq(e.go_epoch, tonumber(epoch), "go" .. text)
		end
		e = entry_at(e, at_us)
		local gang = gangs[e.token] or {job = job, members = {},
			entries = {}, done = 0, last_go_us = 0}
		gangs[e.token] = gang
		gang.entries[#gang.entries + 1] = e
		if e.go_us > 0 then
			gang.members[#gang.members + 1] = e
			gang.last_go_us = math.max(gang.last_go_us, e.go_us)
			gang.done = gang.done + (e.end_us > 0 and
				e.state == "done" and e.accelerators or 0)
		end
	end
	for token, gang in pairs(gangs) do
		local size = self.accepted[gang.job]
		check(size, "token of an unknown job " .. token)
		check_barrier(token, gang.entries, size)
		gang.partial_ms = partial_ms(gang, size, at_us)
		check(gang.partial_ms <= jobs.LEASE_MS, token ..
			" ran partially for " .. gang.partial_ms .. " ms")
	end
	return gangs
end

-- The longest partial run so far, in ms.
function jobs:worst_partial()
	local worst = 0
	for _, gang in pairs(self:gangs()) do
		worst = math.max(worst, gang.partial_ms)
	end
	return worst
end

-- The gang of a job that runs on all of its accelerators now, or nil. Only
-- one gang of a job runs at a time.
function jobs:running(id, gangs)
	local found, token
	for t, gang in pairs(gangs or self:gangs()) do
		if gang.job == id and gang.running == self.accepted[id] then
			check(not found, "job " .. id .. " runs twice")
			found, token = gang, t
		end
	end
	return found, token
end

-- Whether all the jobs run, and no gang of any job runs partially.
function jobs:all_run(ids)
	local gangs = self:gangs()
	for _, id in ipairs(ids) do
		if not self:running(id, gangs) then return false end
	end
	for _, gang in pairs(gangs) do
		if gang.running > 0 and
			gang.present < self.accepted[gang.job] then
			return false
		end
	end
	return true
end

-- Whether the job was done by one gang, on all of its accelerators. Ends the
-- scenario when a second gang did it again.
function jobs:done(id, gangs)
	local times = 0
	for _, gang in pairs(gangs) do
		if gang.job == id and gang.done == self.accepted[id] then
			times = times + 1
		end
	end
	check(times <= 1, "job " .. id .. " was done " .. times .. " times")
	return times == 1
end

function jobs:all_done(ids)
	local gangs = self:gangs()
	for _, id in ipairs(ids) do
		if not self:done(id, gangs) then return false end
	end
	return true
end

-- Whether every worker that runs has all of its accelerators free.
function jobs:all_free()
	self:entries()
	for _, w in ipairs(self.workers) do
		if not w.dead and w.free ~= PER_WORKER then return false end
	end
	return true
end

-- ---- calls ----

local function acting(host)
	local reply = http{port = host.admin, path = "/metrics", timeout = 500}
	return reply.body:match("\nchivebank_leader_acting (%d)") == "1"
end

-- The host that says of itself that it leads.
function jobs:leader()
	return wait_until(function()
		for _, name in ipairs(HOSTS) do
			if acting(self.c.hosts[name]) then return name end
		end
	end, jobs.TAKEOVER_MS, "a leader")
end

-- Asks one host after the other until one answers, as callers do.
function jobs:ask(method, path)
	return wait_until(function()
		for _, name in ipairs(HOSTS) do
			local reply = self.c:admin(name, method, path)
			if reply.status == 200 then return reply.json end
		end
	end, 15000, method .. " " .. path)
end

-- Submits jobs at once and repeats each under its key, over the next host,
-- until its outcome is known. Returns the ids.
function jobs:submit(bodies)
	local turn = random(#HOSTS)
	local ids, left, until_ms = {}, {}, now_ms() + 15000
	for i in ipairs(bodies) do left[i] = i end
	local base = self.count
	self.count = base + #bodies
	while #left > 0 do
		local reqs = {}
		local host = self.c.hosts[HOSTS[turn % #HOSTS + 1]]
		turn = turn + 1
		for k, i in ipairs(left) do
			reqs[k] = {port = host.admin,
				method = "POST", path = "/v1/jobs",
				body = json_encode(bodies[i]), headers = {
				["Content-Type"] = "application/json",
				["Idempotency-Key"] = "k" .. base + i,
				Authorization = "Bearer admin-token"}}
		end
		local again, last = {}, nil
		for k, reply in ipairs(http_all(reqs)) do
			if reply.status >= 200 and reply.status < 300 then
				local id = json_decode(reply.body).id
				ids[left[k]] = id
				self.accepted[id] = bodies[left[k]].accelerators
			else
				check(reply.status >= 500 or reply.error,
					"submission: " .. reply.body)
				again[#again + 1] = left[k]
				last = reply.error or reply.body
			end
		end
		left = again
		check(#left == 0 or now_ms() < until_ms, "submission ends: " ..
			(last or ""))
		if #left > 0 then sleep(20) end
	end
	return ids
end

function jobs:job(id) return self:ask("GET", "/v1/jobs/" .. id) end

jobs.HOSTS = HOSTS
return jobs
