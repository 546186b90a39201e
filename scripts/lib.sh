# Functions shared by the scripts that run a fleet on loopback.

pids=()

# start NAME COMMAND... runs a process in the background with its log in $dir.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

# stop_all ends all started processes by their ids, the latest first.
stop_all() {
  local n
  for ((n = ${#pids[@]} - 1; n >= 0; n--)); do
    kill -TERM "${pids[n]}" 2>/dev/null || true
    wait "${pids[n]}" 2>/dev/null || true
  done
  pids=()
}

# settings FILE KEY=VALUE... prints a settings file with replaced values.
settings() {
  local file=$1 arg expr=()
  shift
  for arg in "$@"; do expr+=(-e "s|^\( *${arg%%=*} *= *\)[^#]*|\1${arg#*=} |"); done
  sed "${expr[@]}" "$file"
}

# field NAME prints a string field of a JSON object on standard input.
field() { sed -n "s/.*\"$1\": *\"\([^\"]*\)\".*/\1/p" | head -n 1; }
