package inicfg_test

import (
	"fmt"
	"time"

	"chivepost/share/inicfg"
)

// A settings struct has a struct for each section. Tags define keys, defaults, checks and
// documentation.
func ExampleParse() {
	var s struct {
		Host struct {
			Name    string `key:"name" check:"required,name" doc:"name in the host list"`
			Address string `key:"address" default:"127.0.0.1:7000" check:"address" doc:"where callers connect"`
		} `section:"host" doc:"The host itself."`
		Timing struct {
			Lease time.Duration `key:"lease" default:"2s" check:"min=100ms,max=10s" doc:"length of a lease"`
		} `section:"timing"`
	}
	settings, err := inicfg.Parse("entry.ini", []byte("[host]\nname = entry-1\n[timing]\nlease = 1s\n"), &s)
	fmt.Println(s.Host.Name, s.Timing.Lease, err)
	for _, o := range settings.Origins() {
		fmt.Println(o.Section, o.Key, o.Value, o.From)
	}
	_, err = inicfg.Parse("entry.ini", []byte("[host]\nnam = entry-1\n[timing]\nlease = 1\n"), &s)
	fmt.Println(err)
	// Output:
	// entry-1 1s <nil>
	// host name entry-1 entry.ini:2
	// host address 127.0.0.1:7000 default
	// timing lease 1s entry.ini:4
	// entry.ini:1: [host] name: found nothing, want a name of letters, digits, '.', '_' and '-'
	// entry.ini:2: [host] nam: found unknown key "nam", want "name", the nearest of name, address
	// entry.ini:4: [timing] lease: found "1", want a duration such as 250ms or 2s, at least 100ms and at most 10s
}
