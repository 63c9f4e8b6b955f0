// Package plan assigns loopback addresses to a deployment on one machine and writes its files.
package plan

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/samber/oops"
)

// Ports returns addresses for listeners.
type Ports interface {
	Next() (string, error)
}

// The range is below the ports that systems use for outgoing connections: such a port could
// be taken between its choice and the start of the listener.
const (
	firstPort = 10000
	lastPort  = 32000
)

// freePorts returns ports in ascending order and skips those in use.
type freePorts struct{ next int }

// NewPorts returns Ports that begins with port base, or with a random one if base is 0.
func NewPorts(base int) Ports {
	if base == 0 {
		base = firstPort + rand.IntN(lastPort-firstPort-2000)
	}
	return &freePorts{next: base}
}

// Next returns an "ip:port" that nothing listens on at the moment.
func (f *freePorts) Next() (string, error) {
	for ; f.next < lastPort; f.next++ {
		address := fmt.Sprintf("127.0.0.1:%d", f.next)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		f.next++
		return address, nil
	}
	return "", oops.Errorf("no free port below %d", lastPort)
}
