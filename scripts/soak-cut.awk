# Reads the journal, the addresses of entry hosts and a caller's events. Prints each
# attempt whose connection broke at an entry host during its graceful shutdown ("cut
# off") or at a host without a fault ("healthy").
function value(key,    s) {
  if (!match($0, "\"" key "\":(\"[^\"]*\"|[0-9]+)")) return ""
  s = substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
  gsub(/"/, "", s)
  return s
}
# A window is an interval in which a host was down or stopped by a fault, or shutting down.
function open_window(kind, host, at) { windows++; kinds[windows] = kind; hosts[windows] = host; from[windows] = at; to[windows] = 1e18 }
function close_window(kind, host, at,    i) {
  for (i = windows; i > 0; i--) if (kinds[i] == kind && hosts[i] == host && to[i] == 1e18) { to[i] = at; return }
}
FILENAME ~ /journal/ {
  split($0, field, "\t")
  if (field[2] == "load" && field[3] == "begin") load_start = field[1]
  if (field[2] == "kill" || field[2] == "stop") open_window("fault", field[3], field[1])
  if (field[2] == "cont" || field[2] == "up") close_window("fault", field[3], field[1])
  # The line of a scheduled step has no run number; the line of the signal itself has one.
  if (field[2] == "term" && field[4] != "") open_window("term", field[3], field[1])
  if (field[2] == "gone") close_window("term", field[3], field[1])
  next
}
FILENAME ~ /addresses/ { name[$1] = $2; next }
value("kind") == "sent" { sent[value("request") " " value("attempt")] = value("at"); next }
value("outcome") == "broken" {
  key = value("request") " " value("attempt")
  host = name[value("host")]
  sent_at = load_start + sent[key] / 1e6
  broken_at = load_start + value("at") / 1e6
  kind = ""
  # The margins cover the load's clock, which starts a little after the journal's load_start.
  for (i = 1; i <= windows; i++) {
    if (hosts[i] != host) continue
    if (kinds[i] == "fault" && sent_at <= to[i] + 1000 && broken_at >= from[i] - 1000) { kind = "fault"; break }
    if (kinds[i] == "term" && sent_at <= to[i] + 500 && broken_at >= from[i]) kind = "term"
  }
  if (kind == "term") printf "cut off: %s attempt at %s, sent %d ms and broken %d ms after the load began\n", key, host, sent_at - load_start, broken_at - load_start
  if (kind == "") printf "healthy: %s attempt at %s, sent %d ms and broken %d ms after the load began\n", key, host, sent_at - load_start, broken_at - load_start
}
