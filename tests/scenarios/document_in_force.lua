-- I8: an accepted change is in force everywhere within seconds and never
-- reverts. Faults: racing operators, lost answers of the store, a store that
-- answers with an older root, an outage, a killed leader, a host that starts
-- during the outage.

local cluster = require "cluster"
local c = cluster.start{}
c:wait_ready()
c:basic_document()

local names = {"a1", "a2", "b1"}
local highest = {}

-- The revision in force on a host, which may never go down.
local function revision(name)
	local reply = c:admin(name, "GET", "/v1/document")
	if reply.status ~= 200 then return -1 end
	local rev = reply.json.revision
	check(rev >= (highest[name] or 0), name .. " went back from revision " ..
		(highest[name] or 0) .. " to " .. rev)
	highest[name] = rev
	return rev
end

local function everywhere(rev, timeout_ms, except)
	wait_until(function()
		for _, name in ipairs(names) do
			if name ~= except and revision(name) < rev then return false end
		end
		return true
	end, timeout_ms, "revision " .. rev .. " everywhere")
end

-- Writes weight n on any host, reading first; returns the new revision.
local function change(name, weight)
	local section = c:section(name, "customer/roda")
	local reply = c:put_section(name, "customer/roda", {weight = weight},
		section.revision)
	return reply.status == 200 and reply.json.revision, reply
end

check_eq(c:section("b1", "pool/pg1").body.workers[4].port, c.workers[4].via,
	"pool on the other data centre")
check_eq(c:worker_ledger(1).free, 8, "free accelerators of a worker")

for i = 1, 5 do
	local rev, reply = change(names[random(3)], 100 + i)
	check(rev, "change " .. i .. ": " .. reply.body)
	everywhere(rev, 3000)
end

-- Two operators write the same section, two others different ones.
local base = c:section("a1", "customer/roda").revision
local first = c:put_section("a1", "customer/roda", {weight = 11}, base)
local second = c:put_section("b1", "customer/roda", {weight = 12}, base)
check_eq(first.status, 200, "first operator")
check_eq(second.status, 409, "second operator on the same section")

-- The answer to a write is lost; the outcome is settled by reading back.
for i = 1, 3 do
	c:platform_control{drop_answers = 1}
	local rev, reply = change("a1", 200 + i)
	check(rev, "change with a lost answer: " .. reply.status .. reply.body)
	everywhere(rev, 3000)
	check_eq(c:section("b1", "customer/roda").body.weight, 200 + i, "weight")
end

-- The store goes back to an older root: nobody follows.
local rev = revision("a1")
c:platform_control{old_root = true}
local until_ms = now_ms() + 3000
while now_ms() < until_ms do
	for _, name in ipairs(names) do revision(name) end
	sleep(50)
end
c:platform_control{old_root = false}
everywhere(rev, 1000)

-- Outage: changes are refused as not written, a starting host gets the
-- document from its peers, and the leader is killed meanwhile.
c:platform_control{down = true}
local refused = c:put_section("a1", "customer/roda", {weight = 1},
	c:section("a1", "customer/roda").revision)
check(refused.status >= 500, "change in the outage: " .. refused.status)
c:kill_host("a2")
wait_exit(c.hosts.a2.id, 2000)
highest.a2 = 0
c:start_host("a2")
wait_until(function() return revision("a2") >= rev end, 8000,
	"document on the host that started in the outage")
c:platform_control{down = false}
wait_until(function() return (change("a1", 300)) end, 15000,
	"changes after the outage")
local leader = wait_until(function() return c:leader("a1") end, 10000,
	"a leader after the outage")
c:kill_host(leader)
local other = leader == "a1" and "a2" or "a1"
local after = wait_until(function() return (change(other, 301)) end, 12000,
	"change after the leader's death")
everywhere(after, 12000, leader)
