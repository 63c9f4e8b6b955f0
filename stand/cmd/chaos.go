package cmd

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"

	"chivepost/share/hosts"
	"chivepost/stand/internal/chaos"
)

type chaosCmd struct {
	Plan     bool          `help:"Print the schedule, one step per line: milliseconds, action and arguments, separated by tabs." required:""`
	Seed     uint64        `help:"Seed of the schedule." default:"1"`
	Duration time.Duration `help:"Time by which every fault has ended." default:"5m"`
	Tracks   int           `help:"Faults in force at once." default:"3"`
	Hosts    string        `help:"Host list of the deployment, as chive-stand plan writes it." required:"" type:"existingfile"`
}

// Run prints the schedule.
func (c *chaosCmd) Run(out output) error {
	var list hosts.List
	data, err := os.ReadFile(c.Hosts)
	if err == nil {
		err = json.Unmarshal(data, &list)
	}
	if err != nil {
		return oops.Wrapf(err, "read host list")
	}
	steps, err := chaos.Plan(chaos.Options{Seed: c.Seed, Duration: c.Duration, Tracks: c.Tracks, Hosts: list.Hosts})
	if err != nil {
		return err
	}
	for _, s := range steps {
		fields := append([]string{fmt.Sprint(s.At.Milliseconds()), string(s.Action)}, s.Args...)
		if _, err := fmt.Fprintln(out, strings.Join(fields, "\t")); err != nil {
			return err
		}
	}
	return nil
}
