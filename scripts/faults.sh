#!/usr/bin/env bash
# Runs a fleet on loopback under load while it kills an entry and a side and simulates
# a platform outage. Compares the answers and the runs with the records of the
# stand-ins, and checks that all tokens of complete answers were billed.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
TOKENS=10000000
init
fleet

echo "== load with faults"
settings examples/faults.toml key="\"$bearer\"" entries="[\"$first\", \"$second\"]" \
  engines="[\"http://127.0.0.1:$((base + 501))\", \"http://127.0.0.1:$((base + 502))\"]" \
  bookings="[\"http://127.0.0.1:$((base + 503))\"]" \
  url="\"$platform/faults\"" >"$dir/faults.toml"
"$bin/prober" run --json "$dir/faults.toml" >"$dir/report.json" 2>"$dir/prober.log" &
prober=$!
sleep 4
echo "killing entry-1"
kill -KILL "$(pid entry-1)"
sleep 4
echo "killing side-1"
kill -KILL "$(pid side-1)"
wait "$prober"
"$bin/prober" check "$dir/report.json"

echo "== bill"
# The side reports the charges of a dead entry after 12 s, and they are folded into
# the shard object a second later.
sleep 14
daisylane budget show workshop | tee "$dir/budget"
settled=$(sed -n 's/.*settled \([0-9]*\).*/\1/p' "$dir/budget" | head -n 1)
answered=$(grep -o '"tokens": *[0-9]*' "$dir/report.json" | grep -o '[0-9]*' | awk "{ n += \$1 } END { print n }")
echo "tokens of whole answers: $answered, settled: $settled"
[ "$settled" -ge "$answered" ] || { echo "an answer was not billed" >&2; exit 1; }
echo "done"
