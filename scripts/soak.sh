# Functions of the soak run: the state of each entry host, the steps of the schedule
# and the checks that need the journal. Sourced by scripts/soak after lib.sh.

declare -A STATE PID RUN SINCE # By entry host; STATE is up, stopped, down or leaving.
KILLED=()                      # Processes that were killed, as NAME.RUN.
JOBS=()                        # Process groups of operators' commands.
PENDING=()                     # Hosts to start once their shutdown has ended.
LOADS=()
RACES=0

say() { printf '\n== %s\n' "$*"; }

# now: milliseconds since the epoch.
now() { echo $((${EPOCHREALTIME/./} / 1000)); }

# seconds_of TEXT: the seconds of a duration such as 90s, 5m or 1m30s.
seconds_of() {
  [[ $1 =~ ^(([0-9]+)m)?(([0-9]+)s)?$ ]] || { echo "DURATION is $1: want a form such as 90s or 5m" >&2; return 2; }
  echo $((10#${BASH_REMATCH[2]:-0} * 60 + 10#${BASH_REMATCH[4]:-0}))
}

# note WORDS...: a line of the journal with the time since the epoch in milliseconds.
note() { (IFS=$'\t'; printf '%s\t%s\n' "$(now)" "$*") >>"$OUT/journal.tsv"; }

# problem TEXT: something that must not happen.
problem() {
  note problem "$*"
  echo "$*" >>"$OUT/problems"
}

ctl() { bin/chivectl "$@" --operator "$OPERATOR_ADDRESSES"; }

# job COMMAND...: runs operators' commands in the background, in a process group of
# their own, so that all of it can be ended.
job() {
  set -m
  "$@" &
  JOBS+=($!)
  set +m
}

# end_all ends every process. Jobs come first: they use the others.
end_all() {
  local pid
  for pid in "${JOBS[@]}"; do kill -KILL -- "-$pid" 2>/dev/null || true; done
  stop_all
}

wait_jobs() {
  local pid
  for pid in "${JOBS[@]}"; do wait "$pid" 2>/dev/null || true; done
  JOBS=()
}

# up NAME: starts an entry host. Each process has event and log files of its own.
up() {
  local name=$1 run
  run=$((${RUN[$name]:-0} + 1))
  RUN[$name]=$run
  sed "s|^events = .*|events = $OUT/events/entry-$name.$run.jsonl|" "$OUT/entry-$name.ini" >"$OUT/run/$name.$run.ini"
  start "$name.$run" "${ENTRY:-bin/chive-entry}" serve "$OUT/run/$name.$run.ini"
  PID[$name]=${PIDS[-1]}
  STATE[$name]=up
  note up "$name" "$run"
}

# start_load NAME RATE OPTION...: a load with an event file of its own.
start_load() {
  local name=$1 rate=$2
  shift 2
  start "load-$name" bin/chive-call load --entry "$ENTRY_ADDRESSES" --bundle "$OUT/bundle.json" \
    --events "$OUT/events/$name.jsonl" --seed "$SEED" --label "$name$SEED" --duration "$DURATION" --rate "$rate" \
    --link-delay "$CLIENT_DELAY" --result "$OUT/load-$name.json" "$@"
  LOADS+=("${PIDS[-1]}")
}

wait_loads() {
  local pid
  for pid in "${LOADS[@]}"; do
    while kill -0 "$pid" 2>/dev/null; do tick; done
    wait "$pid" || problem "a load ended with $?: answers that were wrong or not whole, or the load failed"
  done
  note load end
}

# terminate NAME: begins a graceful shutdown.
terminate() {
  kill -TERM "${PID[$1]}"
  STATE[$1]=leaving
  SINCE[$1]=$(now)
  note term "$1" "${RUN[$1]}"
}

# gone NAME: takes note of a process that has ended. Fails while it runs.
gone() {
  local name=$1 code=0
  kill -0 "${PID[$name]}" 2>/dev/null && return 1
  wait "${PID[$name]}" 2>/dev/null || code=$?
  note gone "$name" "${RUN[$name]}" "$code"
  if [ "$code" -ne 0 ]; then problem "$name.${RUN[$name]} ended with $code while ${STATE[$name]}"; fi
  STATE[$name]=down
}

# tick waits a moment and notices processes that have ended. A host that ended by
# itself is started again, as a platform would.
tick() {
  local name rest=()
  sleep 0.05
  for name in "${!STATE[@]}"; do
    case ${STATE[$name]} in
    up)
      if gone "$name"; then
        problem "$name.${RUN[$name]} ended by itself"
        up "$name"
      fi
      ;;
    leaving) gone "$name" || true ;;
    esac
  done
  for name in "${PENDING[@]}"; do
    if [ "${STATE[$name]}" = down ]; then up "$name"; else rest+=("$name"); fi
  done
  PENDING=("${rest[@]}")
}

