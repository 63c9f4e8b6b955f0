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
	kindBeat     = "beat"
	kindPull     = "config_pull"
	kindAsk      = "slots_ask"
	kindRevoke   = "slots_revoke"
	kindHandover = "handover"
)

var errNothingNewer = errors.New("no newer configuration here")

// beater sends heartbeats over the bus.
type beater struct{ bus Bus }

func (b beater) SendHeartbeat(ctx context.Context, to hosts.Host, own member.Heartbeat) (member.Heartbeat, error) {
	var got member.Heartbeat
	err := b.bus.Call(ctx, to, kindBeat, own, &got)
	return got, err
}

// puller fetches configurations over the bus.
type puller struct {
	bus     Bus
	members *member.Controller
}

func (p puller) Pull(ctx context.Context, host string, have int64) (config.Offer, error) {
	to, err := peerCalled(p.members, host)
	if err != nil {
		return config.Offer{}, err
	}
	var offer config.Offer
	err = p.bus.Call(ctx, to, kindPull, pull{Have: have}, &offer)
	return offer, err
}

type pull struct {
	Have int64 `cbor:"have"`
}

// granter carries asks for slots, revocations and handovers over the bus.
type granter struct {
	bus     Bus
	members *member.Controller
}

func (g granter) Request(ctx context.Context, to hosts.Host, ask slots.Request) (slots.Grant, error) {
	var give slots.Grant
	err := g.bus.Call(ctx, to, kindAsk, ask, &give)
	return give, err
}

func (g granter) Revoke(ctx context.Context, host string, r slots.Revoke) error {
	to, err := peerCalled(g.members, host)
	if err != nil {
		return err
	}
	return g.bus.Call(ctx, to, kindRevoke, r, &empty{})
}

func (g granter) Handover(ctx context.Context, to hosts.Host, h slots.Handover) error {
	return g.bus.Call(ctx, to, kindHandover, h, &empty{})
}

type empty struct{}

func peerCalled(members *member.Controller, name string) (hosts.Host, error) {
	for _, h := range members.Peers() {
		if h.Name == name {
			return h, nil
		}
	}
	return hosts.Host{}, oops.Errorf("no entry host called %s in the view", name)
}

// handlePeers answers the messages of peers.
func (n *Node) handlePeers() {
	handle(n.deps.Bus, kindBeat, func(_ string, _ uint64, b member.Heartbeat) (any, error) {
		return n.members.HandleHeartbeat(b), nil
	})
	handle(n.deps.Bus, kindPull, func(_ string, _ uint64, p pull) (any, error) {
		offer, ok := n.config.HandlePull(p.Have)
		if !ok {
			return nil, errNothingNewer
		}
		return offer, nil
	})
	handle(n.deps.Bus, kindAsk, func(from string, incarnation uint64, a slots.Request) (any, error) {
		return n.slots.HandleRequest(from, incarnation, a), nil
	})
	handle(n.deps.Bus, kindRevoke, func(_ string, _ uint64, r slots.Revoke) (any, error) {
		n.slots.HandleRevoke(r)
		return empty{}, nil
	})
	handle(n.deps.Bus, kindHandover, func(from string, _ uint64, h slots.Handover) (any, error) {
		n.slots.HandleHandover(from, h)
		return empty{}, nil
	})
}

// handle registers h for messages of a kind whose body is a B.
func handle[B any](bus Bus, kind string, h func(from string, incarnation uint64, body B) (any, error)) {
	bus.Handle(kind, func(_ context.Context, from string, incarnation uint64, data []byte) (any, error) {
		var body B
		if err := peers.Decode(data, &body); err != nil {
			return nil, oops.Wrapf(err, "decode %s", kind)
		}
		return h(from, incarnation, body)
	})
}

// beat is this node's own heartbeat; the member controller fills in the rest.
func (n *Node) beat() member.Heartbeat {
	var b member.Heartbeat
	if n.config == nil {
		b.LogAge = -1
		return b // The member controller starts before the configuration controller exists.
	}
	_, b.ConfigVersion = n.config.Current()
	if age := n.config.LogAge(); age != config.NeverRead {
		b.LogAge = age
	} else {
		b.LogAge = -1
	}
	// Without the log, only a majority of hosts shows that the configuration still holds.
	n.members.RequireMajority(n.config.LogAge() > logAgeMax)
	b.State = member.StateServing
	if n.drain.State() == drain.Starting {
		b.State = member.StateStarting
	}
	return b
}

// observe tells the configuration controller what a peer's heartbeat says.
func (n *Node) observe(b member.Heartbeat) {
	age := b.LogAge
	if age < 0 {
		age = config.NeverRead
	}
	n.config.ObservePeer(b.Host, b.ConfigVersion, age)
}
