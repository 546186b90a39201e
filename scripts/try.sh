#!/usr/bin/env bash
# Starts a fleet with stand-ins on loopback and mutual TLS between its processes,
# streams one answer, places one booking twice with the same key, and prints the
# answer, the bill and the single run. Stops everything by process id.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

bin=$PWD/bin
base=${PORT_BASE:-17000}
dir=$(mktemp -d "${TMPDIR:-/tmp}/daisylane.XXXXXX")
cleanup() {
  local code=$?
  stop_all
  if [ "$code" -ne 0 ]; then
    echo "failed, the logs are in $dir" >&2
    tail -n 5 "$dir"/*.log >&2
  else
    rm -r "$dir"
  fi
}
trap cleanup EXIT

platform=http://127.0.0.1:$base
daisylane() { "$bin/daisylane" --settings "$dir/operator.toml" "$@"; }
call() { "$bin/prober" call "$@"; }

echo "== keys and certificates"
"$bin/daisylane" key ca --out "$dir/tls"
"$bin/daisylane" key new --operator operator --out "$dir/operator.key" --json >"$dir/operator.json"
"$bin/daisylane" key new --json >"$dir/account.json"
public=$(field public <"$dir/operator.json")
bearer=$(field key <"$dir/account.json")
hash=$(field hash <"$dir/account.json")

echo "== stand-ins: platform, two engines, a booking service"
start platform "$bin/standin" platform --listen "127.0.0.1:$base"
start engine-1 "$bin/standin" engine --model plan-1 --listen "127.0.0.1:$((base + 501))"
start engine-2 "$bin/standin" engine --model plan-1 --listen "127.0.0.1:$((base + 502))"
start booking "$bin/standin" booking --listen "127.0.0.1:$((base + 503))"
call --wait 10s "$platform/calls" >/dev/null

echo "== bundle and budget"
settings examples/operator.toml platform="\"$platform\"" key="\"$dir/operator.key\"" operator="\"$public\"" >"$dir/operator.toml"
secure "$dir/operator.toml" operator operator
settings examples/bundle.toml keys="[\"$hash\"]" >"$dir/bundle.toml"
daisylane bundle check "$dir/bundle.toml"
daisylane bundle push --note "first bundle" "$dir/bundle.toml"
daisylane budget topup workshop 100000

echo "== sides and entries"
instance() { # NAME ROLE ADDR
  call -X POST -d "{\"action\":\"add\",\"instance\":{\"name\":\"$1\",\"role\":\"$2\",\"centre\":\"north-1\",\"region\":\"north\",\"addr\":\"$3\",\"state\":\"live\"}}" \
    "$platform/instances" >/dev/null
}
side() { # NUMBER TARGET KIND MODEL
  local addr=127.0.0.1:$((base + 400 + $1))
  settings examples/side.toml name="\"side-$1\"" platform="\"$platform\"" listen="\"$addr\"" \
    url="\"http://127.0.0.1:$((base + 500 + $1))\"" kind="\"$3\"" model="\"$4\"" operator="\"$public\"" >"$dir/side-$1.toml"
  sed -i "/^\[target\]/,/^\[limits\]/s|^name *= *.*|name = \"$2\"|" "$dir/side-$1.toml"
  secure "$dir/side-$1.toml" side "side-$1"
  instance "side-$1" side "$addr"
  start "side-$1" "$bin/side" --settings "$dir/side-$1.toml"
}
entry() { # NUMBER
  local addr=127.0.0.1:$((base + 300 + $1))
  settings examples/entry.toml name="\"entry-$1\"" platform="\"$platform\"" operator="\"$public\"" \
    http="\"127.0.0.1:$((base + 80 + $1))\"" peer="\"$addr\"" fold='"1s"' flush='"1s"' notice='"100ms"' >"$dir/entry-$1.toml"
  secure "$dir/entry-$1.toml" entry "entry-$1"
  instance "entry-$1" entry "$addr"
  start "entry-$1" "$bin/entry" --settings "$dir/entry-$1.toml"
}
side 1 planner model plan-1
side 2 planner model plan-1
side 3 booking service ""
entry 1
entry 2
first=http://127.0.0.1:$((base + 81)) second=http://127.0.0.1:$((base + 82))
call --wait 20s "$first/readyz"
call --wait 20s "$second/readyz"
# An entry is ready before it has read all registrations of sides.
call --wait 20s -X POST -H "Authorization: Bearer $bearer" -H "Idempotency-Key: warm-up" \
  -d '{"model":"plan-1","max_tokens":1,"messages":[{"role":"user","content":"ready?"}]}' "$first/v1/chat/completions" >/dev/null

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
