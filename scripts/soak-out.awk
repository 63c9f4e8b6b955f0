# Reads the journal and the events of the targets of one data centre, dc. Prints each
# call that began more than 4 s after the data centre had been taken out. The clock of
# the events began between the start of the process, in the journal, and its first log
# line, at serving (ms): a call counts if it lies in the time for both.
function value(key,    s) {
  if (!match($0, "\"" key "\":(\"[^\"]*\"|[0-9]+)")) return ""
  s = substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
  gsub(/"/, "", s)
  return s
}
FILENAME ~ /journal/ {
  split($0, f, "\t")
  if (f[2] == "targets_started" && f[3] == dc) zero = f[1]
  # 0 and 8 say that the change is in force.
  if (f[2] == "dc_out_done" && f[3] == dc && (f[4] == 0 || f[4] == 8)) { n++; from[n] = f[1] + 4000; to[n] = 1e18 }
  if (f[2] == "dc_in_begin" && f[3] == dc && n > 0 && to[n] == 1e18) to[n] = f[1]
  next
}
value("kind") == "started" {
  at = zero + value("at") / 1e6
  for (i = 1; i <= n; i++)
    if (at > from[i] && at + serving - zero < to[i])
      printf "on data centre out: %s got %s/%s/%s %d ms after %s was taken out\n", value("target"), value("run"), value("stage"), value("attempt"), at - from[i] + 4000, dc
}
