#!/bin/sh
# Builds the stand-ins and the programs of review/6 to review/10 in
# build/review-2, with the packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
out=build/review-2
packages="libwebsockets libuv msgpack glib-2.0 jansson libxxhash"
standins="site_store site_doors site_fleet site_run site_orders site_check
	site_serving site_advice site_reply sr_proc ports"
flags="-std=gnu11 -Wall -Wextra -Wno-unused-parameter -O2 -g -I.
	-D_GNU_SOURCE $(pkg-config --cflags $packages)"

mkdir -p "$out"
# The Makefile also asks for packages of the tests, which are not needed here.
make -j8 BUILD="$out" "$out/libchivebank.a" >"$out/make.log" 2>&1 || {
	cat "$out/make.log"
	exit 1
}
objects=""
for source in review/cloud.c review/path.c review/scene.c \
	$(printf 'tests/standins/%s.c ' $standins); do
	object="$out/scene-$(basename "$source" .c).o"
	${CC:-gcc} $flags -c -o "$object" "$source"
	objects="$objects $object"
done
link() {
	${CC:-gcc} $flags -o "$out/$1" "$2" $objects "$out/libchivebank.a" \
		$(pkg-config --libs $packages) -lhttp_parser -lcap -lm
}
for source in review/*/case.c; do
	link "case-$(basename "$(dirname "$source")")" "$source"
done
link trial-schedule review/trial_schedule.c
link trial-ban review/trial_ban.c
echo "built in $out"
