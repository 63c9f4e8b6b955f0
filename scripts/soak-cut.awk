# Reads the journal, the addresses of entry hosts and a caller's events. Prints each
# attempt that broke at an entry host during its graceful shutdown ("cut off") and each
# that broke at a host without a fault ("healthy").
function value(key,    s) {
  if (!match($0, "\"" key "\":(\"[^\"]*\"|[0-9]+)")) return ""
  s = substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
  gsub(/"/, "", s)
  return s
}
# A window is a time in which a host was killed or stopped, or in a shutdown.
function open(kind, host, at) { w++; kinds[w] = kind; hosts[w] = host; from[w] = at; to[w] = 1e18 }
function shut(kind, host, at,    i) {
  for (i = w; i > 0; i--) if (kinds[i] == kind && hosts[i] == host && to[i] == 1e18) { to[i] = at; return }
}
FILENAME ~ /journal/ {
  split($0, f, "\t")
  if (f[2] == "load" && f[3] == "begin") zero = f[1]
  if (f[2] == "kill" || f[2] == "stop") open("fault", f[3], f[1])
  if (f[2] == "cont" || f[2] == "up") shut("fault", f[3], f[1])
  # A step of the schedule has no number of a run; the signal itself has.
  if (f[2] == "term" && f[4] != "") open("term", f[3], f[1])
  if (f[2] == "gone") shut("term", f[3], f[1])
  next
}
FILENAME ~ /addresses/ { name[$1] = $2; next }
value("kind") == "sent" { sent[value("request") " " value("attempt")] = value("at"); next }
value("outcome") == "broken" {
  key = value("request") " " value("attempt")
  host = name[value("host")]
  a = zero + sent[key] / 1e6
  b = zero + value("at") / 1e6
  kind = ""
  # The load's clock starts a little after the journal's, hence the margin.
  for (i = 1; i <= w; i++) {
    if (hosts[i] != host) continue
    if (kinds[i] == "fault" && a <= to[i] + 1000 && b >= from[i] - 1000) { kind = "fault"; break }
    if (kinds[i] == "term" && a <= to[i] + 500 && b >= from[i]) kind = "term"
  }
  if (kind == "term") printf "cut off: %s attempt at %s, sent %d ms and broken %d ms after the load began\n", key, host, a - zero, b - zero
  if (kind == "") printf "healthy: %s attempt at %s, sent %d ms and broken %d ms after the load began\n", key, host, a - zero, b - zero
}
