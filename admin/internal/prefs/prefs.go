// Package prefs defines and loads the settings of chivectl.
package prefs

import (
	"strings"
	"time"

	"chivepost/share/inicfg"
)

// Prefs holds the settings in force.
type Prefs struct {
	Operator Operator `section:"operator" doc:"How entry hosts are reached."`
	Publish  Publish  `section:"publish" doc:"How changes are published."`
	Output   Output   `section:"output" doc:"What is printed."`
}

// Operator holds the settings for calls to entry hosts.
type Operator struct {
	Addresses []string      `key:"addresses" check:"addresses" doc:"operator addresses of entry hosts, in order of preference"`
	Timeout   time.Duration `key:"timeout" default:"2s" check:"above=0s,max=1m" doc:"timeout of one read from one host"`
}

// Publish holds the settings for publishing changes. Confirm corresponds to the time
// within which an accepted configuration is in force on every host.
type Publish struct {
	Author  string        `key:"author" doc:"author of changes; user@host when empty"`
	Timeout time.Duration `key:"timeout" default:"10s" check:"above=0s,max=1m" doc:"timeout of the publish call"`
	Confirm time.Duration `key:"confirm" default:"4s" check:"min=0s,max=1m" doc:"how long to wait for confirmations after a change was accepted"`
	Poll    time.Duration `key:"poll" default:"100ms" check:"min=1ms,max=1s" doc:"interval between two reads of the confirmations"`
}

// Output holds the settings for the output.
type Output struct {
	Format string `key:"format" default:"text" check:"oneof=text|json" doc:"format of the output"`
}

// Flags holds the command line flags that override settings. Each is empty if not given.
type Flags struct {
	Operator []string
	Author   string
	Output   string
}

// Load reads the settings file at path, or takes the defaults if path is empty, and applies
// flags on top.
func Load(path string, flags Flags) (*Prefs, *inicfg.Settings, error) {
	var overrides []inicfg.Override
	add := func(section, key, value, flag string) {
		if value != "" {
			overrides = append(overrides, inicfg.Override{Section: section, Key: key, Value: value, From: flag})
		}
	}
	add("operator", "addresses", strings.Join(flags.Operator, ","), "--operator")
	add("publish", "author", flags.Author, "--author")
	add("output", "format", flags.Output, "--output")
	p := &Prefs{}
	settings, err := inicfg.Load(path, p, overrides...)
	return p, settings, err
}
