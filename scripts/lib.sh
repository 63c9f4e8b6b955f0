# Functions that start a whole deployment of real processes on loopback addresses.
# Sourced by other scripts. OUT is the folder of the run; DEPLOYMENT is a folder
# below deploy/.

PIDS=()

# start NAME COMMAND...: runs a program in the background with its output in OUT/log.
start() {
  local name=$1
  shift
  "$@" >"$OUT/log/$name.out" 2>"$OUT/log/$name.err" &
  PIDS+=($!)
  echo $! >"$OUT/pid/$name"
}

# stop_all: kills every process that start has started. It first continues the
# processes that are stopped by a signal.
stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  PIDS=()
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# plan: picks free ports and writes all settings below OUT.
plan() {
  rm -rf "$OUT"
  mkdir -p "$OUT/log" "$OUT/pid" "$OUT/events"
  bin/chive-stand plan --deployment "deploy/$DEPLOYMENT" --out "$OUT"
  # shellcheck disable=SC1091
  . "$OUT/env"
  local name
  for name in $(entry_names); do
    printf '\n[output]\nevents = %s\n' "$OUT/events/entry-$name.jsonl" >>"$OUT/entry-$name.ini"
  done
}

# start_platform: starts the log service, the host list and the weight store.
start_platform() {
  start log bin/chive-stand log --listen "$LOG_ADDRESS" "$@"
  start hosts bin/chive-stand hosts --listen "$HOSTS_ADDRESS" --file "$OUT/hosts.json"
  start weights bin/chive-stand weights --listen "$WEIGHTS_ADDRESS"
}

# start_targets: starts a process for the targets of each data centre.
start_targets() {
  local dc
  for dc in ${DATA_CENTRES//,/ }; do
    start "targets-$dc" bin/chive-stand targets --file "$OUT/targets-$dc.json" \
      --events "$OUT/events/targets-$dc.jsonl" --seed "${SEED:-1}" "$@"
  done
}

# start_entry NAME: starts an entry host.
start_entry() {
  start "$1" bin/chive-entry serve "$OUT/entry-$1.ini"
}

# entry_names: prints the names of all entry hosts of the deployment.
entry_names() {
  local f
  for f in "$OUT"/entry-*.ini; do
    f=${f##*/entry-}
    echo "${f%.ini}"
  done
}
