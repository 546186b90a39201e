# Shared functions of the scripts that run a fleet on loopback.

pids=()
declare -A pid_of

# start NAME COMMAND... starts a background process that logs to $dir/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

# pid NAME prints the process id of a started process.
pid() { echo "${pid_of[$1]}"; }

# stop_all stops all started processes by their process ids, in reverse order.
stop_all() {
  local n
  for ((n = ${#pids[@]} - 1; n >= 0; n--)); do
    kill -TERM "${pids[n]}" 2>/dev/null || true
    wait "${pids[n]}" 2>/dev/null || true
  done
  pids=()
}

# settings FILE KEY=VALUE... prints a settings file with the given values replaced.
settings() {
  local file=$1 arg expr=()
  shift
  for arg in "$@"; do expr+=(-e "s|^\( *${arg%%=*} *= *\)[^#]*|\1${arg#*=} |"); done
  sed "${expr[@]}" "$file"
}

# secure FILE ROLE NAME issues a certificate in $dir/tls and replaces plain = true in
# the settings FILE by its paths.
secure() {
  local file=$1 role=$2 name=$3
  "$bin/daisylane" key cert --ca "$dir/tls" --role "$role" "$name" >"$dir/$name.tls"
  sed -i '/^plain *=/d' "$file"
  grep -q '^\[tls\]' "$file" || echo '[tls]' >>"$file"
  sed -n '/^\(cert\|key\|ca\) = /p' "$dir/$name.tls" >>"$file"
}

# field NAME prints a string field of the JSON object on standard input.
field() { sed -n "s/.*\"$1\": *\"\([^\"]*\)\".*/\1/p" | head -n 1; }

# init creates the working directory of a run. At exit all processes are stopped, and
# the directory with the logs is kept if the run failed.
init() {
  bin=$PWD/bin
  base=${PORT_BASE:-17000}
  platform=http://127.0.0.1:$base
  dir=$(mktemp -d "${TMPDIR:-/tmp}/daisylane.XXXXXX")
  trap cleanup EXIT
}

cleanup() {
  local code=$?
  stop_all
  if [ "$code" -eq 0 ]; then
    rm -r "$dir"
    return
  fi
  echo "failed, the logs are in $dir" >&2
  tail -n 5 "$dir"/*.log >&2
}

daisylane() { "$bin/daisylane" --settings "$dir/operator.toml" "$@"; }
call() { "$bin/prober" call "$@"; }

# instance NAME ROLE ADDR adds an instance to the platform's instance list.
instance() {
  call -X POST -d "{\"action\":\"add\",\"instance\":{\"name\":\"$1\",\"role\":\"$2\",\"centre\":\"north-1\",\"region\":\"north\",\"addr\":\"$3\",\"state\":\"live\"}}" \
    "$platform/instances" >/dev/null
}

# side NUMBER TARGET KIND MODEL starts side-NUMBER for a target.
side() {
  local addr=127.0.0.1:$((base + 400 + $1))
  settings examples/side.toml name="\"side-$1\"" platform="\"$platform\"" listen="\"$addr\"" \
    url="\"http://127.0.0.1:$((base + 500 + $1))\"" kind="\"$3\"" model="\"$4\"" operator="\"$public\"" >"$dir/side-$1.toml"
  sed -i "/^\[target\]/,/^\[limits\]/s|^name *= *.*|name = \"$2\"|" "$dir/side-$1.toml"
  secure "$dir/side-$1.toml" side "side-$1"
  instance "side-$1" side "$addr"
  start "side-$1" "$bin/side" --settings "$dir/side-$1.toml"
}

# entry NUMBER starts entry-NUMBER.
entry() {
  local addr=127.0.0.1:$((base + 300 + $1))
  settings examples/entry.toml name="\"entry-$1\"" platform="\"$platform\"" operator="\"$public\"" \
    http="\"127.0.0.1:$((base + 80 + $1))\"" peer="\"$addr\"" fold='"1s"' flush='"1s"' notice='"100ms"' >"$dir/entry-$1.toml"
  secure "$dir/entry-$1.toml" entry "entry-$1"
  instance "entry-$1" entry "$addr"
  start "entry-$1" "$bin/entry" --settings "$dir/entry-$1.toml"
}

# fleet starts the stand-ins, three sides and two entries, and tops up the budget.
fleet() {
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
  daisylane budget topup workshop "${TOKENS:-100000}"

  echo "== sides and entries"
  side 1 planner model plan-1
  side 2 planner model plan-1
  side 3 booking service ""
  entry 1
  entry 2
  first=http://127.0.0.1:$((base + 81)) second=http://127.0.0.1:$((base + 82))
  call --wait 20s "$first/readyz"
  call --wait 20s "$second/readyz"
  # Wait for a successful request, because an entry is ready before it has read the
  # registrations of all sides.
  call --wait 20s -X POST -H "Authorization: Bearer $bearer" -H "Idempotency-Key: warm-up" \
    -d '{"model":"plan-1","max_tokens":1,"messages":[{"role":"user","content":"ready?"}]}' "$first/v1/chat/completions" >/dev/null
}
