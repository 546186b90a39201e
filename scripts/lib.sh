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

# secure FILE ROLE NAME makes a certificate in $dir/tls and lets the settings in
# FILE use it instead of plain = true.
secure() {
  local file=$1 role=$2 name=$3
  "$bin/daisylane" key cert --ca "$dir/tls" --role "$role" "$name" >"$dir/$name.tls"
  sed -i '/^plain *=/d' "$file"
  grep -q '^\[tls\]' "$file" || echo '[tls]' >>"$file"
  sed -n '/^\(cert\|key\|ca\) = /p' "$dir/$name.tls" >>"$file"
}

# field NAME prints a string field of a JSON object on standard input.
field() { sed -n "s/.*\"$1\": *\"\([^\"]*\)\".*/\1/p" | head -n 1; }
