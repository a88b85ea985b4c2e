-- Sections 1.4 and 7: the idle control cost of an entry host is at most 1.6 %
-- of a core, 64 MB and 7 KB/s. No faults.

local cluster = require "cluster"
local c = cluster.start{}
c:wait_ready()
c:basic_document()

local SECONDS = 15
local TICKS_PER_SEC = 100 -- of /proc/<pid>/stat on Linux

local function ticks(host)
	local file = io.open("/proc/" .. pid(host.id) .. "/stat")
	local fields = {}
	for field in file:read("a"):gsub("^.*%) ", ""):gmatch("%S+") do
		fields[#fields + 1] = field
	end
	file:close()
	return tonumber(fields[12]) + tonumber(fields[13])
end

local function resident_mb(host)
	local file = io.open("/proc/" .. pid(host.id) .. "/status")
	local kb = file:read("a"):match("VmRSS:%s+(%d+) kB")
	file:close()
	return tonumber(kb) / 1024
end

-- Bytes of all links of a host, in both directions.
local function bytes(host)
	local sum = relay_bytes(host.store_link) + relay_bytes(host.list_link)
	for name, link in pairs(c.links) do
		if name:find(host.name, 1, true) then sum = sum + relay_bytes(link.id) end
	end
	return sum
end

sleep(3000)
local before = {}
for name, host in pairs(c.hosts) do
	before[name] = {ticks = ticks(host), bytes = bytes(host)}
end
sleep(SECONDS * 1000)
for name, host in pairs(c.hosts) do
	local core = (ticks(host) - before[name].ticks) / TICKS_PER_SEC / SECONDS
	local rate = (bytes(host) - before[name].bytes) / SECONDS
	local mb = resident_mb(host)
	print(string.format("  %s: %.2f %% of a core, %.2f KB/s, %.1f MB", name,
		core * 100, rate / 1000, mb))
	check(core <= 0.016, name .. " uses " .. core .. " of a core")
	check(rate <= 7000, name .. " sends and receives " .. rate .. " B/s")
	check(mb <= 64, name .. " takes " .. mb .. " MB")
end
