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

// maxAddresses limits the addresses in one answer. A caller needs a few, so that it
// can fail over.
const maxAddresses = 4

// Addresses returns the addresses of entry hosts for a caller, those of this region
// first. Their order is random, so that the callers of a large client account don't
// all use one host.
func (n *Node) Addresses(string) apiv1.Address {
	position, ok := n.claims.Position()
	if !ok {
		position = 0 // No claim can be made for an ID with this position.
	}
	return apiv1.Address{
		Addresses:    n.usableAddresses(""),
		ValidFor:     units.Duration(n.deps.Settings.Timing.Hold),
		ClaimsOffset: position,
	}
}

// OtherAddresses returns the addresses of the entry hosts to use instead of this one.
func (n *Node) OtherAddresses() []string { return n.usableAddresses(n.self.Name) }

// IsDataCentreOut reports whether this host's data centre has been taken out.
func (n *Node) IsDataCentreOut() bool {
	b := n.currentConfig()
	return b != nil && b.IsDataCentreOut(n.self.DataCentre)
}

// usableAddresses returns up to maxAddresses addresses. It leaves out the excluded host
// and the hosts of data centres that have been taken out.
func (n *Node) usableAddresses(excludedHost string) []string {
	local, remote := []string{}, []string{}
	b := n.currentConfig()
	for _, h := range n.members.Entries() {
		switch {
		case h.Name == excludedHost, b != nil && b.IsDataCentreOut(h.DataCentre):
		case h.Region == n.self.Region:
			local = append(local, h.Address)
		default:
			remote = append(remote, h.Address)
		}
	}
	shuffle(local)
	shuffle(remote)
	local = append(local, remote...)
	return local[:min(len(local), maxAddresses)]
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Hosts returns the names of the entry hosts that must confirm a configuration.
func (n *Node) Hosts() []string {
	var names []string
	for _, h := range n.members.Entries() {
		names = append(names, h.Name)
	}
	return names
}

// BurnSnapshot returns this host's part of the burn report.
func (n *Node) BurnSnapshot() burn.Snapshot { return n.burn.Snapshot() }

// Status returns the state of this host, its controllers, its targets and its peers.
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
		out.Targets = append(out.Targets, newTargetStatus(t))
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

func newTargetStatus(t slots.TargetStatus) apiv1.TargetStatus {
	return apiv1.TargetStatus{
		Name: t.Name, Pool: t.Pool, DataCentre: t.DataCentre, State: string(t.State),
		Limit: t.Limit, Granted: t.Granted, InUse: t.InUse, Home: t.Home,
	}
}

// queueSlots adapts the slots controller to queue.Slots.
type queueSlots struct{ *slots.Controller }

// Take takes a slot of the named target. It returns false if there is none to take.
func (s queueSlots) Take(name string) (queue.Hold, bool) {
	hold, ok := s.Controller.Take(name)
	if !ok {
		return nil, false
	}
	return hold, true
}

// Publisher checks the changes of operators before it passes them to the configuration
// controller.
type Publisher struct {
	*config.Controller
	members        *member.Controller
	majorityWindow time.Duration
}

// Publish publishes doc if it meets the rules of service files. It refuses the change
// while this host lacks recent heartbeats from a majority of the hosts, since the
// change might then not be in force everywhere in time.
func (p Publisher) Publish(ctx context.Context, base int64, author, id string, doc bundle.Doc) config.PublishResult {
	if err := bundle.Verify(doc); err != nil {
		return config.PublishResult{Kind: config.Rejected, Err: err}
	}
	if !p.members.HasMajority(p.majorityWindow) {
		return config.PublishResult{Kind: config.LogDown, Err: errNoMajority}
	}
	return p.Controller.Publish(ctx, base, author, id, doc)
}

var errNoMajority = errors.New("this host has no recent heartbeats from a majority of the hosts; publish at another one")

// Author returns the author of the configuration in force, or "" if there is none.
func (p Publisher) Author() string {
	offer, _ := p.HandlePull(0)
	return offer.Author
}

// Publisher returns the publisher that the handler for operators uses.
func (n *Node) Publisher() Publisher {
	return Publisher{Controller: n.config, members: n.members, majorityWindow: n.deps.Settings.Timing.MaxConfigAge}
}
