-- I5: a non-idempotent request runs at most once.
-- Faults: callers that retry on any host, servers that close after their work
-- or answer late, lost answers of the store, a cut between two hosts, a
-- killed and restarted host.

local cluster = require "cluster"
local c = cluster.start{service_ms = 5}
c:wait_ready()
c:basic_document()

local hosts, servers = {"a1", "a2", "b1"}, {"s1", "s2", "s3", "s4"}
local modes = {"close-after", "late", "truncate", "normal", "normal"}
local tickets = {}
for _, name in ipairs(hosts) do
	for _, ticket in ipairs(c:tickets(name, 150)) do
		tickets[#tickets + 1] = ticket
	end
end

-- A third with tickets, a third with own keys, a third without a key. A keyed
-- request is sent again after each reply that is not an answer.
local tries, total = {}, 900
local function make(i)
	local key
	if i % 3 == 0 then key = tickets[i // 3 % #tickets + 1] end
	if i % 3 == 1 then key = "own-" .. i end
	return c:call(hosts[random(#hosts)], "/o/" .. i, {method = "POST",
		body = "order " .. i, key = key, deadline = 2000, timeout = 6000})
end

local function fault(i)
	if i % 40 == 0 then
		c:backend_control(servers[random(#servers)],
			{mode = modes[random(#modes)], delay_ms = 500})
	end
	if i % 100 == 0 then c:platform_control{drop_answers = 2} end
	if i == 200 then c:cut_hosts("a1", "a2") end
	if i == 400 then c:heal_hosts("a1", "a2") end
	if i == 500 then
		c:kill_host("a2")
		wait_exit(c.hosts.a2.id, 2000)
		c:start_host("a2")
	end
end

local pending = c:load(total, 24, make, fault)
for _, name in ipairs(servers) do c:backend_control(name, {mode = "normal"}) end
for round = 1, 3 do
	local again = {}
	for _, reply in ipairs(pending) do
		local key = reply.req.headers["Idempotency-Key"]
		if key and cluster.outcome(reply) ~= "answered" then
			reply.req.port = c.hosts[hosts[random(#hosts)]].callers
			again[#again + 1] = reply.req
		end
	end
	pending = c:load(#again, 24, function(i) return again[i] end)
	sleep(500)
end

local by_key, by_target = c:executions("key"), c:executions("target")
local ran = 0
for target, n in pairs(by_target) do
	ran = ran + 1
	check(n == 1, target .. " ran " .. n .. " times")
end
for key, n in pairs(by_key) do check(n == 1, key .. " ran " .. n .. " times") end
check(ran > total / 2, "most requests ran, not " .. ran)
