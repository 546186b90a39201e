#!/usr/bin/env bash
# Demo: starts a fleet with stand-ins on loopback and mutual TLS between its processes,
# streams one answer, sends one booking twice with the same idempotency key, and prints
# the answer, the bill and the single run. Stops all processes by their process ids.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

init
fleet

echo "== one streamed answer from entry 1"
call -X POST -H "Authorization: Bearer $bearer" --show X-Request-Id \
  -d '{"model":"plan-1","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Which tube fits a 24 inch tyre?"}]}' \
  "$first/v1/chat/completions" | tee "$dir/answer"
grep -q '^data: \[DONE\]' "$dir/answer"

echo "== one booking, sent twice with the same key to both entries"
for entry in "$first" "$second"; do
  call -X POST -H "Authorization: Bearer $bearer" -H "Idempotency-Key: booking-1" --show Idempotent-Replayed \
    -d '{"slot":"9:00","place":"Tartu"}' "$entry/services/booking/bookings"
  echo
done

echo "== runs at the booking service"
call "http://127.0.0.1:$((base + 503))/runs" | tee "$dir/runs"
echo
[ "$(grep -o '"id"' "$dir/runs" | wc -l)" -eq 1 ] || { echo "the booking did not run exactly once" >&2; exit 1; }

echo "== bill"
sleep 2
daisylane budget show workshop

echo "== why"
id=$(sed -n "s/^X-Request-Id: //p" "$dir/answer" | tr -d "\r")
daisylane explain "$id"

echo "== status"
daisylane status

echo "== status without a certificate is refused"
sed '/^\[tls\]/,$d' "$dir/operator.toml" >"$dir/plain.toml"
sed -i '1i plain = true' "$dir/plain.toml"
if "$bin/daisylane" --settings "$dir/plain.toml" status >"$dir/refused" 2>&1; then
  echo "processes answered without a certificate" >&2
  exit 1
fi
grep "5 of 5 processes did not answer" "$dir/refused"

echo "== stop"
stop_all
echo "done"
