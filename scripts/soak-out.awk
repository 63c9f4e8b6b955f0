# Reads the journal and the events of the targets of one data centre, dc. Prints each
# call that began more than 4 s after the data centre had been taken out. The clock of
# the events started between the start of the process, which the journal has, and its
# first log line, at serving (ms): a call is printed only if it is too late by both.
function value(key,    s) {
  if (!match($0, "\"" key "\":(\"[^\"]*\"|[0-9]+)")) return ""
  s = substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
  gsub(/"/, "", s)
  return s
}
FILENAME ~ /journal/ {
  split($0, field, "\t")
  if (field[2] == "targets_started" && field[3] == dc) process_start = field[1]
  # The exit codes 0 and 8 mean that the change is in force.
  if (field[2] == "dc_out_done" && field[3] == dc && (field[4] == 0 || field[4] == 8)) { periods++; from[periods] = field[1] + 4000; to[periods] = 1e18 }
  if (field[2] == "dc_in_begin" && field[3] == dc && periods > 0 && to[periods] == 1e18) to[periods] = field[1]
  next
}
value("kind") == "started" {
  at = process_start + value("at") / 1e6
  for (i = 1; i <= periods; i++)
    if (at > from[i] && at + serving - process_start < to[i])
      printf "on data centre out: %s got %s/%s/%s %d ms after %s was taken out\n", value("target"), value("run"), value("stage"), value("attempt"), at - from[i] + 4000, dc
}
