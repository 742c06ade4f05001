#!/bin/sh
# Case 1. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
# TROUBLE=break: the news break off, but what stands comes in one piece.
here=$(cd "$(dirname "$0")" && pwd)
rm -f "$here/record.txt"
[ -x "$here/../bin/platform" ] || exit 2
timeout -k 5 110 "$here/../bin/platform" news-in-pieces "$here/record.txt" &
trap 'kill $!' HUP INT TERM
wait $!
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
