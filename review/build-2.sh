#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 that are scripts into
# build/review-2, with the stand-ins that they use: the store of tests/lib and
# the targets and requesters of review/lib-2. Needs the packages of the deploy
# file only.
set -eu
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
deps="glib-2.0 jansson libmicrohttpd"
flags="-std=gnu11 -Wall -Wextra -O2 -g -pthread -D_GNU_SOURCE"
for n in 6 7 8 9 10; do
	[ -f "review/$n/case.c" ] || continue
	# shellcheck disable=SC2046,SC2086
	${CC:-gcc} $flags -Ireview -Ipackages -Itests -I. \
	    $(pkg-config --cflags $deps) -o "$out/case$n" \
	    "review/$n/case.c" review/lib-2/kit.c tests/lib/object_store.c \
	    tests/lib/usage_reports.c packages/base/byte_string.c \
	    $(pkg-config --libs $deps libxxhash) -lm
done
