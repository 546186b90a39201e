# Functions shared by the scripts that run a fleet on loopback.

pids=()

# start NAME COMMAND... runs a process in the background with its log in $dir.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

# stop_all ends all started processes by their ids, entries and sides first.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}

# wait_for URL waits until a GET succeeds.
wait_for() {
  local n
  for n in $(seq 150); do
    if curl -sf -o /dev/null --max-time 2 "$1"; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

# setting FILE KEY=VALUE... prints a settings file with replaced values.
setting() {
  local file=$1 arg expr=()
  shift
  for arg in "$@"; do expr+=(-e "s|^\( *${arg%%=*} *= *\).*|\1${arg#*=}|"); done
  sed "${expr[@]}" "$file"
}
