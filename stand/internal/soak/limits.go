package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

const (
	// maxProcesses bounds the processes of a run.
	maxProcesses = 200
	// memoryPerHost is what a host takes at most under the load of a run. All hosts together
	// take half of the memory.
	memoryPerHost = 64 << 20
)

// maxHosts returns the number of hosts that the machine bears.
func maxHosts() int {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return maxProcesses // not Linux
	}
	defer func() { _ = f.Close() }()
	return hostsWithin(f)
}

// hostsWithin returns the number of hosts for the memory that a file in the format of
// /proc/meminfo tells.
func hostsWithin(meminfo io.Reader) int {
	for scan := bufio.NewScanner(meminfo); scan.Scan(); {
		var kilobytes int
		if n, _ := fmt.Sscanf(scan.Text(), "MemTotal: %d kB", &kilobytes); n == 1 {
			return max(1, min(maxProcesses, kilobytes*1024/2/memoryPerHost))
		}
	}
	return maxProcesses
}
