# Functions of the soak run: the states of the entry hosts, the steps of the schedule and
# the checks that read the journal. Sourced by scripts/soak after lib.sh.

declare -A STATE PID RUN LEAVING_SINCE # By entry host; STATE is up, stopped, down or leaving.
KILLED=()                              # Processes that were killed, as NAME.RUN.
JOB_GROUPS=()                          # Process groups of operators' commands.
PENDING_STARTS=()                      # Hosts to start once their shutdown has ended.
LOAD_PIDS=()
RACE_COUNT=0

heading() { printf '\n== %s\n' "$*"; }

# now: prints the milliseconds since the epoch.
now() { echo $((${EPOCHREALTIME/./} / 1000)); }

# seconds_of TEXT: prints the seconds of a duration such as 90s, 5m or 1m30s.
seconds_of() {
  [[ $1 =~ ^(([0-9]+)m)?(([0-9]+)s)?$ ]] || { echo "DURATION is $1: use a form such as 90s or 5m" >&2; return 2; }
  echo $((10#${BASH_REMATCH[2]:-0} * 60 + 10#${BASH_REMATCH[4]:-0}))
}

# record_event WORDS...: appends a line to the journal, with the milliseconds since the epoch.
record_event() { (IFS=$'\t'; printf '%s\t%s\n' "$(now)" "$*") >>"$OUT/journal.tsv"; }

# report_problem TEXT: records a violation or an unexpected failure.
report_problem() {
  record_event problem "$*"
  echo "$*" >>"$OUT/problems"
}

ctl() { bin/chivectl "$@" --operator "$OPERATOR_ADDRESSES"; }

# run_job COMMAND...: runs operators' commands in the background, in a process group of
# their own, so that all their processes can be killed.
run_job() {
  set -m
  "$@" &
  JOB_GROUPS+=($!)
  set +m
}

# stop_everything: kills every process. Jobs come first, since they use the others.
stop_everything() {
  local pid
  for pid in "${JOB_GROUPS[@]}"; do kill -KILL -- "-$pid" 2>/dev/null || true; done
  stop_all
}

wait_jobs() {
  local pid
  for pid in "${JOB_GROUPS[@]}"; do wait "$pid" 2>/dev/null || true; done
  JOB_GROUPS=()
}

# start_host NAME: starts an entry host. Each process has its own event and log files.
start_host() {
  local name=$1 run
  run=$((${RUN[$name]:-0} + 1))
  RUN[$name]=$run
  sed "s|^events = .*|events = $OUT/events/entry-$name.$run.jsonl|" "$OUT/entry-$name.ini" >"$OUT/run/$name.$run.ini"
  start "$name.$run" "${ENTRY:-bin/chive-entry}" serve "$OUT/run/$name.$run.ini"
  PID[$name]=${PIDS[-1]}
  STATE[$name]=up
  record_event up "$name" "$run"
}

# start_load NAME RATE OPTION...: starts a load with its own event file.
start_load() {
  local name=$1 rate=$2
  shift 2
  start "load-$name" bin/chive-call load --entry "$ENTRY_ADDRESSES" --bundle "$OUT/bundle.json" \
    --events "$OUT/events/$name.jsonl" --seed "$SEED" --label "$name$SEED" --duration "$DURATION" --rate "$rate" \
    --link-delay "$CLIENT_DELAY" --result "$OUT/load-$name.json" "$@"
  LOAD_PIDS+=("${PIDS[-1]}")
}

wait_loads() {
  local pid
  for pid in "${LOAD_PIDS[@]}"; do
    while kill -0 "$pid" 2>/dev/null; do poll_hosts; done
    wait "$pid" || report_problem "a load exited with code $?: wrong or incomplete answers, or the load failed"
  done
  record_event load end
}

# terminate NAME: begins a graceful shutdown.
terminate() {
  kill -TERM "${PID[$1]}"
  STATE[$1]=leaving
  LEAVING_SINCE[$1]=$(now)
  record_event term "$1" "${RUN[$1]}"
}

# reap_host NAME: records the exit of a host's process. Fails while the process runs.
reap_host() {
  local name=$1 code=0
  kill -0 "${PID[$name]}" 2>/dev/null && return 1
  wait "${PID[$name]}" 2>/dev/null || code=$?
  record_event gone "$name" "${RUN[$name]}" "$code"
  if [ "$code" -ne 0 ]; then report_problem "$name.${RUN[$name]} exited with code $code while ${STATE[$name]}"; fi
  STATE[$name]=down
}

# poll_hosts: waits 50 ms and records the processes that have exited. Restarts a host that
# exited by itself, as a platform would, and starts the pending hosts.
poll_hosts() {
  local name rest=()
  sleep 0.05
  for name in "${!STATE[@]}"; do
    case ${STATE[$name]} in
    up)
      if reap_host "$name"; then
        report_problem "$name.${RUN[$name]} exited by itself"
        start_host "$name"
      fi
      ;;
    leaving) reap_host "$name" || true ;;
    esac
  done
  for name in "${PENDING_STARTS[@]}"; do
    if [ "${STATE[$name]}" = down ]; then start_host "$name"; else rest+=("$name"); fi
  done
  PENDING_STARTS=("${rest[@]}")
}