# wait_gone SECONDS: waits for all shutdowns.
wait_gone() {
  local end=$((SECONDS + $1)) name left=1
  while [ "$left" -gt 0 ]; do
    tick
    left=0
    for name in "${!STATE[@]}"; do
      [ "${STATE[$name]}" = leaving ] || continue
      left=$((left + 1))
      if [ "$SECONDS" -ge "$end" ]; then
        problem "$name.${RUN[$name]}: shutdown has not ended after $(($(now) - SINCE[$name])) ms"
        kill -KILL "${PID[$name]}"
        KILLED+=("$name.${RUN[$name]}")
        STATE[$name]=down
      fi
    done
  done
}

# send ADDRESS METHOD PATH [JSON]: one call to a stand-in.
send() {
  curl --silent --show-error --fail --max-time 3 --output /dev/null -X "$2" "http://$1$3" ${4:+--data "$4"} ||
    problem "stand-in $1 did not take $2 $3 ${4:-}"
}

# admin_of DC: the address for faults of the targets of a data centre.
admin_of() {
  local dcs admins i
  IFS=, read -r -a dcs <<<"$DATA_CENTRES"
  IFS=, read -r -a admins <<<"$TARGET_ADMIN_ADDRESSES"
  for i in "${!dcs[@]}"; do
    if [ "${dcs[$i]}" = "$1" ]; then echo "${admins[$i]}"; fi
  done
}

# carry_out ACTION ARGUMENT...: one step of the schedule. A signal goes only to a
# process that is still in the state that the schedule expects.
carry_out() {
  local action=$1 name=${2:-}
  note "$@"
  case $action in
  kill)
    if [ "${STATE[$name]}" != up ]; then note skipped "$@"; return; fi
    kill -KILL "${PID[$name]}"
    wait "${PID[$name]}" 2>/dev/null || true
    KILLED+=("$name.${RUN[$name]}")
    STATE[$name]=down
    ;;
  start)
    case ${STATE[$name]} in
    down) up "$name" ;;
    leaving) PENDING+=("$name") ;;
    esac
    ;;
  stop)
    if [ "${STATE[$name]}" != up ]; then note skipped "$@"; return; fi
    kill -STOP "${PID[$name]}"
    STATE[$name]=stopped
    ;;
  cont)
    if [ "${STATE[$name]}" != stopped ]; then return; fi
    kill -CONT "${PID[$name]}"
    STATE[$name]=up
    ;;
  term)
    if [ "${STATE[$name]}" != up ]; then note skipped "$@"; return; fi
    terminate "$name"
    ;;
  log) send "$LOG_ADDRESS" POST /v1/faults "$2" ;;
  hosts) send "$HOSTS_ADDRESS" POST /v1/faults "$2" ;;
  host_add) send "$HOSTS_ADDRESS" POST /v1/hosts "$2" ;;
  host_remove) send "$HOSTS_ADDRESS" DELETE "/v1/hosts/$2" ;;
  host_state) send "$HOSTS_ADDRESS" POST "/v1/hosts/$2/state" "$3" ;;
  targets) send "$(admin_of "$2")" POST /v1/faults "$3" ;;
  dc_out) job take_out "$2" ;;
  dc_in) job bring_in "$2" ;;
  race)
    RACES=$((RACES + 1))
    job race "$RACES"
    ;;
  *) problem "unknown step $action" ;;
  esac
}

# take_out DC: an operator takes a data centre out. It may lose against another
# operator or find no host that answers; then nothing has changed.
take_out() {
  local code=0
  ctl dc out "$1" --author soak-out >>"$OUT/log/operators.out" 2>&1 || code=$?
  note dc_out_done "$1" "$code"
  case $code in
  0 | 4 | 5 | 6 | 7 | 8) ;;
  *) problem "chivectl dc out $1 ended with $code" ;;
  esac
}

# bring_in DC: an operator brings a data centre back and repeats this until it is in force.
bring_in() {
  local code=0 end=$((SECONDS + 60))
  note dc_in_begin "$1"
  while :; do
    code=0
    ctl dc in "$1" --author soak-in >>"$OUT/log/operators.out" 2>&1 || code=$?
    note dc_in_done "$1" "$code"
    case $code in
    0 | 8) return ;;
    4 | 5 | 6 | 7) ;;
    *) problem "chivectl dc in $1 ended with $code" ;;
    esac
    if [ "$SECONDS" -ge "$end" ]; then
      problem "chivectl dc in $1 found no success within 60 s, last exit code $code"
      return
    fi
    sleep 0.5
  done
}

