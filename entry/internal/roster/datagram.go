package roster

import "time"

// DatagramBlame is the kind of datagram that carries evidence about prompts. A kind is the
// first byte of a datagram and never that of a CBOR array, so that hosts that don't know
// it count the datagram as bad and ignore it.
const DatagramBlame byte = 0xff

// DatagramLoads is the kind of datagram that carries the requests in flight of hosts.
const DatagramLoads byte = 0xfe

// Handle registers the function that receives the datagrams of a kind. It is called by
// one goroutine and must not keep data.
func (c *Controller) Handle(kind byte, handle func(data []byte, from string)) {
	c.handlers[kind].Store(&handle)
}

// SendToSome sends a datagram to up to n random hosts that send heartbeats, and returns
// to how many. In a large region all but one of them are of this region.
func (c *Controller) SendToSome(kind byte, data []byte, n int) int {
	c.mu.Lock()
	to := c.state.recipients(n, time.Now())
	c.mu.Unlock()
	c.SendTo(kind, data, to...)
	return len(to)
}

// SendWithinRegion sends a datagram to up to n random hosts of this host's region that send
// heartbeats, and returns to how many.
func (c *Controller) SendWithinRegion(kind byte, data []byte, n int) int {
	c.mu.Lock()
	sameRegion, _, _ := c.state.reachable(time.Now())
	c.mu.Unlock()
	to := addresses(sameRegion[:min(n, len(sameRegion))])
	c.SendTo(kind, data, to...)
	return len(to)
}

// SendTo sends a datagram to gossip addresses.
func (c *Controller) SendTo(kind byte, data []byte, to ...string) {
	c.sendData(append([]byte{kind}, data...), to)
}
