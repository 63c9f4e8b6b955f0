package roster

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"chivepost/platform/feed"
)

type emptyList struct{}

func (emptyList) Newest(context.Context) ([]feed.HostChange, int64, error) { return nil, 0, nil }

func newController(t *testing.T, h Host) *Controller {
	t.Helper()
	c, err := New(Options{Self: h}, emptyList{}, func(context.Context, []byte) error { return nil }, func() int64 { return 0 }, func() int { return 0 }, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// A host of an earlier version reads each datagram as a message. It must ignore other
// kinds, and still understand the heartbeats.
func TestEarlierHostsIgnoreOtherKindsOfDatagrams(t *testing.T) {
	payload, err := cbor.Marshal(newState(host(0, "r")).messageTo("r", start))
	if err != nil {
		t.Fatal(err)
	}
	var msg message
	if err := cbor.Unmarshal(append([]byte{DatagramBlame}, payload...), &msg); err == nil {
		t.Errorf("a datagram of kind %#x is read as message %+v, want an error", DatagramBlame, msg)
	}
	if payload[0] == DatagramBlame {
		t.Errorf("a heartbeat starts with %#x, want another byte", payload[0])
	}
}

func TestDatagramsOfAKindReachTheirHandler(t *testing.T) {
	a := host(1, "r")
	a.GossipAddress = "127.0.0.1:0"
	receiver := newController(t, a)
	address := receiver.socket.LocalAddr().String()
	got := make(chan string, 4)
	receiver.Handle(DatagramBlame, func(data []byte, _ string) { got <- string(data) })
	b := host(2, "r")
	b.GossipAddress = "127.0.0.1:0"
	sender := newController(t, b)
	sender.SendTo(DatagramBlame, []byte("x"), address)
	select {
	case data := <-got:
		if data != "x" {
			t.Errorf("got %q, want x", data)
		}
	case <-time.After(2 * time.Second):
		t.Error("the handler got no datagram")
	}
	// Empty and unknown datagrams are ignored.
	socket, err := net.Dial("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	for _, data := range [][]byte{{}, {0xfe}, {DatagramBlame}} {
		_, _ = socket.Write(data)
	}
	select {
	case data := <-got:
		if data != "" {
			t.Errorf("got %q, want an empty datagram", data)
		}
	case <-time.After(2 * time.Second):
		t.Error("the handler got no empty datagram")
	}
}

// Guards against a datagram that ends the whole process.
func TestDatagramHandlerThatPanicsEndsOneDatagram(t *testing.T) {
	a := host(1, "r")
	a.GossipAddress = "127.0.0.1:0"
	receiver := newController(t, a)
	got := make(chan string, 4)
	receiver.Handle(DatagramBlame, func(data []byte, _ string) {
		if string(data) == "odd" {
			panic("odd datagram")
		}
		got <- string(data)
	})
	b := host(2, "r")
	b.GossipAddress = "127.0.0.1:0"
	sender := newController(t, b)
	for _, data := range []string{"odd", "x"} {
		sender.SendTo(DatagramBlame, []byte(data), receiver.socket.LocalAddr().String())
	}
	select {
	case data := <-got:
		if data != "x" {
			t.Errorf("got %q, want x", data)
		}
	case <-time.After(2 * time.Second):
		t.Error("the handler got no datagram after the odd one")
	}
}
