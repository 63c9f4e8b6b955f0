package soak

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

const (
	// crowdPause bounds the rate at which a client connects again.
	crowdPause = 10 * time.Millisecond
	// crowdWriteTime bounds the time of a client that sends.
	crowdWriteTime = 3 * time.Second
	// unreadBuffer is the receive buffer of clients that never read.
	unreadBuffer = 4 << 10
)

// returningClient is one client of a crowd that connects again as soon as its connection ends.
// On each connection it sends head, and then block at each interval.
type returningClient struct {
	name       string
	count      int
	addresses  int // source addresses that the crowd uses
	head       string
	block      string
	interval   time.Duration
	neverReads bool
}

// run connects to an address until done is closed. n is the number of the client in its crowd.
func (c returningClient) run(address string, n int, done <-chan struct{}) {
	for {
		c.connect(address, n, done)
		select {
		case <-done:
			return
		case <-time.After(crowdPause):
		}
	}
}

// connect uses one connection until it ends or done is closed.
func (c returningClient) connect(address string, n int, done <-chan struct{}) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+n%max(c.addresses, 1)))}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return // the host refuses connections, which is allowed
	}
	defer func() { _ = conn.Close() }()
	ended := make(chan struct{})
	if c.neverReads {
		_ = conn.(*net.TCPConn).SetReadBuffer(unreadBuffer)
	} else {
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn) // ends with the connection
		}()
	}
	for text := c.head; ; text = c.block {
		_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTime))
		if _, err := io.WriteString(conn, text); err != nil && !os.IsTimeout(err) {
			return
		}
		select {
		case <-ended:
			return
		case <-done:
			return
		case <-time.After(c.interval):
		}
	}
}

// tcpSocket is a row of the kernel's table of TCP sockets.
type tcpSocket struct {
	local, remote  netip.AddrPort
	inode          string // unacceptedInode before the connection is accepted
	isListening    bool
	unread, unsent int64
}

const (
	unacceptedInode = "0"
	listeningState  = "0A"
)

// readSockets returns the TCP sockets of the machine.
func readSockets() []tcpSocket {
	table, _ := os.ReadFile("/proc/net/tcp") // empty on other systems than Linux
	var out []tcpSocket
	for line := range bytes.Lines(table) {
		fields := strings.Fields(string(line))
		if len(fields) < 10 {
			continue
		}
		local, localErr := decodeAddress(fields[1])
		remote, remoteErr := decodeAddress(fields[2])
		if localErr != nil || remoteErr != nil {
			continue // the head of the table
		}
		unsent, unread, _ := strings.Cut(fields[4], ":")
		s := tcpSocket{local: local, remote: remote, inode: fields[9], isListening: fields[3] == listeningState}
		s.unsent, _ = strconv.ParseInt(unsent, 16, 64) // the kernel writes numbers
		s.unread, _ = strconv.ParseInt(unread, 16, 64)
		out = append(out, s)
	}
	return out
}

// decodeAddress parses an address such as 0100007F:1F90, whose bytes are in the order of the host.
func decodeAddress(text string) (netip.AddrPort, error) {
	host, port, _ := strings.Cut(text, ":")
	n, err := strconv.ParseUint(port, 16, 16)
	if err != nil {
		return netip.AddrPort{}, err
	}
	ip, err := hex.DecodeString(host)
	if err != nil || len(ip) != 4 {
		return netip.AddrPort{}, fmt.Errorf("address %q", text)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{ip[3], ip[2], ip[1], ip[0]}), uint16(n)), nil
}

// heldBytes returns the resident memory of a process, the bytes that its sockets have received and
// that it has not read, and those in their send queues.
func heldBytes(pid int, table []tcpSocket) (resident, unread, unsent int64) {
	statm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)) // empty if the process has exited
	if fields := strings.Fields(string(statm)); len(fields) > 1 {
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		resident = pages * int64(os.Getpagesize())
	}
	inodes := map[string]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	fds, _ := os.ReadDir(dir)
	for _, fd := range fds {
		link, _ := os.Readlink(filepath.Join(dir, fd.Name())) // empty if it was closed since
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	listeners := map[netip.AddrPort]bool{}
	for _, s := range table {
		if s.isListening && inodes[s.inode] {
			listeners[s.local] = true
		}
	}
	for _, s := range table {
		if !s.isListening && (inodes[s.inode] || s.inode == unacceptedInode && listeners[s.local]) {
			unread, unsent = unread+s.unread, unsent+s.unsent
		}
	}
	return resident, unread, unsent
}

// openFds returns the number of open descriptors of a process.
func openFds(pid int) int {
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // empty if the process has exited
	return len(fds)
}

// limitFds sets the limit on descriptors of a process.
func limitFds(pid int, limit uint64) error {
	l := syscall.Rlimit{Cur: limit, Max: limit}
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&l)), 0, 0, 0); errno != 0 {
		return errno
	}
	return nil
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
