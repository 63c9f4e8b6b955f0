package plan

import (
	"fmt"

	"chivepost/share/bundle"
	"chivepost/share/hosts"
	"chivepost/share/units"
	"chivepost/stand/internal/deploy"
	"chivepost/stand/internal/spec"
)

// Plan is a deployment with an address for each listener.
type Plan struct {
	Deployment      *deploy.Deployment
	PeerKey         string
	LogAddress      string
	HostListAddress string
	WeightsAddress  string
	Entries         []Entry
	Files           []spec.File // The target file of each data centre.
	Doc             bundle.Doc  // The configuration including the targets.
}

// Entry is one entry host.
type Entry struct {
	hosts.Host
	OperatorAddress string
}

// New assigns an address to each listener of the deployment.
func New(d *deploy.Deployment, ports Ports, peerKey string) (*Plan, error) {
	p := &Plan{Deployment: d, PeerKey: peerKey, Doc: d.Doc}
	var err error
	nextAddress := func() string {
		address, e := ports.Next()
		if err == nil {
			err = e
		}
		return address
	}
	p.LogAddress, p.HostListAddress, p.WeightsAddress = nextAddress(), nextAddress(), nextAddress()
	for _, dc := range d.DataCentres {
		for i := range dc.EntryHosts {
			p.Entries = append(p.Entries, Entry{
				Host: hosts.Host{
					Name: fmt.Sprintf("%s-entry-%d", dc.Name, i+1), Address: nextAddress(), PeerAddress: nextAddress(),
					DataCentre: dc.Name, Region: dc.Region, Role: hosts.RoleEntry, State: hosts.StateLive,
				},
				OperatorAddress: nextAddress(),
			})
		}
		f := spec.File{DataCentre: dc.Name, Region: dc.Region, AdminAddress: nextAddress(), Delays: map[string]units.Duration{}}
		for _, other := range d.DataCentres {
			f.Delays[other.Name] = units.Duration(d.Delay(other, dc))
		}
		p.Files = append(p.Files, f)
	}
	p.placeTargets(nextAddress)
	return p, err
}

// placeTargets distributes the targets of each pool over the data centres in turn. Each pool
// begins where the previous one stopped, so that small pools aren't all in the first data
// centre.
func (p *Plan) placeTargets(nextAddress func() string) {
	start := 0
	for _, g := range p.Deployment.TargetGroups {
		pool, _ := p.Deployment.PoolDoc(g.Pool)
		counts := map[string]int{}
		for i := range g.Count {
			f := &p.Files[(start+i)%len(p.Files)]
			counts[f.DataCentre]++
			t := spec.Target{
				Name: fmt.Sprintf("%s-%s-%02d", f.DataCentre, g.Pool, counts[f.DataCentre]),
				Pool: g.Pool, Kind: pool.Kind, Address: nextAddress(), Limit: pool.Limit, ColdLimit: pool.ColdLimit,
				ChecksFence: pool.ChecksFence, Pace: g.Pace,
			}
			f.Targets = append(f.Targets, t)
			p.Doc.Targets = append(p.Doc.Targets, bundle.TargetDoc{
				Name: t.Name, Pool: t.Pool, DataCentre: f.DataCentre, Region: f.Region, Address: t.Address,
			})
		}
		start += g.Count
	}
}

// HostList returns the platform's host list of all entry hosts and targets.
func (p *Plan) HostList() hosts.List {
	list := hosts.List{Version: 1}
	for _, e := range p.Entries {
		list.Hosts = append(list.Hosts, e.Host)
	}
	for _, t := range p.Doc.Targets {
		list.Hosts = append(list.Hosts, hosts.Host{
			Name: t.Name, Address: t.Address, DataCentre: t.DataCentre, Region: t.Region,
			Role: hosts.RoleTarget, State: hosts.StateLive,
		})
	}
	return list
}
