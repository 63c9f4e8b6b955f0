package bench

import (
	"bufio"
	"flag"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
)

var capacityFile = flag.String("capacity", "", "output of go test -bench to extrapolate to the design's size")

// The sizes and budgets of the design, and the rates that follow from the default settings.
const (
	nodes, engines, centres, pools = 370.0, 1300.0, 11.0, 6.0
	requests, stages               = 9100.0, 4.5
	configChanges, restarts        = 710.0, 255.0 // a day
	day                            = 86400.0
	budgetCPU, budgetBytes         = 2.7, 2.0 // % of a core, KB/s
	budgetMemory                   = 256.0    // MB
	appendsAllowed                 = 300.0    // a second; the platform states "a few hundred"

	heartbeatsPerSecond = 4 / 0.5 // four peers per round with more than nine hosts, at the default interval
	pollsPerSecond      = 2.0     // of the host list, and of each engine's load
	logReads            = 2.0     // of the log per second, at the ends of two streams
	configCopies        = 72.0    // of the configuration per day, one for each third of the retention of one hour
	headerBytes         = 80.0    // TCP and IP headers of a request and its answer, in bytes
	claimHistory        = 100000  // claims in 200,000 records, the maximum that the index covers
)

// measured holds the values of the benchmarks by name and unit, one for each run.
type measured map[string][]float64

func readMeasured(t *testing.T, path string) measured {
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	m := measured{}
	for in := bufio.NewScanner(f); in.Scan(); {
		fields := strings.Fields(in.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := strings.TrimPrefix(fields[0], "Benchmark")
		if i := strings.LastIndex(name, "-"); i > 0 {
			name = name[:i]
		}
		for i := 2; i+1 < len(fields); i += 2 {
			if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
				m[name+" "+fields[i+1]] = append(m[name+" "+fields[i+1]], v)
			}
		}
	}
	return m
}

// lowest returns the lowest value of several runs: that of the run which other work on the
// machine disturbed least.
func (m measured) lowest(t *testing.T, key string) float64 {
	lowest := math.Inf(1)
	for _, v := range m[key] {
		lowest = min(lowest, v)
	}
	if len(m[key]) == 0 {
		t.Fatalf("no benchmark gives %q", key)
	}
	return lowest
}

// mean returns the mean of several runs, for figures that other work on the machine doesn't
// raise.
func (m measured) mean(t *testing.T, key string) float64 {
	sum := 0.0
	for _, v := range m[key] {
		sum += v
	}
	if len(m[key]) == 0 {
		t.Fatalf("no benchmark gives %q", key)
	}
	return sum / float64(len(m[key]))
}

