# Reads callers' events and prints how many request ids went to more than one host.
function value(key,    s) {
  if (!match($0, "\"" key "\":(\"[^\"]*\"|[0-9]+)")) return ""
  s = substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3)
  gsub(/"/, "", s)
  return s
}
value("kind") == "sent" {
  id = value("run")
  host = value("host")
  if (id in first && first[id] != host && !(id in twice)) { twice[id] = 1; n++ }
  if (!(id in first)) first[id] = host
}
END { print n + 0 }
