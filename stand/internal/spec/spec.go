// Package spec is the file that tells the target stand-ins of one process what to be.
package spec

import (
	"encoding/json"
	"os"

	"github.com/samber/oops"

	"chivepost/share/bundle"
	"chivepost/share/units"
)

// File describes the targets of one data centre. Delays are one way, by the data
// centre of the calling host; a data centre that is not listed has none.
type File struct {
	DataCentre   string                    `json:"data_centre"`
	Region       string                    `json:"region"`
	AdminAddress string                    `json:"admin_address"`
	Delays       map[string]units.Duration `json:"delays"`
	Targets      []Target                  `json:"targets"`
}

// Target describes one target. Limits are calls in flight at once.
type Target struct {
	Name        string      `json:"name"`
	Pool        string      `json:"pool"`
	Kind        bundle.Kind `json:"kind"`
	Address     string      `json:"address"`
	Limit       int         `json:"limit"`
	ColdLimit   int         `json:"cold_limit"`
	ChecksFence bool        `json:"checks_fence"`
	Pace        Pace        `json:"pace"`
}

// Pace says how fast a target works. All times are for a target without other
// work; they grow with the calls running.
type Pace struct {
	// FirstToken is an engine's time to first token without prompt tokens to compute.
	FirstToken units.Duration `json:"first_token"`
	// PromptToken is the time for each prompt token that is not cached.
	PromptToken units.Duration `json:"prompt_token"`
	// PerToken is the time between tokens.
	PerToken units.Duration `json:"per_token"`
	// Service is the time of a call to a stage pool or plain service.
	Service units.Duration `json:"service"`
	// ColdTime is how long a target stays cold after its start.
	ColdTime units.Duration `json:"cold_time"`
	// ColdFactor multiplies times while cold.
	ColdFactor float64 `json:"cold_factor"`
	// FallTime is how long a target fails everything after too much work while cold.
	FallTime units.Duration `json:"fall_time"`
	// ReportLag is the age of load reports.
	ReportLag units.Duration `json:"report_lag"`
	// CacheBlocks is the size of an engine's prefix cache.
	CacheBlocks int `json:"cache_blocks"`
	// EventLag is the age of cache events, EventGaps the share that is lost.
	EventLag  units.Duration `json:"event_lag"`
	EventGaps float64        `json:"event_gaps"`
}

// Read reads a targets file.
func Read(path string) (File, error) {
	var f File
	data, err := os.ReadFile(path)
	if err != nil {
		return f, oops.Wrapf(err, "read targets file")
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return f, oops.With("path", path).Wrapf(err, "decode targets file")
	}
	for _, t := range f.Targets {
		if t.Name == "" || t.Address == "" || t.Limit < 1 || t.ColdLimit < 1 {
			return f, oops.With("path", path).Errorf("target %q: want name, address, limit >= 1 and cold_limit >= 1", t.Name)
		}
	}
	return f, nil
}