# wait_gone SECONDS: waits for all shutdowns and kills the hosts that take longer.
wait_gone() {
  local end=$((SECONDS + $1)) name left=1
  while [ "$left" -gt 0 ]; do
    poll_hosts
    left=0
    for name in "${!STATE[@]}"; do
      [ "${STATE[$name]}" = leaving ] || continue
      left=$((left + 1))
      if [ "$SECONDS" -ge "$end" ]; then
        report_problem "$name.${RUN[$name]}: shutdown has not ended after $(($(now) - LEAVING_SINCE[$name])) ms"
        kill -KILL "${PID[$name]}"
        KILLED+=("$name.${RUN[$name]}")
        STATE[$name]=down
      fi
    done
  done
}

# send ADDRESS METHOD PATH [JSON]: calls a stand-in.
send() {
  curl --silent --show-error --fail --max-time 3 --output /dev/null -X "$2" "http://$1$3" ${4:+--data "$4"} ||
    report_problem "stand-in $1 did not accept $2 $3 ${4:-}"
}

# admin_of DC: prints the admin address of the targets of a data centre, which takes faults.
admin_of() {
  local dcs admins i
  IFS=, read -r -a dcs <<<"$DATA_CENTRES"
  IFS=, read -r -a admins <<<"$TARGET_ADMIN_ADDRESSES"
  for i in "${!dcs[@]}"; do
    if [ "${dcs[$i]}" = "$1" ]; then echo "${admins[$i]}"; fi
  done
}

# execute_step ACTION ARGUMENT...: executes a step of the schedule. It sends a signal only
# to a process that is in the state that the schedule expects.
execute_step() {
  local action=$1 name=${2:-}
  record_event "$@"
  case $action in
  kill)
    if [ "${STATE[$name]}" != up ]; then record_event skipped "$@"; return; fi
    kill -KILL "${PID[$name]}"
    wait "${PID[$name]}" 2>/dev/null || true
    KILLED+=("$name.${RUN[$name]}")
    STATE[$name]=down
    ;;
  start)
    case ${STATE[$name]} in
    down) start_host "$name" ;;
    leaving) PENDING_STARTS+=("$name") ;;
    esac
    ;;
  stop)
    if [ "${STATE[$name]}" != up ]; then record_event skipped "$@"; return; fi
    kill -STOP "${PID[$name]}"
    STATE[$name]=stopped
    ;;
  cont)
    if [ "${STATE[$name]}" != stopped ]; then return; fi
    kill -CONT "${PID[$name]}"
    STATE[$name]=up
    ;;
  term)
    if [ "${STATE[$name]}" != up ]; then record_event skipped "$@"; return; fi
    terminate "$name"
    ;;
  log) send "$LOG_ADDRESS" POST /v1/faults "$2" ;;
  hosts) send "$HOSTS_ADDRESS" POST /v1/faults "$2" ;;
  host_add) send "$HOSTS_ADDRESS" POST /v1/hosts "$2" ;;
  host_remove) send "$HOSTS_ADDRESS" DELETE "/v1/hosts/$2" ;;
  host_state) send "$HOSTS_ADDRESS" POST "/v1/hosts/$2/state" "$3" ;;
  targets) send "$(admin_of "$2")" POST /v1/faults "$3" ;;
  dc_out) run_job take_out "$2" ;;
  dc_in) run_job bring_back "$2" ;;
  race)
    RACE_COUNT=$((RACE_COUNT + 1))
    run_job race "$RACE_COUNT"
    ;;
  *) report_problem "unknown step $action" ;;
  esac
}