# race N: two operators publish different changes from the same base version. At most
# one may win; one that loses must be told so by the exit code for a conflict, or by
# another that says that nothing is in force, or that the outcome is unknown.
race() {
  local n=$1 base a=0 b=0 i pa pb
  base=$(ctl config confirmed 2>/dev/null | sed -n 's/^version //p') || true
  if [ -z "$base" ]; then
    note race_done "$n" "no version could be read"
    return
  fi
  for i in a b; do
    rm -rf "$OUT/race-$i"
    cp -r "$OUT/services" "$OUT/race-$i"
    # Only the objective differs, so that answers stay the same.
    sed -i "s|^objective = .*|objective = 0.9$([ "$i" = a ] && echo 1 || echo 2)$n|" "$OUT/race-$i"/*/service.ini
  done
  ctl publish "$OUT/race-a" --base "$base" --author "soak-race-$n-a" >"$OUT/log/race-$n-a.out" 2>&1 &
  pa=$!
  ctl publish "$OUT/race-b" --base "$base" --author "soak-race-$n-b" >"$OUT/log/race-$n-b.out" 2>&1 &
  pb=$!
  wait "$pa" || a=$?
  wait "$pb" || b=$?
  note race_done "$n" "base $base" "$a" "$b"
  for i in "$a" "$b"; do
    case $i in
    0 | 4 | 5 | 6 | 7 | 8) ;;
    *) problem "race $n from version $base: a publish ended with $i" ;;
    esac
  done
  if [[ $a == [08] && $b == [08] ]]; then problem "race $n: both changes from version $base were accepted"; fi
}

# end_faults ends whatever the schedule may have left.
end_faults() {
  local name dc
  PENDING=()
  send "$LOG_ADDRESS" POST /v1/faults '{"down":false,"cut":[],"delay":"0s","answer_delay":"0s","lose_answers":0}'
  send "$HOSTS_ADDRESS" POST /v1/faults '{"down":false,"cut":[],"delay":"0s","uneven":false}'
  for dc in ${DATA_CENTRES//,/ }; do
    send "$(admin_of "$dc")" POST /v1/faults \
      '{"leaving":false,"down":false,"cut":[],"slow":0,"fail":0,"refuse":0,"crossed":0,"truncated":0,"lose_answers":0,"late":"0s"}'
  done
  for name in "${!STATE[@]}"; do carry_out cont "$name"; done
  for name in "${!STATE[@]}"; do
    if [ "${STATE[$name]}" != up ]; then carry_out start "$name"; fi
  done
  for dc in ${DATA_CENTRES//,/ }; do job bring_in "$dc"; done
}

# serving_at DC: when the targets of a data centre logged that they serve, in
# milliseconds since the epoch.
serving_at() {
  sed -n '/"serving"/s/.*"ts":\([0-9.]*\).*/\1/p' "$OUT/log/targets-$1.err" | head -n 1 | awk '{printf "%.0f", $1 * 1000}'
}

# sent_twice counts the request ids that went to more than one host.
sent_twice() {
  awk -f scripts/soak-ids.awk "$OUT/events/caller.jsonl" "$OUT/events/impatient.jsonl"
}

# extra_checks prints sums that chive-call check can't know, and adds to the problems.
extra_checks() {
  local broken cut out back
  broken=$(grep -h 'invariant broken\|^panic:\|^fatal error:' "$OUT"/log/*.err | wc -l) || true
  if [ "$broken" -gt 0 ]; then
    grep -H 'invariant broken\|^panic:\|^fatal error:' "$OUT"/log/*.err | head -n 20 >>"$OUT/problems"
  fi
  awk -f scripts/soak-cut.awk "$OUT/journal.tsv" "$OUT/addresses" "$OUT/events/caller.jsonl" >"$OUT/cut.out"
  cut=$(grep -c '^cut off' "$OUT/cut.out") || true
  grep '^cut off' "$OUT/cut.out" | head -n 20 >>"$OUT/problems" || true
  : >"$OUT/out.out"
  for dc in ${DATA_CENTRES//,/ }; do
    awk -v dc="$dc" -v serving="$(serving_at "$dc")" -f scripts/soak-out.awk "$OUT/journal.tsv" "$OUT/events/targets-$dc.jsonl" >>"$OUT/out.out"
  done
  out=$(grep -c '^on data centre out' "$OUT/out.out") || true
  grep '^on data centre out' "$OUT/out.out" | head -n 20 >>"$OUT/problems" || true
  awk -f scripts/soak-version.awk "$OUT/journal.tsv" "$OUT"/events/entry-*.jsonl >"$OUT/version.out"
  back=$(grep -c . "$OUT/version.out") || true
  head -n 20 "$OUT/version.out" >>"$OUT/problems"
  echo "on data centre out           $out"
  echo "configuration back or stale  $back"
  echo "cut off by a shutdown        $cut"
  echo "invariant broken             $broken"
  echo "broken at a healthy host     $(grep -c '^healthy' "$OUT/cut.out" || true) (not forbidden)"
  echo "ids sent to several hosts    $(sent_twice)"
  echo "processes killed             ${#KILLED[@]}"
  echo "graceful shutdowns           $(awk -F '\t' '$2 == "term" && $4 != ""' "$OUT/journal.tsv" | wc -l)"
  echo "races of operators           $RACES: $(awk -F '\t' '$2 == "race_done" {print $5 "/" $6}' "$OUT/journal.tsv" | sort | uniq -c | awk '{printf "%s x %s, ", $1, $2}')"
}
