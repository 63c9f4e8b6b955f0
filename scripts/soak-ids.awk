# Reads callers' events and prints how many request IDs were sent to more than one host.
function value(key,    s) {
  if (!match($0, "\"" key "\":(\"[^\"]*\"|[0-9]+)")) return ""
  s = substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
  gsub(/"/, "", s)
  return s
}
value("kind") == "sent" {
  id = value("run")
  host = value("host")
  if (id in first_host && first_host[id] != host && !(id in counted)) { counted[id] = 1; count++ }
  if (!(id in first_host)) first_host[id] = host
}
END { print count + 0 }
