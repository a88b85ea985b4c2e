-- Today's shape in small: two data centres of one region, three entry hosts,
-- the platform, four backend servers and one worker process. Each link
-- between processes goes over a relay.

local cluster = {}
cluster.__index = cluster

local ADMIN_TOKEN = "admin-token"
local LOCAL = "127.0.0.1"

-- name -> data centre. Links are dialed by the smaller name.
local HOSTS = {a1 = "pg1", a2 = "pg1", b1 = "pg2"}
local BACKENDS = {s1 = "pg1", s2 = "pg1", s3 = "pg1", s4 = "pg2"}

local function sorted(map)
	local keys = {}
	for key in pairs(map) do keys[#keys + 1] = key end
	table.sort(keys)
	return keys
end

-- Starts everything. opts: hosts, backends (name -> data centre), host
-- (table of settings added to each entry host), workers (0 for none).
function cluster.start(opts)
	opts = opts or {}
	local c = setmetatable({hosts = {}, backends = {}, links = {},
		opts = opts, list_state = {}}, cluster)
	c:start_platform()
	for _, name in ipairs(sorted(opts.backends or BACKENDS)) do
		c:start_backend(name, (opts.backends or BACKENDS)[name])
	end
	c:publish_hosts()
	c:start_workers(opts.workers or 4)
	local hosts = opts.hosts or HOSTS
	for _, name in ipairs(sorted(hosts)) do
		c.hosts[name] = {name = name, dc = hosts[name],
			callers = free_port(), admin = free_port(),
			peer = free_port()}
	end
	for _, name in ipairs(sorted(hosts)) do c:link_host(c.hosts[name]) end
	for _, name in ipairs(sorted(hosts)) do c:start_host(name) end
	return c
end

-- ---- platform ----

function cluster:start_platform()
	local id = spawn("platform", {"standins/platform"})
	local line = wait_line("platform", "port=")
	self.platform = {id = id, port = tonumber(line:match(" port=(%d+)")),
		control = tonumber(line:match("control_port=(%d+)"))}
end

local function must(reply, text)
	check(reply.status == 200, text .. ": status " .. reply.status .. " " ..
		(reply.error or reply.body))
	return json_decode(reply.body)
end

function cluster:platform_control(body)
	must(http{port = self.platform.control, method = "POST",
		path = "/control", body = json_encode(body)}, "platform control")
end

function cluster:platform_ledger()
	return must(http{port = self.platform.control, path = "/ledger"},
		"platform ledger")
end

-- The platform's list: all backend servers in the state last set.
function cluster:publish_hosts()
	local list = json_array{}
	for _, name in ipairs(sorted(self.backends)) do
		local b = self.backends[name]
		if self.list_state[name] ~= "absent" then
			list[#list + 1] = {addr = LOCAL, port = b.via, dc = b.dc,
				service = "echo",
				state = self.list_state[name] or "live"}
		end
	end
	must(http{port = self.platform.control, method = "PUT",
		path = "/v1/hosts", body = json_encode{hosts = list}},
		"host list")
end

-- state: live, leaving or absent.
function cluster:list_backend(name, state)
	self.list_state[name] = state
	self:publish_hosts()
end

-- ---- backend servers ----

function cluster:start_backend(name, dc)
	local old = self.backends[name]
	local args = {"standins/backend", "--port", old and old.port or 0,
		"--control-port", old and old.control or free_port(),
		"--service-ms", self.opts.service_ms or 2,
		"--reply-bytes", self.opts.reply_bytes or 0}
	local id = spawn(name, args)
	local port, control
	wait_until(function()
		for line in (read_file(name .. ".out") or ""):gmatch("[^\n]+") do
			port = tonumber(line:match("^port=(%d+)")) or port
			control = tonumber(line:match("control_port=(%d+)")) or
				control
		end
		return port and http{port = control, path = "/ledger?summary",
			timeout = 500}.status == 200
	end, 5000, name .. " starts")
	if old then
		old.id = id
		return
	end
	local link, via = relay(port)
	self.backends[name] = {name = name, id = id, dc = dc, port = port,
		control = control, link = link, via = via}
end

function cluster:backend_control(name, body)
	must(http{port = self.backends[name].control, method = "POST",
		path = "/control", body = json_encode(body)}, "backend control")
end

-- All requests that the backend servers saw, oldest first in each.
function cluster:ledger()
	local all = {}
	for _, name in ipairs(sorted(self.backends)) do
		local b = self.backends[name]
		local ledger = must(http{port = b.control, path = "/ledger",
			timeout = 30000}, "ledger of " .. name)
		for _, entry in ipairs(ledger.requests) do
			entry.server = name
			all[#all + 1] = entry
		end
		b.in_progress_max = ledger.in_progress_max
		b.connections_max = ledger.connections_max
	end
	return all
end

-- Number of executions for each value of a ledger field.
function cluster:executions(field)
	local count = {}
	for _, entry in ipairs(self:ledger()) do
		if entry.executed and entry[field] ~= "" then
			count[entry[field]] = (count[entry[field]] or 0) + 1
		end
	end
	return count
end

-- ---- workers ----

-- One process with the agents of n workers, all in pg1 and in one rack.
function cluster:start_workers(n)
	self.workers = {}
	if n == 0 then return end
	self.worker_process = spawn("workers", {"standins/worker", "--count", n,
		"--task-ms", self.opts.task_ms or 1000})
	wait_until(function()
		local ports = {}
		for port in (read_file("workers.out") or ""):gmatch("port=(%d+)") do
			ports[#ports + 1] = tonumber(port)
		end
		if #ports < n then return false end
		for i, port in ipairs(ports) do
			local link, via = relay(port)
			self.workers[i] = {name = "w" .. i, port = port,
				link = link, via = via}
		end
		return true
	end, 5000, "workers start")
end

function cluster:worker_control(i, body)
	must(http{port = self.workers[i].port, method = "POST",
		path = "/control", body = json_encode(body)}, "worker control")
end

function cluster:worker_ledger(i)
	return must(http{port = self.workers[i].port, path = "/ledger"},
		"worker ledger")
end

-- The section pool/pg1 with all workers.
function cluster:pool()
	local list = json_array{}
	for i, worker in ipairs(self.workers) do
		list[i] = {name = worker.name, addr = LOCAL, port = worker.via,
			rack = 0, accelerators = 8}
	end
	return {workers = list}
end

-- ---- entry hosts ----

function cluster:link_host(host)
	host.store_link, host.store_via = relay(self.platform.port)
	host.list_link, host.list_via = relay(self.platform.control)
	for _, other in pairs(self.hosts) do
		if host.name < other.name then
			local id, via = relay(other.peer)
			self.links[host.name .. "-" .. other.name] =
				{id = id, via = via}
		end
	end
end

local function pair_name(a, b)
	return a < b and a .. "-" .. b or b .. "-" .. a
end

function cluster:settings(host)
	local peers = json_array{}
	for _, name in ipairs(sorted(self.hosts)) do
		local other = self.hosts[name]
		local link = self.links[host.name .. "-" .. name]
		if name ~= host.name then
			-- The larger name never dials, so its port is not used.
			peers[#peers + 1] = {host = name, dc = other.dc,
				region = "east", addr = LOCAL,
				port = link and link.via or other.peer}
		end
	end
	local settings = {host = host.name, dc = host.dc, region = "east",
		callers = {addr = LOCAL, port = host.callers},
		admin = {addr = LOCAL, port = host.admin},
		peer_listen = {addr = LOCAL, port = host.peer}, peers = peers,
		store = {kind = "etcd", addr = LOCAL, port = host.store_via},
		host_list = {addr = LOCAL, port = host.list_via},
		admin_token_sha256 = sha256(ADMIN_TOKEN), drain_delay_ms = 200,
		seed = SEED, log_level = "info"}
	for key, value in pairs(self.opts.host or {}) do settings[key] = value end
	return settings
end

function cluster:start_host(name)
	local host = self.hosts[name]
	local path = write_file(name .. ".json",
		json_encode(self:settings(host)))
	host.id = spawn(name, {"chivebankd", "--settings", path})
end

function cluster:kill_host(name, signal)
	kill(self.hosts[name].id, signal)
end

function cluster:healthy(name)
	return http{port = self.hosts[name].admin, path = "/healthz",
		timeout = 1000}.status == 200
end

-- All hosts serve, and each data centre has a leader that its hosts know.
function cluster:wait_ready(timeout_ms)
	for _, name in ipairs(sorted(self.hosts)) do
		wait_until(function()
			check(not exit_code(self.hosts[name].id),
				name .. " has ended at start-up")
			return self:healthy(name) and self:leader(name)
		end, timeout_ms or 15000, name .. " is ready")
	end
end

-- ---- links ----

function cluster:cut_hosts(a, b, reset)
	cut(self.links[pair_name(a, b)].id, reset)
end

function cluster:heal_hosts(a, b) heal(self.links[pair_name(a, b)].id) end

function cluster:cut_store(name, reset)
	cut(self.hosts[name].store_link, reset)
	cut(self.hosts[name].list_link, reset)
end

function cluster:heal_store(name)
	heal(self.hosts[name].store_link)
	heal(self.hosts[name].list_link)
end

-- ---- calls ----

-- An operator's call with the administrator's token, or with `token`.
function cluster:admin(name, method, path, body, headers, token)
	local all = {Authorization = "Bearer " .. (token or ADMIN_TOKEN)}
	if body then all["Content-Type"] = "application/json" end
	for key, value in pairs(headers or {}) do all[key] = value end
	local reply = http{port = self.hosts[name].admin, method = method,
		path = path, headers = all, body = body and json_encode(body),
		timeout = 10000}
	reply.json = json_decode(reply.body)
	return reply
end

-- The leader of a host's data centre as that host knows it, and its epoch.
function cluster:leader(name)
	local reply = self:admin(name, "GET", "/v1/leaders")
	for _, entry in ipairs(reply.json and reply.json.leaders or {}) do
		if entry.dc == self.hosts[name].dc then
			return entry.leader, entry.epoch
		end
	end
end

-- Writes a section; base is the section's revision, 0 for a new one.
function cluster:put_section(name, section, body, base)
	return self:admin(name, "PUT", "/v1/document/sections/" .. section,
		body, {["If-Match"] = tostring(base or 0)})
end

function cluster:section(name, section)
	local reply = self:admin(name, "GET",
		"/v1/document/sections/" .. section)
	return reply.status == 200 and reply.json or nil
end

-- The pool, two customers and the service "echo", in force on all hosts.
function cluster:basic_document()
	local first = sorted(self.hosts)[1]
	if #self.workers > 0 then
		must(self:put_section(first, "pool/pg1", self:pool()), "pool/pg1")
	end
	must(self:put_section(first, "customer/roda", {weight = 300}),
		"customer/roda")
	must(self:put_section(first, "customer/bennani", {weight = 100}),
		"customer/bennani")
	must(self:put_section(first, "service/echo", {class = "short",
		deadline_ms = 5000, short_limit_ms = 100}), "service/echo")
	for name in pairs(self.hosts) do
		wait_until(function()
			return self:section(name, "service/echo")
		end, 5000, "document on " .. name)
	end
end

-- Submits a job to a host, again while no leader or no store is there. The
-- key makes a repeated submission the same job.
function cluster:submit(name, key, job)
	return wait_until(function()
		local reply = self:admin(name, "POST", "/v1/jobs", job,
			{["Idempotency-Key"] = key})
		if reply.status > 0 and reply.status < 500 then return reply end
		sleep(200)
	end, 30000, "submission of " .. key)
end

-- All tasks in the workers' ledgers, each with its worker's number.
function cluster:tasks()
	local all = {}
	for i in ipairs(self.workers) do
		for _, task in ipairs(self:worker_ledger(i).tasks) do
			task.worker = i
			all[#all + 1] = task
		end
	end
	return all
end

-- Options of a caller's request; opts: customer, key, class, deadline,
-- method, body, timeout, headers.
function cluster:call(name, path, opts)
	opts = opts or {}
	local headers = {["Chivebank-Customer"] = opts.customer or "roda",
		["Idempotency-Key"] = opts.key,
		["Chivebank-Class"] = opts.class,
		["Chivebank-Deadline-Ms"] = opts.deadline and
			tostring(opts.deadline)}
	for key, value in pairs(opts.headers or {}) do headers[key] = value end
	return {port = self.hosts[name].callers, path = "/r/echo" .. path,
		method = opts.method or "GET", headers = headers,
		body = opts.body, timeout = opts.timeout or 15000}
end

function cluster:request(name, path, opts)
	return http(self:call(name, path, opts))
end

function cluster:tickets(name, count)
	local reply = http{port = self.hosts[name].callers, method = "POST",
		path = "/v1/tickets", body = json_encode{count = count}}
	return must(reply, "tickets").tickets
end

-- Sends n requests, made by make(i), with `width` in progress, and returns
-- the replies, each with its request at .req. between(i) is called after
-- request i has been sent.
function cluster:load(n, width, make, between)
	local replies, open, i = {}, {}, 0
	while i < n or #open > 0 do
		while i < n and #open < width do
			i = i + 1
			local req = make(i)
			open[#open + 1] = {req = req, call = http_start(req)}
			if between then between(i) end
		end
		local still = {}
		for _, entry in ipairs(open) do
			if http_done(entry.call) then
				local reply = http_reply(entry.call)
				reply.req = entry.req
				replies[#replies + 1] = reply
			else
				still[#still + 1] = entry
			end
		end
		open = still
		sleep(2)
	end
	return replies
end

function cluster.outcome(reply)
	return reply.headers["chivebank-outcome"]
end

-- Each reply of the entry hosts states its outcome; the three outcomes have
-- the statuses that the page lists.
function cluster.check_outcome(reply)
	local outcome = cluster.outcome(reply)
	local status = reply.status
	local text = " for " .. reply.req.method .. " " .. reply.req.path ..
		": status " .. status .. " " .. (reply.error or "")
	check(outcome, "outcome is stated" .. text)
	if outcome == "not-run" then
		check(({[400] = 1, [404] = 1, [413] = 1, [429] = 1, [503] = 1})
			[status], "status of not-run" .. text)
	elseif outcome == "unknown" then
		check(status == 502 or status == 504, "status of unknown" .. text)
	else
		check_eq(outcome, "answered", "outcome" .. text)
	end
	return outcome
end

cluster.must = must
return cluster
