package apiv1

import (
	"chivepost/share/bundle"
	"chivepost/share/burn"
	"chivepost/share/units"
)

// The paths of the operator API of an entry host.
const (
	PathPublish       = "/v1/publish"
	PathConfig        = "/v1/config"
	PathConfirmations = "/v1/confirmations"
	PathStatus        = "/v1/status"
	PathBurn          = "/v1/burn"
)

// Publish is the body of POST /v1/publish. Base is the version on which the change is
// based, or 0 for the first. PublishID is random and identifies the change in the log.
type Publish struct {
	Base      int64      `json:"base"`
	Author    string     `json:"author"`
	PublishID string     `json:"publish_id"`
	Doc       bundle.Doc `json:"doc"`
}

// Published is the response to an accepted change, with status 200. Unconfirmed lists the
// hosts that have not yet confirmed that Version is in force on them.
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

// PublishConflict is the response to a change that lost against another one from the
// same version, with status 409. Current is the version in force, Author its author.
type PublishConflict struct {
	Accepted bool   `json:"accepted"`
	Current  int64  `json:"current"`
	Author   string `json:"author"`
	Reason   string `json:"reason"`
}

// Config is the response to GET /v1/config. Version is 0 while there is no configuration.
// PublishID is that of the change, or empty if the host has received only the resulting
// configuration.
type Config struct {
	Version   int64      `json:"version"`
	Author    string     `json:"author"`
	PublishID string     `json:"publish_id,omitempty"`
	Doc       bundle.Doc `json:"doc"`
}

// Confirmations is the response to GET /v1/confirmations: the version in force on the
// responding host, and those that other hosts have reported to it.
type Confirmations struct {
	Version int64          `json:"version"`
	Hosts   []Confirmation `json:"hosts"`
}

// Confirmation is the version in force on a host, as reported Age ago.
type Confirmation struct {
	Host    string         `json:"host"`
	Version int64          `json:"version"`
	Age     units.Duration `json:"age"`
}

// Status is the response to GET /v1/status. State is starting, serving, leaving or
// stopped. Reasons lists why Ready is false.
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

// ControllerStatus is the status of a controller of the host. Reason says why Ready is
// false.
type ControllerStatus struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	Detail any    `json:"detail,omitempty"`
}

// TargetStatus is the status of a target from the view of the host. Limit is the number
// of calls in flight that the target can handle. Granted and InUse count the slots of this
// host, and Home is the host that grants them.
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

// HostStatus is the status that another entry host reported Age ago.
type HostStatus struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Region     string         `json:"region"`
	State      string         `json:"state"`
	Version    int64          `json:"version"`
	Age        units.Duration `json:"age"`
}

// Burn is the response to GET /v1/burn. Snapshot has the counts of the host since it
// started, from which burn rates are computed.
type Burn struct {
	Host     string        `json:"host"`
	Snapshot burn.Snapshot `json:"snapshot"`
}
