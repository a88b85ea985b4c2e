-- One leader in a data centre, and another within 10 s of its death.
-- Faults: the leader is killed, frozen, cut off from the store and from its
-- peers, the store is down with and without a silent host.

local cluster = require "cluster"
local c = cluster.start{hosts = {a1 = "pg1", a2 = "pg1", a3 = "pg1"},
	backends = {s1 = "pg1"}}
time_limit(180)
c:wait_ready()

local names = {"a1", "a2", "a3"}

local function acting(name)
	local reply = c:admin(name, "GET", "/metrics")
	return reply.body:match("\nchivebank_leader_acting (%d)") == "1"
end

local function leaders(except)
	local found = {}
	for _, name in ipairs(names) do
		if name ~= except and acting(name) then found[#found + 1] = name end
	end
	return found
end

local function wait_leader(except)
	return wait_until(function() return leaders(except)[1] end, 10000,
		"another leader")
end

local function others(name)
	local rest = {}
	for _, n in ipairs(names) do if n ~= name then rest[#rest + 1] = n end end
	return rest
end

local first = wait_leader()
c:kill_host(first)
local killed_ms = now_ms()
local second = wait_leader(first)
print("  takeover after a kill: " .. now_ms() - killed_ms .. " ms")
c:start_host(first)
c:wait_ready()

-- A frozen leader finds that it leads no more.
stop(c.hosts[second].id)
local third = wait_leader(second)
cont(c.hosts[second].id)
wait_until(function() return not acting(second) end, 1000,
	"thawed leader stops")
check_eq(#leaders(), 1, "leaders after the thaw")

-- An outage of the store: the leader goes on, until a host is silent.
c:wait_ready()
third = wait_leader()
c:platform_control{down = true}
for i = 1, 40 do
	sleep(200)
	check(acting(third), third .. " leads in the outage")
end
local silent = others(third)[1]
stop(c.hosts[silent].id)
wait_until(function() return not acting(third) end, 4000,
	"leader without a promise stops")
cont(c.hosts[silent].id)
wait_until(function() return acting(third) end, 8000,
	"leader with all promises goes on")
c:platform_control{down = false}
sleep(7000)
check_eq(#leaders(), 1, "leaders after the outage")

-- Cut off from everything, the leader stops and another one follows.
local cut_off = wait_leader()
c:cut_store(cut_off)
for _, name in ipairs(others(cut_off)) do c:cut_hosts(cut_off, name) end
local fourth = wait_leader(cut_off)
check(not acting(cut_off), "the host that was cut off does not lead")
c:heal_store(cut_off)
for _, name in ipairs(others(cut_off)) do c:heal_hosts(cut_off, name) end
sleep(3000)
check_eq(#leaders(), 1, "leaders after the cut")

-- The platform's ledger: the key was never taken while it was held.
local held, takes = false, 0
for _, write in ipairs(c:platform_ledger().writes) do
	if write.key == "/chivebank/dc/pg1/leader" then
		check(write.deleted == held, "the leader key was taken over")
		held = not write.deleted
		takes = takes + (held and 1 or 0)
	end
end
check(takes >= 4, "four take-overs, not " .. takes)
