# Reads the journal and the events of entry hosts, one file for each process. Prints each
# request that was accepted under a lower version than one that the same process had used
# for more than a second ("went back"; requests close together may be recorded out of
# order). Also prints each request of which a stage was sent although it was accepted
# more than 4 s after any host began to use a newer version ("stale").
function value(key,    s) {
  if (!match($0, "\"" key "\":(\"[^\"]*\"|[0-9]+)")) return ""
  s = substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
  gsub(/"/, "", s)
  return s
}
FILENAME ~ /journal/ {
  split($0, field, "\t")
  if (field[2] == "up") process_start[field[3] "." field[4]] = field[1]
  next
}
FNR == 1 {
  highest = established = 0
  name = FILENAME
  sub(/.*\/entry-/, "", name)
  sub(/\.jsonl$/, "", name)
  clock_start = process_start[name]
}
/"kind":"accepted"/ {
  version = value("version") + 0
  at = clock_start + value("at") / 1e6
  if (highest > established && at - highest_since > 1000) established = highest
  if (version < established) printf "went back: %s accepted %s under %d after %d\n", name, value("run"), version, established
  if (version > highest) {
    highest = version
    highest_since = at
  }
  run = value("run")
  accepted_version[run] = version
  accepted_at[run] = at
  if (!(version in first_use) || at < first_use[version]) first_use[version] = at
  if (version > newest) newest = version
}
/"kind":"sending"/ { sent[value("run")] = 1 }
END {
  # in_use_since[v] is when the first host began to use version v or a newer one.
  for (v = newest; v > 0; v--) {
    if (v in first_use) if (earliest == "" || first_use[v] < earliest) earliest = first_use[v]
    in_use_since[v] = earliest
  }
  for (run in sent) {
    if (accepted_version[run] >= newest) continue
    delay = accepted_at[run] - in_use_since[accepted_version[run] + 1]
    if (delay > 4000) printf "stale: %s was accepted under %d and sent %d ms after a newer version was in use\n", run, accepted_version[run], delay
  }
}
