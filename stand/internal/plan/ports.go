// Package plan lays out a deployment on the loopback interface of one machine.
package plan

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/samber/oops"
)

// Ports hands out addresses on which nothing listens.
type Ports interface {
	Next() (string, error)
}

// The range lies below the ports that systems use for outgoing connections: one of
// those could be taken between the choice and the listener's start.
const (
	firstPort = 10000
	lastPort  = 32000
)

// freePorts hands out ports from a start upwards, leaving out those in use.
type freePorts struct{ next int }

// NewPorts returns free ports from base on, or from a random start if base is 0.
func NewPorts(base int) Ports {
	if base == 0 {
		base = firstPort + rand.IntN(lastPort-firstPort-2000)
	}
	return &freePorts{next: base}
}

// Next returns an "ip:port" that could be listened on just now.
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
