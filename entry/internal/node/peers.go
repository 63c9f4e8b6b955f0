package node

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"chivepost/entry/internal/config"
	"chivepost/entry/internal/drain"
	"chivepost/entry/internal/member"
	"chivepost/entry/internal/peers"
	"chivepost/entry/internal/slots"
	"chivepost/share/hosts"
)

// Kinds of messages between entry hosts.
const (
	kindHeartbeat   = "beat"
	kindPull        = "config_pull"
	kindSlotRequest = "slots_ask"
	kindSlotRevoke  = "slots_revoke"
	kindHandover    = "handover"
)

var errNoNewerConfig = errors.New("no newer configuration here")

// heartbeatSender sends heartbeats over the bus.
type heartbeatSender struct{ bus Bus }

func (s heartbeatSender) SendHeartbeat(ctx context.Context, to hosts.Host, own member.Heartbeat) (member.Heartbeat, error) {
	var received member.Heartbeat
	err := s.bus.Call(ctx, to, kindHeartbeat, own, &received)
	return received, err
}

// configPuller fetches configurations from peers over the bus.
type configPuller struct {
	bus     Bus
	members *member.Controller
}

func (p configPuller) Pull(ctx context.Context, host string, have int64) (config.Offer, error) {
	to, err := findPeer(p.members, host)
	if err != nil {
		return config.Offer{}, err
	}
	var offer config.Offer
	err = p.bus.Call(ctx, to, kindPull, pullRequest{Have: have}, &offer)
	return offer, err
}

// pullRequest asks a peer for a configuration newer than version Have.
type pullRequest struct {
	Have int64 `cbor:"have"`
}

// slotPeers sends requests for slots, revocations and handovers over the bus.
type slotPeers struct {
	bus     Bus
	members *member.Controller
}

func (p slotPeers) Request(ctx context.Context, to hosts.Host, req slots.Request) (slots.Grant, error) {
	var grant slots.Grant
	err := p.bus.Call(ctx, to, kindSlotRequest, req, &grant)
	return grant, err
}

func (p slotPeers) Revoke(ctx context.Context, host string, r slots.Revoke) error {
	to, err := findPeer(p.members, host)
	if err != nil {
		return err
	}
	return p.bus.Call(ctx, to, kindSlotRevoke, r, &empty{})
}

func (p slotPeers) Handover(ctx context.Context, to hosts.Host, h slots.Handover) error {
	return p.bus.Call(ctx, to, kindHandover, h, &empty{})
}

// empty is the reply to messages that need none.
type empty struct{}

// findPeer returns the peer with the given name.
func findPeer(members *member.Controller, name string) (hosts.Host, error) {
	for _, h := range members.Peers() {
		if h.Name == name {
			return h, nil
		}
	}
	return hosts.Host{}, oops.Errorf("no entry host named %s in the view", name)
}

// registerHandlers registers the handlers for messages from peers.
func (n *Node) registerHandlers() {
	handle(n.deps.Bus, kindHeartbeat, func(_ string, _ uint64, hb member.Heartbeat) (any, error) {
		return n.members.HandleHeartbeat(hb), nil
	})
	handle(n.deps.Bus, kindPull, func(_ string, _ uint64, p pullRequest) (any, error) {
		offer, ok := n.config.HandlePull(p.Have)
		if !ok {
			return nil, errNoNewerConfig
		}
		return offer, nil
	})
	handle(n.deps.Bus, kindSlotRequest, func(from string, incarnation uint64, req slots.Request) (any, error) {
		return n.slots.HandleRequest(from, incarnation, req), nil
	})
	handle(n.deps.Bus, kindSlotRevoke, func(_ string, _ uint64, r slots.Revoke) (any, error) {
		n.slots.HandleRevoke(r)
		return empty{}, nil
	})
	handle(n.deps.Bus, kindHandover, func(from string, _ uint64, h slots.Handover) (any, error) {
		n.slots.HandleHandover(from, h)
		return empty{}, nil
	})
}

// handle registers h for messages of the given kind, whose bodies are decoded into B.
func handle[B any](bus Bus, kind string, h func(from string, incarnation uint64, body B) (any, error)) {
	bus.Handle(kind, func(_ context.Context, from string, incarnation uint64, data []byte) (any, error) {
		var body B
		if err := peers.Decode(data, &body); err != nil {
			return nil, oops.Wrapf(err, "decode %s", kind)
		}
		return h(from, incarnation, body)
	})
}

// heartbeat returns this node's heartbeat, in which the member controller fills in the
// other fields.
func (n *Node) heartbeat() member.Heartbeat {
	var hb member.Heartbeat
	if n.config == nil {
		hb.LogAge = -1
		return hb // The member controller starts before the configuration controller is created.
	}
	_, hb.ConfigVersion = n.config.Current()
	if age := n.config.LogAge(); age != config.NeverRead {
		hb.LogAge = age
	} else {
		hb.LogAge = -1
	}
	// Without the log, only a majority of hosts can confirm that the configuration is
	// still in force.
	n.members.RequireMajority(n.config.LogAge() > maxLogAge)
	hb.State = member.StateServing
	if n.drain.State() == drain.Starting {
		hb.State = member.StateStarting
	}
	return hb
}

// observeHeartbeat passes the configuration version and log age in a peer's heartbeat
// to the configuration controller.
func (n *Node) observeHeartbeat(hb member.Heartbeat) {
	age := hb.LogAge
	if age < 0 {
		age = config.NeverRead
	}
	n.config.ObservePeer(hb.Host, hb.ConfigVersion, age)
}
