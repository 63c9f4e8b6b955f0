// Package bundle holds the configuration in force: pipelines, pools, targets,
// client accounts and data centres, collected from service files.
package bundle

import "chivepost/share/units"

// Doc is the encoded form of a configuration. Names are unique within each list.
type Doc struct {
	Pipelines []PipelineDoc `json:"pipelines"`
	Pools     []PoolDoc     `json:"pools"`
	Targets   []TargetDoc   `json:"targets"`
	Accounts  []AccountDoc  `json:"accounts"`
	// DataCentresOut lists the data centres that operators have taken out.
	DataCentresOut []string `json:"out"`
}

// PipelineDoc describes one pipeline. Deadline is the longest that a caller may
// ask for, Objective the share of requests to answer in time (0.99).
type PipelineDoc struct {
	Name      string         `json:"name"`
	Deadline  units.Duration `json:"deadline"`
	Objective float64        `json:"objective"`
	Stages    []StageDoc     `json:"stages"`
}

// StageDoc describes one stage, run in order. Timeout bounds one attempt.
type StageDoc struct {
	Name    string         `json:"name"`
	Pool    string         `json:"pool"`
	Model   string         `json:"model,omitempty"`
	Timeout units.Duration `json:"timeout"`
}

// Kind says which protocol the targets of a pool speak.
type Kind string

// The kinds of pools.
const (
	KindEngine  Kind = "engine"
	KindStage   Kind = "stage"
	KindService Kind = "service"
)

// PoolDoc describes targets that do the same work. Limit and ColdLimit are calls
// in flight at once per target, warm and in cold start. Repeat is false for
// calls that may run at most once.
type PoolDoc struct {
	Name        string `json:"name"`
	Kind        Kind   `json:"kind"`
	Retryable   bool   `json:"repeat"`
	ChecksFence bool   `json:"checks_fence"`
	Limit       int    `json:"limit"`
	ColdLimit   int    `json:"cold_limit"`
}

// TargetDoc describes one target. Address is "ip:port".
type TargetDoc struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Address    string `json:"address"`
}

// AccountDoc describes a client account. Credential is the hex SHA-256 of the
// account's secret; Share weighs it against other accounts under load.
type AccountDoc struct {
	Name       string `json:"name"`
	Credential string `json:"credential"`
	Share      int    `json:"share"`
}