# take_out DC: takes a data centre out as an operator. The change may conflict with another
# operator's or find no host that answers; then nothing has changed.
take_out() {
  local code=0
  ctl dc out "$1" --author soak-out >>"$OUT/log/operators.out" 2>&1 || code=$?
  record_event dc_out_done "$1" "$code"
  case $code in
  0 | 4 | 5 | 6 | 7 | 8) ;;
  *) report_problem "chivectl dc out $1 exited with code $code" ;;
  esac
}

# bring_back DC: brings a data centre back as an operator and retries until that is in force.
bring_back() {
  local code=0 end=$((SECONDS + 60))
  record_event dc_in_begin "$1"
  while :; do
    code=0
    ctl dc in "$1" --author soak-in >>"$OUT/log/operators.out" 2>&1 || code=$?
    record_event dc_in_done "$1" "$code"
    case $code in
    0 | 8) return ;;
    4 | 5 | 6 | 7) ;;
    *) report_problem "chivectl dc in $1 exited with code $code" ;;
    esac
    if [ "$SECONDS" -ge "$end" ]; then
      report_problem "chivectl dc in $1 did not succeed within 60 s, last exit code $code"
      return
    fi
    sleep 0.5
  done
}

# race N: two operators publish different changes from the same base version. At most one
# may succeed. The other must get the exit code for a conflict, or another code that says
# that its change is not in force or that the outcome is unknown.
race() {
  local n=$1 base code_a=0 code_b=0 i pid_a pid_b
  base=$(ctl config confirmed 2>/dev/null | sed -n 's/^version //p') || true
  if [ -z "$base" ]; then
    record_event race_done "$n" "no version could be read"
    return
  fi
  for i in a b; do
    rm -rf "$OUT/race-$i"
    cp -r "$OUT/services" "$OUT/race-$i"
    # Only the objective differs, so that answers are the same.
    sed -i "s|^objective = .*|objective = 0.9$([ "$i" = a ] && echo 1 || echo 2)$n|" "$OUT/race-$i"/*/service.ini
  done
  ctl publish "$OUT/race-a" --base "$base" --author "soak-race-$n-a" >"$OUT/log/race-$n-a.out" 2>&1 &
  pid_a=$!
  ctl publish "$OUT/race-b" --base "$base" --author "soak-race-$n-b" >"$OUT/log/race-$n-b.out" 2>&1 &
  pid_b=$!
  wait "$pid_a" || code_a=$?
  wait "$pid_b" || code_b=$?
  record_event race_done "$n" "base $base" "$code_a" "$code_b"
  for i in "$code_a" "$code_b"; do
    case $i in
    0 | 4 | 5 | 6 | 7 | 8) ;;
    *) report_problem "race $n from version $base: a publish exited with code $i" ;;
    esac
  done
  if [[ $code_a == [08] && $code_b == [08] ]]; then report_problem "race $n: both changes from version $base were accepted"; fi
}

# end_faults: ends the faults that are still in force after the schedule.
end_faults() {
  local name dc
  PENDING_STARTS=()
  send "$LOG_ADDRESS" POST /v1/faults '{"down":false,"cut":[],"delay":"0s","answer_delay":"0s","lose_answers":0}'
  send "$HOSTS_ADDRESS" POST /v1/faults '{"down":false,"cut":[],"delay":"0s","uneven":false}'
  for dc in ${DATA_CENTRES//,/ }; do
    send "$(admin_of "$dc")" POST /v1/faults \
      '{"leaving":false,"down":false,"cut":[],"slow":0,"fail":0,"refuse":0,"crossed":0,"truncated":0,"lose_answers":0,"late":"0s"}'
  done
  for name in "${!STATE[@]}"; do execute_step cont "$name"; done
  for name in "${!STATE[@]}"; do
    if [ "${STATE[$name]}" != up ]; then execute_step start "$name"; fi
  done
  for dc in ${DATA_CENTRES//,/ }; do run_job bring_back "$dc"; done
}

# serving_at DC: prints when the targets of a data centre logged that they serve, in
# milliseconds since the epoch.
serving_at() {
  sed -n '/"serving"/s/.*"ts":\([0-9.]*\).*/\1/p' "$OUT/log/targets-$1.err" | head -n 1 | awk '{printf "%.0f", $1 * 1000}'
}

