-- I3: a caller receives the whole answer to its own request.
-- Faults: truncated, late and missing answers, a server that closes after
-- its work, reset connections, a killed server.

local cluster = require "cluster"
local SIZE = 20000 -- bytes of an answer, more than one read takes
local c = cluster.start{reply_bytes = SIZE}
c:wait_ready()
c:basic_document()

local hosts, servers = {"a1", "a2", "b1"}, {"s1", "s2", "s3"}
local modes = {"truncate", "late", "close-after", "close-before", "hang",
	"normal", "normal"}
local methods = {"GET", "PUT", "POST"}

local function make(i)
	local method = methods[random(#methods)]
	return c:call(hosts[random(#hosts)], "/w/" .. i, {method = method,
		deadline = 3000, class = random(2) == 1 and "long" or nil,
		body = method ~= "GET" and ("b"):rep(random(1, 30000)) or nil})
end

local function fault(i)
	if i % 60 == 0 then
		c:backend_control(servers[random(#servers)],
			{mode = modes[random(#modes)], delay_ms = 400})
	elseif i % 97 == 0 then
		local link = c.backends[servers[random(#servers)]].link
		cut(link, true)
		sleep(50)
		heal(link)
	elseif i == 450 then
		kill(c.backends.s3.id)
		wait_exit(c.backends.s3.id, 2000)
		c:start_backend("s3", "pg1")
	end
end

local replies = c:load(900, 16, make, fault)
for _, name in ipairs(servers) do c:backend_control(name, {mode = "normal"}) end

local answered = 0
for _, reply in ipairs(replies) do
	if cluster.check_outcome(reply) == "answered" then
		answered = answered + 1
		check_eq(reply.status, 200, "status of " .. reply.req.path)
		check(#reply.body >= SIZE, "whole answer to " .. reply.req.path ..
			", " .. #reply.body .. " bytes")
		local target = reply.req.path:sub(#"/r/echo" + 1)
		check(reply.body:find("^" .. reply.req.method .. " " .. target ..
			" %x+\n"), "own answer to " .. reply.req.path .. ": " ..
			reply.body:sub(1, 60))
	end
end
check(answered > 450, "most are answered, not " .. answered)
