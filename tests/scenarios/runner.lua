-- Tests the runner itself against one stand-in backend server. Faults: a cut
-- link, a refused link, a frozen and a killed process, a failing scenario.

local backend = spawn("echo", {"standins/backend", "--port", "0"})
local port = tonumber(wait_line("echo", "^port="):match("port=(%d+)"))

local reply = http{port = port, path = "/a?b=1"}
check_eq(reply.status, 200, "direct request")
check(reply.body:find("GET /a?b=1", 1, true), "echo of the target")

-- Relay, partition and reset.
local link, via = relay(port)
check_eq(http{port = via, path = "/r"}.status, 200, "request over the relay")
check(relay_bytes(link) > 0, "relay counts bytes")
cut(link)
reply = http{port = via, path = "/cut", timeout = 300}
check_eq(reply.error, "timeout", "cut link")
check(reply.ms >= 300 and reply.ms < 600, "timeout is kept")
local held = http_start{port = via, path = "/held", timeout = 5000}
sleep(100)
check(not http_done(held), "cut link holds a request")
heal(link)
check_eq(http_reply(held).status, 200, "healed link delivers it")
cut(link, true)
reply = http{port = via, path = "/refused", timeout = 2000}
check_eq(reply.status, 0, "refused link")
check(reply.ms < 1000, "refused link fails at once")
heal(link)

-- Many at once, with bodies that come back as digests.
local reqs = {}
for i = 1, 200 do
	reqs[i] = {port = via, method = "POST", path = "/n/" .. i,
		body = ("x"):rep(random(1, 5000)), headers = {["X-N"] = i .. ""}}
end
for i, r in ipairs(http_all(reqs)) do
	check_eq(r.status, 200, "parallel request " .. i .. " " ..
		tostring(r.error))
	check(r.body:find("POST /n/" .. i .. " ", 1, true), "its own answer")
end

-- Freeze, thaw, kill.
stop(backend)
held = http_start{port = port, path = "/frozen", timeout = 5000}
sleep(200)
check(not http_done(held), "frozen process does not answer")
cont(backend)
check_eq(http_reply(held).status, 200, "thawed process answers")
kill(backend)
check_eq(wait_exit(backend, 1000), -9, "killed process")
check_eq(http{port = port, path = "/"}.status, 0, "nobody listens")

-- Values.
local value = {list = {1, 2, {a = "b"}}, text = "x\n\"", flag = true}
check_eq(json_encode(json_decode(json_encode(value))), json_encode(value),
	"JSON round trip")
check_eq(json_encode(json_array{}), "[]", "empty list")
check_eq(json_decode("{"), nil, "malformed JSON")
math.randomseed(SEED)
local first = random(1, 1000000)
math.randomseed(SEED)
check_eq(random(1, 1000000), first, "seeded random numbers")

-- A failing scenario says so and leaves no process behind.
local inner = spawn("inner", {"standins/scenario", BUILD,
	SCENARIO_DIR .. "/lib/fails.lua", SEED})
check_eq(wait_exit(inner, 10000), 1, "exit code of a failing scenario")
check(read_file("inner.out"):find("FAILED fails", 1, true), "its verdict")
check(read_file("inner.out"):find("meant to fail", 1, true), "its reason")
local child = read_file("inner.out"):match("child (%d+)")
check(not io.open("/proc/" .. child .. "/stat"), "its child has ended")
check(not pcall(wait_until, function() end, 50), "wait_until gives up")
for _, name in ipairs{"left.out", "left.log", ""} do
	os.remove(read_file("inner.out"):match("logs: (%S+)") .. "/" .. name)
end
