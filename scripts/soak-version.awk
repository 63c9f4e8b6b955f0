# Reads the journal and the events of entry hosts, one file for each process. Prints
# each request that was accepted under a version lower than one that the same process
# had in force at least a second before ("went back"; requests close together may be
# recorded out of order), and each request of which a stage was sent although it was
# accepted more than 4 s after a newer version was in use at any host ("stale").
function value(key,    s) {
  if (!match($0, "\"" key "\":(\"[^\"]*\"|[0-9]+)")) return ""
  s = substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
  gsub(/"/, "", s)
  return s
}
FILENAME ~ /journal/ {
  split($0, f, "\t")
  if (f[2] == "up") begun[f[3] "." f[4]] = f[1]
  next
}
FNR == 1 {
  top = settled = 0
  name = FILENAME
  sub(/.*\/entry-/, "", name)
  sub(/\.jsonl$/, "", name)
  zero = begun[name]
}
/"kind":"accepted"/ {
  version = value("version") + 0
  at = zero + value("at") / 1e6
  if (top > settled && at - since > 1000) settled = top
  if (version < settled) printf "went back: %s accepted %s under %d after %d\n", name, value("run"), version, settled
  if (version > top) {
    top = version
    since = at
  }
  run = value("run")
  under[run] = version
  accepted[run] = at
  if (!(version in first) || at < first[version]) first[version] = at
  if (version > newest) newest = version
}
/"kind":"sending"/ { sent[value("run")] = 1 }
END {
  # The time from which a version or any later one was in use.
  for (v = newest; v > 0; v--) {
    if (v in first) if (soonest == "" || first[v] < soonest) soonest = first[v]
    use[v] = soonest
  }
  for (run in sent) {
    if (under[run] >= newest) continue
    late = accepted[run] - use[under[run] + 1]
    if (late > 4000) printf "stale: %s was accepted under %d and sent %d ms after a newer version was in use\n", run, under[run], late
  }
}
