#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3: the programs
# of the cases, with review/lib-3 and the store of tests/lib. Needs only what the
# build of the deploy file needs, and that it has run.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
packages="liburcu libmicrohttpd neon glib-2.0 jansson libxxhash libcurl msgpack"
flags="-std=gnu11 -O2 -Wall -Wextra -pthread -D_GNU_SOURCE -Ipackages -Itests -I."
cflags=$(pkg-config --cflags $packages)
mkdir -p "$out/lib"
rm -f "$out/lib/"*
# An archive, so that each case is linked with what it uses of tests/lib.
for source in tests/lib/*.c; do
	object=$out/lib/$(basename "$source" .c).o
	gcc $flags $cflags -c -o "$object" "$source"
done
ar rcs "$out/lib/libtests.a" "$out/lib/"*.o
for dir in review/1[1-5]; do
	[ -e "$dir/case.c" ] || continue
	gcc $flags $cflags -o "$out/case-${dir#review/}" "$dir/case.c" \
	    review/lib-3/rig.c -Wl,--start-group "$out/lib/libtests.a" \
	    target/lib*.a -Wl,--end-group $(pkg-config --libs $packages) -lm
done
