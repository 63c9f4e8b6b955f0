package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"chivepost/entry/internal/config"
	"chivepost/entry/internal/member"
	"chivepost/entry/internal/queue"
	"chivepost/entry/internal/slots"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/burn"
	"chivepost/share/units"
)

// maxAddresses bounds the addresses in one answer; a caller needs a few to try.
const maxAddresses = 4

// Addresses names the entry hosts that a caller of the account should use: in a
// random order, so that a large account does not land on one host, those of this
// region first.
func (n *Node) Addresses(string) apiv1.Address {
	position, ok := n.claims.Position()
	if !ok {
		position = 0 // No claim can be made under an id with this position.
	}
	return apiv1.Address{
		Addresses: n.usable(""),
		Hold:      units.Duration(n.deps.Settings.Timing.Hold),
		Position:  position,
	}
}

// OtherAddresses names the entry hosts to use instead of this one.
func (n *Node) OtherAddresses() []string { return n.usable(n.self.Name) }

// IsDataCentreOut reports whether this host's data centre has been taken out.
func (n *Node) IsDataCentreOut() bool {
	b := n.current()
	return b != nil && b.IsOut(n.self.DataCentre)
}

func (n *Node) usable(except string) []string {
	near, far := []string{}, []string{}
	b := n.current()
	for _, h := range n.members.Entries() {
		switch {
		case h.Name == except, b != nil && b.IsOut(h.DataCentre):
		case h.Region == n.self.Region:
			near = append(near, h.Address)
		default:
			far = append(far, h.Address)
		}
	}
	shuffle(near)
	shuffle(far)
	near = append(near, far...)
	return near[:min(len(near), maxAddresses)]
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Hosts names the entry hosts that must confirm a configuration.
func (n *Node) Hosts() []string {
	var names []string
	for _, h := range n.members.Entries() {
		names = append(names, h.Name)
	}
	return names
}

// BurnSnapshot returns this host's part of the burn report.
func (n *Node) BurnSnapshot() burn.Snapshot { return n.burn.Snapshot() }

// Status describes this host for operators.
func (n *Node) Status() apiv1.Status {
	_, version := n.config.Current()
	out := apiv1.Status{
		Host: n.self.Name, DataCentre: n.self.DataCentre, State: string(n.drain.State()), Ready: true,
		Reasons: []string{}, Version: version, Controllers: map[string]apiv1.ControllerStatus{},
	}
	for _, c := range n.controllers {
		s := c.Status()
		out.Controllers[c.Name()] = apiv1.ControllerStatus{Ready: s.Ready, Reason: s.Reason, Detail: s.Detail}
		if !s.Ready {
			out.Ready = false
			out.Reasons = append(out.Reasons, c.Name()+": "+s.Reason)
		}
	}
	for _, t := range n.slots.Targets() {
		out.Targets = append(out.Targets, targetStatus(t))
	}
	confirmed := map[string]config.Confirmation{}
	for _, c := range n.config.Confirmations() {
		confirmed[c.Host] = c
	}
	for _, h := range n.members.Peers() {
		c := confirmed[h.Name]
		out.Hosts = append(out.Hosts, apiv1.HostStatus{
			Name: h.Name, DataCentre: h.DataCentre, Region: h.Region, State: string(h.State),
			Version: c.Version, Age: units.Duration(c.Age),
		})
	}
	return out
}

func targetStatus(t slots.TargetStatus) apiv1.TargetStatus {
	return apiv1.TargetStatus{
		Name: t.Name, Pool: t.Pool, DataCentre: t.DataCentre, State: string(t.State),
		Limit: t.Limit, Granted: t.Granted, InUse: t.InUse, Home: t.Home,
	}
}

// holdSlots gives the queue the slots controller's holds as its own interface.
type holdSlots struct{ *slots.Controller }

// Take takes a slot of the target.
func (h holdSlots) Take(name string) (queue.Hold, bool) {
	hold, ok := h.Controller.Take(name)
	if !ok {
		return nil, false
	}
	return hold, true
}

// Publisher is the configuration controller as operators use it.
type Publisher struct {
	*config.Controller
	members *member.Controller
	within  time.Duration
}

// Publish refuses a change while this host does not hear a majority of the hosts:
// one accepted here could then not be in force everywhere in time. It also
// applies the rules of service files to doc.
func (p Publisher) Publish(ctx context.Context, base int64, author, id string, doc bundle.Doc) config.PublishResult {
	if err := bundle.Verify(doc); err != nil {
		return config.PublishResult{Kind: config.Rejected, Err: err}
	}
	if !p.members.HasMajority(p.within) {
		return config.PublishResult{Kind: config.LogDown, Err: errNoMajority}
	}
	return p.Controller.Publish(ctx, base, author, id, doc)
}

var errNoMajority = errors.New("this host does not hear a majority of the hosts; publish at another one")

// Author returns who published the configuration in force, or "".
func (p Publisher) Author() string {
	offer, _ := p.HandlePull(0)
	return offer.Author
}

// Publisher returns the configuration controller as operators use it.
func (n *Node) Publisher() Publisher {
	return Publisher{Controller: n.config, members: n.members, within: n.deps.Settings.Timing.MaxConfigAge}
}
