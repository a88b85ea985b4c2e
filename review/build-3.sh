#!/bin/sh
# Builds the programs of the cases 11 to 15, after the build of
# deploy/system.toml. They take the stand-ins of tests/standins/, without those
# that need Lua.
set -e
cd "$(dirname "$0")/.."
out=build-review-3
packages="libwebsockets libuv msgpack glib-2.0 jansson libxxhash"
cc=${CC:-gcc}
flags="-std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -Werror -I. -D_GNU_SOURCE"
flags="$flags $(pkg-config --cflags $packages)"
libs="$(pkg-config --libs $packages) -lhttp_parser -lcap -lm"
mkdir -p "$out"
objects=""
for file in base/*.c wire/*.c policy/*.c fleet/*.c control/*.c platform/*.c \
	tests/standins/site_advice.c tests/standins/site_check.c \
	tests/standins/site_doors.c tests/standins/site_fleet.c \
	tests/standins/site_machines.c tests/standins/site_orders.c \
	tests/standins/site_reply.c tests/standins/site_run.c \
	tests/standins/site_serving.c tests/standins/site_store.c \
	tests/standins/sr_proc.c tests/standins/ports.c review/act.c; do
	object="$out/$(echo "$file" | tr / -).o"
	objects="$objects $object"
	[ "$object" -nt "$file" ] || echo "$object $file"
done | xargs -r -n 2 -P 8 sh -c "$cc $flags -c -o \"\$0\" \"\$1\""
for file in base/*.c wire/*.c policy/*.c fleet/*.c control/*.c platform/*.c; do
	objects="$objects $out/$(echo "$file" | tr / -).o"
done
for name in site_advice site_check site_doors site_fleet site_machines \
	site_orders site_reply site_run site_serving site_store sr_proc ports; do
	objects="$objects $out/tests-standins-$name.c.o"
done
objects="$objects $out/review-act.c.o"
for file in review/act_*.c; do
	name=$(basename "$file" .c)
	$cc $flags -o "$out/$name" "$file" $objects $libs
done
