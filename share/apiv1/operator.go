package apiv1

import (
	"chivepost/share/bundle"
	"chivepost/share/burn"
	"chivepost/share/units"
)

// Paths of the operator API of an entry host.
const (
	PathPublish       = "/v1/publish"
	PathConfig        = "/v1/config"
	PathConfirmations = "/v1/confirmations"
	PathStatus        = "/v1/status"
	PathBurn          = "/v1/burn"
)

// Publish is the body of POST /v1/publish. Base is the version that the change was made
// from, 0 for the first. PublishID is random and finds the change in the log again.
type Publish struct {
	Base      int64      `json:"base"`
	Author    string     `json:"author"`
	PublishID string     `json:"publish_id"`
	Doc       bundle.Doc `json:"doc"`
}

// Published answers an accepted change with status 200. Unconfirmed names the hosts
// that had not yet said that Version is in force on them.
type Published struct {
	Version     int64         `json:"version"`
	Accepted    bool          `json:"accepted"`
	Confirmed   []HostVersion `json:"confirmed"`
	Unconfirmed []string      `json:"unconfirmed"`
}

// HostVersion is the configuration version in force on a host.
type HostVersion struct {
	Host    string `json:"host"`
	Version int64  `json:"version"`
}

// PublishConflict answers a change that lost a race, with status 409. Current is the
// version in force and Author who published it.
type PublishConflict struct {
	Accepted bool   `json:"accepted"`
	Current  int64  `json:"current"`
	Author   string `json:"author"`
	Reason   string `json:"reason"`
}

// Config answers GET /v1/config. Version is 0 while there is no configuration.
// PublishID is that of the change, and empty if the host has learnt only the result.
type Config struct {
	Version   int64      `json:"version"`
	Author    string     `json:"author"`
	PublishID string     `json:"publish_id,omitempty"`
	Doc       bundle.Doc `json:"doc"`
}

// Confirmations answers GET /v1/confirmations: the version in force on the answering
// host and what it knows of the others.
type Confirmations struct {
	Version int64          `json:"version"`
	Hosts   []Confirmation `json:"hosts"`
}

// Confirmation is the version in force on a host, as last heard Age ago.
type Confirmation struct {
	Host    string         `json:"host"`
	Version int64          `json:"version"`
	Age     units.Duration `json:"age"`
}

// Status answers GET /v1/status. State is starting, serving, leaving or stopped.
// Reasons says why Ready is false.
type Status struct {
	Host        string                      `json:"host"`
	DataCentre  string                      `json:"data_centre"`
	State       string                      `json:"state"`
	Ready       bool                        `json:"ready"`
	Reasons     []string                    `json:"reasons"`
	Version     int64                       `json:"version"`
	Controllers map[string]ControllerStatus `json:"controllers"`
	Targets     []TargetStatus              `json:"targets"`
	Hosts       []HostStatus                `json:"hosts"`
}

// ControllerStatus is the state of one controller of the host.
type ControllerStatus struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	Detail any    `json:"detail,omitempty"`
}

// TargetStatus is a target as the host sees it. Limit is the number of calls in flight
// that the target can handle, Granted and InUse are this host's slots, and Home is the
// host that grants them.
type TargetStatus struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	Limit      int    `json:"limit"`
	Granted    int    `json:"granted"`
	InUse      int    `json:"in_use"`
	Home       string `json:"home"`
}

// HostStatus is another entry host as the host sees it, as last heard Age ago.
type HostStatus struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Region     string         `json:"region"`
	State      string         `json:"state"`
	Version    int64          `json:"version"`
	Age        units.Duration `json:"age"`
}

// Burn answers GET /v1/burn: the counts of one host since it started.
type Burn struct {
	Host     string        `json:"host"`
	Snapshot burn.Snapshot `json:"snapshot"`
}