# sent_twice: prints the number of request IDs that were sent to more than one host.
sent_twice() {
  awk -f scripts/soak-ids.awk "$OUT/events/caller.jsonl" "$OUT/events/impatient.jsonl"
}

# extra_checks: prints the sums that need more than the events that chive-call check reads,
# and reports their violations as problems.
extra_checks() {
  local violations cut_off on_out_dc version_errors
  violations=$(grep -h 'invariant broken\|^panic:\|^fatal error:' "$OUT"/log/*.err | wc -l) || true
  if [ "$violations" -gt 0 ]; then
    grep -H 'invariant broken\|^panic:\|^fatal error:' "$OUT"/log/*.err | head -n 20 >>"$OUT/problems"
  fi
  awk -f scripts/soak-cut.awk "$OUT/journal.tsv" "$OUT/addresses" "$OUT/events/caller.jsonl" >"$OUT/cut.out"
  cut_off=$(grep -c '^cut off' "$OUT/cut.out") || true
  grep '^cut off' "$OUT/cut.out" | head -n 20 >>"$OUT/problems" || true
  : >"$OUT/out.out"
  for dc in ${DATA_CENTRES//,/ }; do
    awk -v dc="$dc" -v serving="$(serving_at "$dc")" -f scripts/soak-out.awk "$OUT/journal.tsv" "$OUT/events/targets-$dc.jsonl" >>"$OUT/out.out"
  done
  on_out_dc=$(grep -c '^on data centre out' "$OUT/out.out") || true
  grep '^on data centre out' "$OUT/out.out" | head -n 20 >>"$OUT/problems" || true
  awk -f scripts/soak-version.awk "$OUT/journal.tsv" "$OUT"/events/entry-*.jsonl >"$OUT/version.out"
  version_errors=$(grep -c . "$OUT/version.out") || true
  head -n 20 "$OUT/version.out" >>"$OUT/problems"
  echo "on data centre out           $on_out_dc"
  echo "configuration back or stale  $version_errors"
  echo "cut off by a shutdown        $cut_off"
  echo "invariant broken             $violations"
  echo "broken at a healthy host     $(grep -c '^healthy' "$OUT/cut.out" || true) (not forbidden)"
  echo "ids sent to several hosts    $(sent_twice)"
  echo "processes killed             ${#KILLED[@]}"
  echo "graceful shutdowns           $(awk -F '\t' '$2 == "term" && $4 != ""' "$OUT/journal.tsv" | wc -l)"
  echo "races of operators           $RACE_COUNT: $(awk -F '\t' '$2 == "race_done" {print $5 "/" $6}' "$OUT/journal.tsv" | sort | uniq -c | awk '{printf "%s x %s, ", $1, $2}')"
}
