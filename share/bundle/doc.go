// Package bundle defines the configuration: pipelines, pools, targets, client accounts
// and the data centres that are out. It is collected from service files.
package bundle

import "chivepost/share/units"

// Doc is the JSON form of a configuration. Names are unique within each list.
type Doc struct {
	Pipelines []PipelineDoc `json:"pipelines"`
	Pools     []PoolDoc     `json:"pools"`
	Targets   []TargetDoc   `json:"targets"`
	Accounts  []AccountDoc  `json:"accounts"`
	// DataCentresOut lists the data centres that operators have taken out of service.
	DataCentresOut []string `json:"out"`
}

// PipelineDoc describes a pipeline. Deadline is the longest deadline that a caller may
// ask for, Objective the share of requests to answer within their deadline, such as 0.99.
type PipelineDoc struct {
	Name      string         `json:"name"`
	Deadline  units.Duration `json:"deadline"`
	Objective float64        `json:"objective"`
	Stages    []StageDoc     `json:"stages"` // in the order in which they run
}

// StageDoc describes a stage. Timeout limits each attempt.
type StageDoc struct {
	Name    string         `json:"name"`
	Pool    string         `json:"pool"`
	Model   string         `json:"model,omitempty"`
	Timeout units.Duration `json:"timeout"`
}

// Kind is the protocol of the targets of a pool.
type Kind string

// The kinds of pools.
const (
	KindEngine  Kind = "engine"
	KindStage   Kind = "stage"
	KindService Kind = "service"
)

// PoolDoc describes a pool of interchangeable targets. Limit and ColdLimit are the calls
// in flight per target, warm and in cold start. Retryable is false for calls that may run
// at most once. ChecksFence means that the targets refuse orders with an old fencing
// number.
type PoolDoc struct {
	Name        string `json:"name"`
	Kind        Kind   `json:"kind"`
	Retryable   bool   `json:"repeat"`
	ChecksFence bool   `json:"checks_fence"`
	Limit       int    `json:"limit"`
	ColdLimit   int    `json:"cold_limit"`
}

// TargetDoc describes a target. Address has the form "ip:port".
type TargetDoc struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Address    string `json:"address"`
}

// AccountDoc describes a client account. Credential is the hex SHA-256 of the account's
// secret. Share is the weight of the account against others under load.
type AccountDoc struct {
	Name       string `json:"name"`
	Credential string `json:"credential"`
	Share      int    `json:"share"`
}
