package apiv1

// PathExplain is the path at which a host of the platform explains its choice of target, on its
// metrics address. The parameters of the query are ParamHost, ParamPath, ParamAccount and
// ParamPrefix. Nothing is sent to a target.
const (
	PathExplain  = "/explain"
	ParamHost    = "host"    // host name of the request
	ParamPath    = "path"    // its path
	ParamAccount = "account" // name of the client account; empty: none
	ParamPrefix  = "prefix"  // parts of the prompt in order, each ID:TOKENS, comma-separated
)

// Explanation says where a host would send a request now, and why.
type Explanation struct {
	Host          string               `json:"host"`
	ConfigVersion int64                `json:"config_version"`
	Route         string               `json:"route"`
	ObjectiveMS   int64                `json:"objective_ms"` // latency objective of the route
	TimeoutMS     int64                `json:"timeout_ms"`
	Regions       []string             `json:"regions,omitempty"`    // whose targets may be used; empty: all
	StageHome     string               `json:"stage_home,omitempty"` // host that queues the stages; empty: the route has none
	Services      []ServiceExplanation `json:"services"`             // one, unless the route splits its traffic
}

// ServiceExplanation is the choice among the targets of a service.
type ServiceExplanation struct {
	Service string              `json:"service"`
	Weight  int                 `json:"weight"`            // share of the route's traffic
	Chosen  string              `json:"chosen"`            // target; empty: the request is refused
	Refusal string              `json:"refusal,omitempty"` // why no target may get it
	Targets []TargetExplanation `json:"targets"`
}

// TargetExplanation is what the choice knows of a target.
type TargetExplanation struct {
	Target     string  `json:"target"`
	DataCentre string  `json:"data_centre"`
	Distance   int     `json:"distance"`  // 0: nearest data centre, 1: its region, 2: elsewhere
	InFlight   int     `json:"in_flight"` // requests of this host
	Load       float64 `json:"load"`      // all requests as far as known, with this one, times the target's slowness
	Rank       float64 `json:"rank"`      // by which targets are compared; the least is chosen
	Prefix     int     `json:"prefix"`    // preference for the prompt's prefix, from 1; 0: none
	State      string  `json:"state"`     // available, leaving, unavailable, or why it is left out
}
