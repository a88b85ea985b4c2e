#!/bin/sh
# Builds the stand-ins that the review's scripts start: build/review-stage.
set -e
cd "$(dirname "$0")/.."
objects=""
for name in site_store site_doors site_reply ports sr_proc; do
	objects="$objects build/tests/standins/$name.o"
done
# shellcheck disable=SC2086
make -j8 BUILD=build build/libchivebank.a $objects
packages="libwebsockets libuv msgpack glib-2.0 jansson libxxhash"
# shellcheck disable=SC2046,SC2086
gcc -I. -D_GNU_SOURCE -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter \
	$(pkg-config --cflags $packages) -o build/review-stage \
	review/cases.c review/stage.c review/worker.c review/link.c \
	$objects build/libchivebank.a \
	$(pkg-config --libs $packages) -lhttp_parser -lcap -lm -lpthread
