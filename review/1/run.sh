#!/bin/sh
# Plays the case; see claim.txt. Exit status: 1 the rule was broken, 0 it held,
# 2 the case could not run. With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/case1 ] || exit 2
exec review/build/case1 review/1/record.txt
