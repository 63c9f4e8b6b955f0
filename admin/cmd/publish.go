package cmd

import (
	"fmt"
	"io"
	"strings"

	"github.com/samber/oops"

	"chivepost/admin/internal/delta"
	"chivepost/admin/internal/exits"
	"chivepost/admin/internal/oper"
	"chivepost/share/apiv1"
)

type publishCmd struct {
	Dir    string `arg:"" predictor:"dir" help:"Folder with service files (service.ini) at any depth."`
	Base   *int64 `name:"base" placeholder:"V" help:"Version that the change was made from; the version in force if not given."`
	Author string `name:"author" placeholder:"NAME" help:"Author of the change; the setting or user@host if not given."`
}

// outcome is what a command prints that publishes. Published is false if the
// configuration in force is already the one asked for.
type outcome struct {
	Published bool          `json:"published"`
	Base      int64         `json:"base"`
	Changes   delta.Changes `json:"changes"`
	oper.Rollout
}

// Run publishes the service files.
func (c *publishCmd) Run(r *run) error {
	doc, current, changes, err := r.compare(c.Dir)
	if err != nil {
		return err
	}
	change := oper.Change{Base: current.Version, Author: r.author(c.Author), Doc: doc}
	if c.Base != nil {
		change.Base = *c.Base
	}
	if len(changes) == 0 && change.Base == current.Version && current.Version > 0 {
		return r.print(unchanged(current))
	}
	return r.publish(change, changes)
}

func unchanged(current apiv1.Config) outcome {
	return outcome{Base: current.Version, Changes: delta.Changes{}, Rollout: oper.Rollout{
		Version: current.Version, Confirmed: []string{}, Unconfirmed: []string{},
	}}
}

// publish sends the change, waits for confirmations and prints what became of it.
func (r *run) publish(change oper.Change, changes delta.Changes) error {
	settings := r.prefs.Publish
	accepted, err := r.client.Publish(r.ctx, change, oper.Timeouts{Call: settings.Timeout, Lookup: settings.Confirm, PollInterval: settings.Poll})
	if err != nil {
		return err
	}
	result := outcome{Published: true, Base: change.Base, Changes: changes, Rollout: oper.Rollout{
		Version: accepted.Version, Confirmed: []string{}, Unconfirmed: []string{},
	}}
	for _, h := range accepted.Confirmed {
		result.Rollout.Confirmed = append(result.Rollout.Confirmed, h.Host)
	}
	result.Unconfirmed = append(result.Unconfirmed, accepted.Unconfirmed...)
	var waitErr error
	if len(accepted.Confirmed) == 0 || len(accepted.Unconfirmed) > 0 {
		// The wait starts at the answer: before it, this host does not know of the acceptance.
		waited, err := r.client.AwaitConfirmations(r.ctx, accepted.Version, settings.Confirm, settings.Poll)
		if waitErr = err; err == nil {
			result.Rollout = waited
		}
	}
	if err := r.print(result); err != nil {
		return oops.Wrapf(err, "print result")
	}
	switch {
	case waitErr != nil:
		return oops.Code(exits.Unconfirmed).Errorf("version %d was accepted; confirmations could not be read: %s", accepted.Version, waitErr)
	case len(result.Unconfirmed) > 0 || len(result.Rollout.Confirmed) == 0:
		return oops.Code(exits.Unconfirmed).Errorf("version %d is not confirmed by %s", accepted.Version, orNobody(result.Unconfirmed))
	}
	return nil
}

func orNobody(hosts []string) string {
	if len(hosts) == 0 {
		return "any host"
	}
	return strings.Join(hosts, ", ")
}

// Text writes the changes and the confirmations.
func (o outcome) Text(w io.Writer) error {
	if !o.Published {
		_, err := fmt.Fprintf(w, "no changes: version %d is in force\n", o.Version)
		return err
	}
	if err := o.Changes.Text(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "version %d published, confirmed by %d of %d hosts after %s\n",
		o.Version, len(o.Rollout.Confirmed), len(o.Rollout.Confirmed)+len(o.Unconfirmed), o.Waited)
	return err
}
