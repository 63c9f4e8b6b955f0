// Package spec defines the file that describes the target stand-ins of a process.
package spec

import (
	"encoding/json"
	"os"

	"github.com/samber/oops"

	"chivepost/share/bundle"
	"chivepost/share/units"
)

// File describes the targets of a data centre. Delays are the one-way delays of the links by
// the data centre of the calling host, 0 if it isn't listed.
type File struct {
	DataCentre   string                    `json:"data_centre"`
	Region       string                    `json:"region"`
	AdminAddress string                    `json:"admin_address"`
	Delays       map[string]units.Duration `json:"delays"`
	Targets      []Target                  `json:"targets"`
}

// Target describes a target. Limits are numbers of calls in flight.
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

// Pace holds the speed of a target. Durations are for a target without other calls; they
// grow with the number of running calls.
type Pace struct {
	// FirstToken is an engine's time to first token without prompt tokens to compute.
	FirstToken units.Duration `json:"first_token"`
	// PromptToken is the time for each prompt token that is not cached.
	PromptToken units.Duration `json:"prompt_token"`
	// PerToken is the time between tokens.
	PerToken units.Duration `json:"per_token"`
	// Service is the duration of a call to a stage pool or plain service.
	Service units.Duration `json:"service"`
	// ColdTime is how long a target stays cold after its start.
	ColdTime units.Duration `json:"cold_time"`
	// ColdFactor multiplies durations while the target is cold.
	ColdFactor float64 `json:"cold_factor"`
	// FallTime is how long a target fails all calls after it got more than ColdLimit while cold.
	FallTime units.Duration `json:"fall_time"`
	// ReportLag is the age of load reports.
	ReportLag units.Duration `json:"report_lag"`
	// CacheBlocks is the size of an engine's prefix cache.
	CacheBlocks int `json:"cache_blocks"`
	// EventLag is the age of cache events, EventGaps the share of lost ones.
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
			return f, oops.With("path", path).Errorf("target %q: name and address are required, limit and cold_limit must be at least 1", t.Name)
		}
	}
	return f, nil
}
