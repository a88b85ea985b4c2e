-- Helpers that every scenario has.

math.randomseed(SEED)
random = math.random
package.path = SCENARIO_DIR .. "/lib/?.lua;" .. package.path

-- Calls fn until it returns a true value, which is returned. Ends the
-- scenario after timeout_ms.
function wait_until(fn, timeout_ms, text)
	local until_ms = now_ms() + timeout_ms
	while true do
		local value = fn()
		if value then return value end
		check(now_ms() < until_ms,
			(text or "condition") .. " within " .. timeout_ms .. " ms")
		sleep(20)
	end
end

function wait_exit(id, timeout_ms)
	return wait_until(function() return exit_code(id) end, timeout_ms,
		"process ends")
end

function http(req) return http_reply(http_start(req)) end

-- Sends all requests at once and returns the replies in order.
function http_all(reqs)
	local calls, replies = {}, {}
	for i, req in ipairs(reqs) do calls[i] = http_start(req) end
	for i, call in ipairs(calls) do replies[i] = http_reply(call) end
	return replies
end

-- The first line of a process's output that matches a pattern.
function wait_line(name, pattern, timeout_ms)
	return wait_until(function()
		for line in (read_file(name .. ".out") or ""):gmatch("[^\n]+") do
			if line:match(pattern) then return line end
		end
	end, timeout_ms or 5000, name .. " prints " .. pattern)
end

function check_eq(got, want, text)
	check(got == want, string.format("%s: got %s, want %s", text,
		tostring(got), tostring(want)))
end
