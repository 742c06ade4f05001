#!/bin/sh
# One assigner by the deploy file's run line, between stand-ins of the platform (review/platform-2.rs). Discovery is cut
# off for 8 s; 2 s after that begins, a server drains. Exits with 1 if proxies still send to that server after the time
# limit. Ends all that it started.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/whinhill ] && [ -x target/review-2/platform-2 ] || { echo "not built" >&2; exit 2; }
pid=$(mktemp) || exit 2
ASSIGNER_PID=$pid target/review-2/platform-2 silent-discovery review/10/record.txt &
platform=$!
trap 'kill -KILL $platform $(cat "$pid") 2>/dev/null; rm -f "$pid"; exit 2' TERM INT HUP
wait $platform
code=$?
rm -f "$pid"
exit $code