// TestCapacity prints the figures of docs/CAPACITY.md from the output of the benchmarks.
// It fails if a benchmark is missing, but not if a budget is exceeded: the page lists those.
func TestCapacity(t *testing.T) {
	if *capacityFile == "" {
		return // Only "make capacity" sets the file.
	}
	m := readMeasured(t, *capacityFile)
	ns := func(name string) float64 { return m.lowest(t, name+" ns/op") }
	mean := func(key string) float64 { return m.mean(t, key) }
	row := func(what string, value, budget float64, unit string) {
		share := ""
		if budget > 0 {
			share = fmt.Sprintf("%8.0f%%", 100*value/budget)
		}
		fmt.Printf("%-62s %10.3g %-6s %s\n", what, value, unit, share)
	}
	bytes := func(what string, perSecond float64) float64 {
		row(what, perSecond/1000, budgetBytes, "KB/s")
		return perSecond
	}
	cpu := func(what string, nsPerSecond float64) float64 {
		row(what, nsPerSecond/1e7, budgetCPU, "% core")
		return nsPerSecond
	}
	calls := requests * stages / nodes // stage calls a second of one node
	groups := centres * pools
	askRate := mean("AskRate/calls=18 asks/s") * pools
	http := mean("LoadReport wire_bytes") + headerBytes // any small HTTP exchange
	claim := mean("ReadClaims/claims=10000 page_bytes/claim")
	perPercent := requests / 100 // claims a second for each 1% of requests that may not be repeated

	fmt.Printf("Figures of one node at %g nodes and %g engines, and their share of the budget.\n\nBytes, each counted once:\n", nodes, engines)
	sum := bytes("heartbeats, 4 peers every 0.5 s", heartbeatsPerSecond*(mean("Call/beat wire_bytes")+headerBytes))
	sum += bytes("host list, whole, every 0.5 s", pollsPerSecond*(mean("ReadList/hosts=370 encoded_bytes")+http))
	sum += bytes("asks for slots, 6 groups", askRate*(mean("Call/ask=16 wire_bytes")+headerBytes))
	sum += bytes("load reports, mean over nodes", engines*pollsPerSecond*http/nodes)
	bytes("load reports at the home of one group", engines/groups*pollsPerSecond*http)
	sum += bytes("log reads at the end of two streams", logReads*http)
	sum += bytes("configuration, changes and copies", (configChanges+configCopies)*mean("ReadChange/targets=1300 page_bytes")/day)
	bytes("configuration, the same deflated (not built)", (configChanges+configCopies)*mean("Decode/targets=1300 deflated_bytes")*4/3/day)
	sum += bytes("claims read again after restarts, mean", restarts/nodes*claimHistory*claim/day)
	bytes("all of these without claims", sum)
	bytes("claims, for each 1% of requests that may not be repeated", perPercent*claim)
	bytes("at 9 nodes: heartbeats, 8 peers every 0.5 s", 8/0.5*(mean("Call/beat wire_bytes")+headerBytes))
	bytes("at 9 nodes and 31 engines: host list", pollsPerSecond*(mean("ReadList/hosts=9 encoded_bytes")+http))

	fmt.Println("\nProcessor time, both ends of each call:")
	sum = cpu("heartbeats", heartbeatsPerSecond*(cpuTime(t, m, "Call/beat")+2*ns("HandleBeat/hosts=370")+2*ns("Observe/hosts=370"))+2*ns("Round/hosts=370"))
	sum += cpu("host list, decoding", pollsPerSecond*ns("ReadList/hosts=370"))
	sum += cpu("asks, sending and answering", askRate*(cpuTime(t, m, "Call/ask=16")+ns("Ask/holders=34")))
	sum += cpu("looks of the asking loop, at most 3 a call", 3*calls*ns("Due/engines=1300"))
	sum += cpu("ticks of the home", 10*(ns("Tick/engines=1300")+groups*ns("Home/hosts=370")))
	sum += cpu("load reports, mean over nodes", engines*pollsPerSecond/nodes*ns("LoadReport"))
	cpu("load reports at the home of one group", engines/groups*pollsPerSecond*ns("LoadReport"))
	sum += cpu("log reads at the end of two streams", logReads*ns("LoadReport"))
	sum += cpu("configuration, changes and copies", (configChanges+configCopies)/day*(ns("ReadChange/targets=1300")+ns("Layout/engines=1300")))
	cpu("all of these without claims", sum)
	cpu("claims, for each 1%", perPercent*m.lowest(t, "ReadClaims/claims=10000 ns/claim"))
	cpu("claims, for each 1%, one log read for each record", perPercent*2*ns("LoadReport"))
	cpu("not control: views and choices, 2 views a call", calls*(2*ns("View/engines=1300")+ns("Acquire/targets=130")*216/130))
	cpu("not control: tokens to callers, 2 million/s in all", 2e6/nodes*m.lowest(t, "Token cpu-ns/token"))
	cpu("not control: look-ups of addresses, for each 1,200 callers", 1200/3/nodes*(ns("Usable/hosts=370")+ns("LoadReport")))
	row("a call that joins a queue of 1,200 accounts", ns("Lines/accounts=1200")/1e6, 0, "ms")
	row("the hosts' versions in one status answer", nodes*ns("Confirmations/hosts=370")/1e6, 0, "ms")

	fmt.Println("\nMemory:")
	mb := func(what string, bytes float64) float64 {
		row(what, bytes/1e6, budgetMemory, "MB")
		return bytes
	}
	sum = mb("connections to 369 peers, both directions", (nodes-1)*mean("Links/peers=369 memory_bytes/link"))
	sum += mb("configuration in force, decoded and encoded", mean("Decode/targets=1300 heap_bytes")+mean("Decode/targets=1300 encoded_bytes"))
	sum += mb("claims index at its bound of 64 MiB (estimated by itself)",
		64*1<<20*mean("IndexHeap/claims=100000 heap_bytes/claim")/mean("IndexHeap/claims=100000 estimated_bytes/claim"))
	sum += mb("burn counters, 4,096 series of 1.3 kB", 4096*1300)
	mb("all of these", sum)
	mb("all of these, before each collection (GOGC=100)", 2*sum)

	fmt.Println("\nLog service and spread:")
	row("appends for each 1% of requests that may not be repeated", 2*perPercent, appendsAllowed, "/s")
	row("share of requests at which appends reach 300/s", appendsAllowed/2/requests*100, 0, "%")
	row("share of requests at which claims alone take 2 KB/s", budgetBytes*1000/claim/requests*100, 0, "%")
	row("reads at the ends of two streams, all nodes", nodes*logReads, 0, "/s")
	row("bytes out of the log for one change", nodes*mean("ReadChange/targets=1300 page_bytes")/1e6, 0, "MB")
	row("rounds of heartbeats until a version is known everywhere", mean("Spread/hosts=370 rounds_until_known"), 0, "rounds")
	for _, n := range []string{"9", "45", "60", "75", "90", "185", "370"} {
		row("share of peers heard in 3 s, "+n+" nodes (majority needs 50%)", 100*mean("Spread/hosts="+n+" heard_in_6"), 0, "%")
	}
	row("share of peers heard in 4 s, 370 nodes (bound of a publish)", 100*mean("Spread/hosts=370 heard_in_8"), 0, "%")
	row("share of peers heard in 10 s, 370 nodes (start-up bound)", 100*mean("Spread/hosts=370 heard_in_20"), 0, "%")
}

// cpuTime returns the processor time of a call over loopback, which includes both ends.
func cpuTime(t *testing.T, m measured, name string) float64 { return m.lowest(t, name+" cpu-ns/op") }
