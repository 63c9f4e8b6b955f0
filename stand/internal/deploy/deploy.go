// Package deploy reads a deployment: its data centres and delays, the number and pace of
// its targets, and the service files of its pipelines.
package deploy

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
	"gopkg.in/ini.v1"

	"chivepost/share/bundle"
	"chivepost/share/units"
	"chivepost/stand/internal/spec"
)

// Deployment is a deployment as its folder describes it.
type Deployment struct {
	Name string
	// One-way delays inside a region, between regions and to clients.
	LocalDelay, RegionDelay, ClientDelay time.Duration
	DataCentres                          []DataCentre
	TargetGroups                         []TargetGroup
	// Services holds the unparsed service files by service name.
	Services map[string][]byte
	// Doc is the configuration that the service files define, without targets.
	Doc bundle.Doc
}

// DataCentre is a data centre and the number of its entry hosts.
type DataCentre struct {
	Name       string
	Region     string
	EntryHosts int
}

// TargetGroup is the set of targets of a pool. A plan distributes them over the data centres
// in turn.
type TargetGroup struct {
	Pool  string
	Count int
	Pace  spec.Pace
}

// Delay returns the one-way delay between two data centres.
func (d *Deployment) Delay(from, to DataCentre) time.Duration {
	switch {
	case from.Name == to.Name:
		return 0
	case from.Region == to.Region:
		return d.LocalDelay
	default:
		return d.RegionDelay
	}
}

// PoolDoc returns the pool with the given name.
func (d *Deployment) PoolDoc(name string) (bundle.PoolDoc, bool) {
	i := slices.IndexFunc(d.Doc.Pools, func(p bundle.PoolDoc) bool { return p.Name == name })
	if i < 0 {
		return bundle.PoolDoc{}, false
	}
	return d.Doc.Pools[i], true
}

// Read reads the deployment in a folder. Each pool with targets must be in a service file.
func Read(dir string) (*Deployment, error) {
	d := &Deployment{Services: map[string][]byte{}}
	path := filepath.Join(dir, "deployment.ini")
	file, err := ini.Load(path)
	if err != nil {
		return nil, oops.Wrapf(err, "read deployment")
	}
	for _, s := range file.Sections() {
		if err := d.parseSection(s); err != nil {
			return nil, oops.With("path", path).Wrapf(err, "section %q", s.Name())
		}
	}
	if d.Doc, err = bundle.ParseDir(filepath.Join(dir, "services")); err != nil {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(dir, "services", "*", "service.ini"))
	if err != nil {
		return nil, oops.Wrapf(err, "list service files")
	}
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, oops.Wrapf(err, "read service file")
		}
		d.Services[filepath.Base(filepath.Dir(p))] = data
	}
	for _, g := range d.TargetGroups {
		if _, ok := d.PoolDoc(g.Pool); !ok {
			return nil, oops.Errorf("deployment %s: no service file has pool %q", dir, g.Pool)
		}
	}
	if len(d.DataCentres) == 0 {
		return nil, oops.Errorf("deployment %s has no data centre", dir)
	}
	return d, nil
}

// parseSection adds a section of deployment.ini.
func (d *Deployment) parseSection(s *ini.Section) error {
	kind, name, _ := strings.Cut(s.Name(), " ")
	r := reader{section: s}
	switch kind {
	case ini.DefaultSection:
	case "deployment":
		d.Name = r.text("name")
		d.LocalDelay = r.duration("local_delay")
		d.RegionDelay = r.duration("region_delay")
		d.ClientDelay = r.duration("client_delay")
	case "data_centre":
		d.DataCentres = append(d.DataCentres, DataCentre{Name: name, Region: r.text("region"), EntryHosts: r.integer("entry_hosts")})
	case "targets":
		d.TargetGroups = append(d.TargetGroups, TargetGroup{Pool: name, Count: r.integer("count"), Pace: r.pace()})
	default:
		r.setError("unknown section")
	}
	return r.err
}

func (r *reader) pace() spec.Pace {
	return spec.Pace{
		FirstToken:  units.Duration(r.optionalDuration("first_token")),
		PromptToken: units.Duration(r.optionalDuration("prompt_token")),
		PerToken:    units.Duration(r.optionalDuration("per_token")),
		Service:     units.Duration(r.optionalDuration("service")),
		ColdTime:    units.Duration(r.duration("cold_time")),
		ColdFactor:  r.number("cold_factor"),
		FallTime:    units.Duration(r.duration("fall_time")),
		ReportLag:   units.Duration(r.duration("report_lag")),
		CacheBlocks: r.optionalInteger("cache_blocks"),
		EventLag:    units.Duration(r.optionalDuration("event_lag")),
		EventGaps:   r.optionalNumber("event_gaps"),
	}
}
