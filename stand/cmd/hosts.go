package cmd

import (
	"encoding/json"
	"os"
	"time"

	"github.com/samber/oops"
	"go.uber.org/fx"

	"chivepost/share/hosts"
	"chivepost/stand/internal/hostd"
	"chivepost/stand/internal/serve"
)

type hostsCmd struct {
	Listen string        `help:"Address to listen on." default:"127.0.0.1:7001"`
	File   string        `help:"JSON file with the initial list." required:"" type:"existingfile"`
	Lag    time.Duration `help:"Bound on the time until readers see a change." default:"2s"`
	Seed   uint64        `help:"Seed of the lag." default:"1"`
}

// Run serves the host list until a signal.
func (c *hostsCmd) Run() error {
	return run("hosts",
		fx.Provide(c.options, hostd.New, func(s *hostd.Service) []serve.Endpoint {
			return []serve.Endpoint{{Name: "hosts", Address: c.Listen, Handler: s.Handler()}}
		}),
	)
}

func (c *hostsCmd) options() (hostd.Options, error) {
	var list hosts.List
	data, err := os.ReadFile(c.File)
	if err == nil {
		err = json.Unmarshal(data, &list)
	}
	return hostd.Options{Hosts: list.Hosts, Lag: c.Lag, Seed: c.Seed}, oops.Wrapf(err, "read host list")
}
