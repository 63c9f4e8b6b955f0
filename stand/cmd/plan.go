package cmd

import (
	"fmt"

	"chivepost/stand/internal/deploy"
	"chivepost/stand/internal/plan"
)

type planCmd struct {
	Deployment string `help:"Folder of the deployment." required:"" type:"existingdir"`
	Out        string `help:"Folder to write to." required:""`
	BasePort   int    `help:"First port to try; 0 starts at a random one." default:"0"`
	PeerKey    string `help:"Key with which entry hosts authenticate to one another." default:"local-peer-key"`
}

// Run writes the files of the plan and prints their folder.
func (c *planCmd) Run(out output) error {
	d, err := deploy.Read(c.Deployment)
	if err != nil {
		return err
	}
	p, err := plan.New(d, plan.NewPorts(c.BasePort), c.PeerKey)
	if err != nil {
		return err
	}
	if err := p.Write(c.Out); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: %d entry hosts, %d targets in %d data centres\n",
		c.Out, len(p.Entries), len(p.Doc.Targets), len(p.Files))
	return err
}
