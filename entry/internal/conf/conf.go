// Package conf defines and loads the settings of an entry host.
package conf

import (
	"os"
	"strings"
	"time"

	"github.com/samber/oops"

	"chivepost/share/hosts"
	"chivepost/share/inicfg"
)

// Settings holds the settings of an entry host, one field per section.
type Settings struct {
	Host     Host     `section:"host" doc:"Name, location and addresses of this host."`
	Platform Platform `section:"platform" doc:"Addresses of the platform's services."`
	Peers    Peers    `section:"peers" doc:"Traffic between entry hosts."`
	Timing   Timing   `section:"timing" doc:"Times that must be equal on all entry hosts of a deployment."`
	Limits   Limits   `section:"limits" doc:"Limits on connections, requests and messages of callers and peers."`
	Routing  Routing  `section:"routing" doc:"Choice of targets, and admission."`
	Output   Output   `section:"output" doc:"Logs and the event record."`
}

// Host holds the name, location and addresses of this host.
type Host struct {
	Name            string `key:"name" check:"required,name" doc:"name of the host, as in the host list"`
	DataCentre      string `key:"data_centre" check:"required,name" doc:"data centre of the host"`
	Region          string `key:"region" check:"required,name" doc:"region of the data centre"`
	Address         string `key:"address" check:"required,address" doc:"address for callers"`
	PeerAddress     string `key:"peer_address" check:"required,address" doc:"address for other entry hosts"`
	OperatorAddress string `key:"operator_address" check:"required,address" doc:"address for operators, metrics and the burn report"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	LogURL   string `key:"log_url" check:"required,url" doc:"base URL of the log service"`
	HostsURL string `key:"hosts_url" check:"required,url" doc:"base URL of the host list"`
}

// Peers holds the key that entry hosts share.
type Peers struct {
	Key     string `key:"key" check:"secret" doc:"shared key that entry hosts send to each other; key_file is preferred"`
	KeyFile string `key:"key_file" doc:"file that holds the key"`
}

// Timing holds the durations and intervals of leases, views, heartbeats and shutdown.
type Timing struct {
	Hold              time.Duration `key:"hold" default:"3s" check:"min=100ms,max=5m" doc:"how long callers keep an address"`
	Spread            time.Duration `key:"spread" default:"1s" check:"min=100ms,max=1m" doc:"time until all peers know that this host is leaving"`
	Grace             time.Duration `key:"grace" default:"10m" check:"min=1s,max=1h" doc:"time from SIGTERM until the process is killed; a host that leaves takes and finishes only what fits in"`
	Lease             time.Duration `key:"lease" default:"2s" check:"min=100ms,max=1m" doc:"lifetime of a grant of slots"`
	Margin            time.Duration `key:"margin" default:"250ms" check:"min=1ms,max=10s" doc:"allowance for differences between monotonic clocks"`
	AttemptBound      time.Duration `key:"attempt_bound" default:"5s" check:"min=100ms,max=10m" doc:"longest time that a call may run at a target"`
	ListLag           time.Duration `key:"list_lag" default:"2s" check:"min=0s,max=10m" doc:"longest delay of the host list"`
	MaxViewAge        time.Duration `key:"view_max" default:"3s" check:"min=100ms,max=10m" doc:"age above which a view of the host list is not trusted"`
	MaxConfigAge      time.Duration `key:"config_max" default:"3s" check:"min=100ms,max=1m" doc:"age above which the configuration in force is not trusted"`
	PollInterval      time.Duration `key:"poll" default:"500ms" check:"min=10ms,max=1m" doc:"time between two reads of the host list"`
	HeartbeatInterval time.Duration `key:"beat" default:"500ms" check:"min=10ms,max=1m" doc:"time between two heartbeats to a peer"`
	Retention         time.Duration `key:"log_retention" default:"1h" check:"min=10s" doc:"how long the log service keeps records"`
}

// Limits limits the connections, requests and messages of callers and peers.
type Limits struct {
	MaxBody        inicfg.Size   `key:"max_body" default:"1MiB" check:"min=1KiB,max=64MiB" doc:"largest body of a request"`
	MaxHeader      inicfg.Size   `key:"max_header" default:"16KiB" check:"min=4KiB,max=1MiB" doc:"largest header of a request"`
	BodyMemory     inicfg.Size   `key:"body_memory" default:"256MiB" check:"min=1MiB" doc:"most bytes of request bodies held at once; one account holds at most 0.8 of it"`
	MaxFrame       inicfg.Size   `key:"max_frame" default:"4MiB" check:"min=64KiB,max=64MiB" doc:"largest message of a peer"`
	PeerRate       int           `key:"peer_rate" default:"2000" check:"min=10" doc:"most messages a second from one peer"`
	MaxConnections int           `key:"max_connections" default:"4096" check:"min=16" doc:"most connections of callers open at once"`
	MaxQueue       int           `key:"max_queue" default:"4096" check:"min=1" doc:"most calls that wait for one pool"`
	ReadTimeout    time.Duration `key:"read_time" default:"5s" check:"min=100ms,max=1m" doc:"longest time for reading one request"`
	IdleTimeout    time.Duration `key:"idle_time" default:"30s" check:"min=1s,max=1h" doc:"time after which an idle connection is closed"`
}

// Routing selects the policies for routing and admission.
type Routing struct {
	Policy    string `key:"policy" default:"chivepost" check:"oneof=chivepost|round_robin|least_outstanding" doc:"choice of targets; the others are baselines for comparison"`
	Admission bool   `key:"admission" default:"true" doc:"refuse requests early that can't be answered in time"`
}

// Output selects the log level and the file for events.
type Output struct {
	LogLevel string `key:"log_level" default:"info" check:"oneof=debug|info|error" doc:"lowest level that is logged"`
	Events   string `key:"events" doc:"file for the event record; empty for none"`
}

// Load reads and checks the settings file at path. The second result holds the
// origin of each value.
func Load(path string, overrides ...inicfg.Override) (Settings, *inicfg.Settings, error) {
	var s Settings
	origins, err := inicfg.Load(path, &s, overrides...)
	if err != nil {
		return Settings{}, nil, err
	}
	return s, origins, nil
}

// Check reports violations of rules that concern several keys.
func (s *Settings) Check(report func(section, key, want string)) {
	if s.Peers.Key == "" && s.Peers.KeyFile == "" {
		report("peers", "key", "a key here, or a file in key_file")
	}
	if s.Peers.Key != "" && s.Peers.KeyFile != "" {
		report("peers", "key", "only one of key and key_file")
	}
	if s.Timing.Margin >= s.Timing.Lease {
		report("timing", "margin", "less than lease")
	}
	if 10*s.Limits.MaxBody > 7*s.Limits.BodyMemory {
		report("limits", "body_memory", "at least 10/7 of max_body")
	}
	if s.Host.Address == s.Host.PeerAddress || s.Host.Address == s.Host.OperatorAddress {
		report("host", "address", "an address other than peer_address and operator_address")
	}
}

// Secret returns the key that entry hosts share, read from KeyFile if that is set.
func (p Peers) Secret() (string, error) {
	if p.KeyFile == "" {
		return p.Key, nil
	}
	data, err := os.ReadFile(p.KeyFile)
	if err != nil {
		return "", oops.Wrapf(err, "read peer key")
	}
	return strings.TrimSpace(string(data)), nil
}

// Self returns the entry of this host in the host list.
func (h Host) Self() hosts.Host {
	return hosts.Host{
		Name: h.Name, Address: h.Address, PeerAddress: h.PeerAddress, DataCentre: h.DataCentre, Region: h.Region,
		Role: hosts.RoleEntry, State: hosts.StateLive,
	}
}
