-- I7: a planned stop cuts off no request in progress.
-- Faults: each entry host is stopped in turn under load, the leader among
-- them, with slow servers and SIGTERM twice and three times; a server outlives
-- the grace; the store is down during one of the stops.

local cluster = require "cluster"
local GRACE_MS = 4000
local c = cluster.start{service_ms = 150, host = {grace_ms = GRACE_MS}}
c:wait_ready()
c:basic_document()

local function stop_under_load(name, others, signals)
	local stopping = false
	local stopped_at
	local replies = c:load(200, 16, function(i)
		-- The balancer stops sending once /healthz answers 503.
		local to = stopping and others[random(#others)] or
			(i % 2 == 0 and name or others[random(#others)])
		return c:call(to, "/g/" .. name .. "/" .. i, {method = "POST",
			body = "x"})
	end, function(i)
		if i >= 60 and i < 60 + signals then
			kill(c.hosts[name].id, 15)
			stopped_at = stopped_at or now_ms()
		elseif i > 60 and not stopping and now_ms() - stopped_at > 100 then
			stopping = true
		end
	end)
	for _, reply in ipairs(replies) do
		check(reply.status ~= 0, "no reply to " .. reply.req.path .. ": " ..
			tostring(reply.error))
		local outcome = cluster.check_outcome(reply)
		check(outcome ~= "unknown", reply.req.path .. " was cut off, result " ..
			tostring(reply.headers["chivebank-result"]))
	end
	check_eq(wait_exit(c.hosts[name].id, 10000), 0, "exit code of " .. name)
	c:start_host(name)
	c:wait_ready()
end

local leader = c:leader("a1")
local other = leader == "a1" and "a2" or "a1"
stop_under_load(leader, {other, "b1"}, 2)
stop_under_load(other, {leader, "b1"}, 3)

-- A caller that keeps its connection, opens another one after "Connection:
-- close" and goes on until the process is gone. Returns the number of answers
-- and the time of the last failure, which only the end of the process excuses.
local function keep_calling(port, stop_ms)
	local text = "GET /r/echo/hang/kept HTTP/1.1\r\nHost: x\r\n" ..
		"Chivebank-Customer: roda\r\n" ..
		"Chivebank-Deadline-Ms: 200\r\n\r\n"
	local answers, fd = 0, nil
	while now_ms() < stop_ms do
		fd = fd or tcp_connect(port)
		if not fd then return answers, now_ms() end
		local reply, closed = "", not tcp_send(fd, text)
		while not closed and not reply:find("\r\n\r\n", 1, true) do
			local more
			more, closed = tcp_receive(fd, 1000)
			reply = reply .. more
			check(more ~= "" or closed, "no answer within 1 s")
		end
		if reply == "" then return answers, now_ms() end
		check(reply:match("^HTTP/1.1 %d"), "answer: " .. reply)
		answers = answers + 1
		if reply:find("Connection: close", 1, true) then
			tcp_close(fd)
			fd = nil
		end
		sleep(5)
	end
	return answers, nil
end

-- The server outlives the grace: what it has got is unknown, half a request is
-- not run, and all are told before the process ends.
local function stop_with_hanging_server(name, server)
	local id, port = c.hosts[name].id, c.hosts[name].callers
	c:backend_control(server, {mode = "hang"})
	local hanging = http_start(c:call(name, "/hang", {method = "POST",
		body = "x", deadline = 30000}))
	local half = http_start{port = port, path = "/r/echo/half",
		headers = {["Content-Length"] = "100",
			["Chivebank-Customer"] = "roda"}, timeout = 15000}
	wait_until(function()
		for _, entry in ipairs(c:ledger()) do
			if entry.target == "/hang" then return true end
		end
	end, 2000, "the request reaches " .. server)
	kill(id, 15)
	local begun_ms = now_ms()
	local answers, failed_ms = keep_calling(port, begun_ms + 2 * GRACE_MS)
	check(failed_ms, name .. " has not stopped")
	check(answers > 10, "answers on a kept connection: " .. answers)
	check_eq(wait_exit(id, 200), 0, "exit code of " .. name)
	check(failed_ms - begun_ms < GRACE_MS, "the stop took " ..
		failed_ms - begun_ms .. " ms")
	local reply = http_reply(hanging)
	check_eq(reply.status, 504, "status of the hanging request")
	check_eq(cluster.outcome(reply), "unknown", "the hanging request")
	check_eq(reply.headers["chivebank-result"], "301", "its result")
	reply = http_reply(half)
	check_eq(reply.status, 503, "status of half a request")
	check_eq(cluster.outcome(reply), "not-run", "half a request")
	c:backend_control(server, {mode = "normal"})
	c:start_host(name)
	c:wait_ready()
end

stop_with_hanging_server("b1", "s4")
c:platform_control{down = true}
local replies = c:load(100, 8, function(i)
	return c:call("b1", "/down/" .. i, {method = "POST", body = "x"})
end, function(i)
	if i == 40 then kill(c.hosts.b1.id, 15) end
end)
for _, reply in ipairs(replies) do
	-- New connections are refused once the process has ended.
	if reply.error ~= "connection reset" and reply.error ~= "cannot connect"
	then
		check(cluster.check_outcome(reply) ~= "unknown", "cut off")
	end
end
check_eq(wait_exit(c.hosts.b1.id, 10000), 0, "exit code of b1")
for _, entry in ipairs(c:ledger()) do
	check(entry.end_us > 0 or entry.target:match("^/hang"),
		entry.target .. " was abandoned")
end
