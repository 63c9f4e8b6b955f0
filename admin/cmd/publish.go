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

// publishResult is the result of the commands that publish. Published is false if the
// configuration in force is the requested one already.
type publishResult struct {
	Published bool          `json:"published"`
	Base      int64         `json:"base"`
	Changes   delta.Changes `json:"changes"`
	oper.Rollout
}

// Run publishes the service files.
func (c *publishCmd) Run(e *env) error {
	doc, current, changes, err := e.compare(c.Dir)
	if err != nil {
		return err
	}
	change := oper.Change{Base: current.Version, Author: e.author(c.Author), Doc: doc}
	if c.Base != nil {
		change.Base = *c.Base
	}
	if len(changes) == 0 && change.Base == current.Version && current.Version > 0 {
		return e.print(newUnchanged(current))
	}
	return e.publish(change, changes)
}

// newUnchanged returns the result if there is nothing to publish.
func newUnchanged(current apiv1.Config) publishResult {
	return publishResult{Base: current.Version, Changes: delta.Changes{}, Rollout: oper.Rollout{
		Version: current.Version, Confirmed: []string{}, Unconfirmed: []string{},
	}}
}

// publish sends the change, waits until the hosts have confirmed it or the time for that is
// over, and prints the result.
func (e *env) publish(change oper.Change, changes delta.Changes) error {
	settings := e.prefs.Publish
	accepted, err := e.client.Publish(e.ctx, change, oper.Timeouts{Call: settings.Timeout, Lookup: settings.Confirm, PollInterval: settings.Poll})
	if err != nil {
		return err
	}
	result := publishResult{Published: true, Base: change.Base, Changes: changes, Rollout: oper.Rollout{
		Version: accepted.Version, Confirmed: []string{}, Unconfirmed: []string{},
	}}
	for _, h := range accepted.Confirmed {
		result.Confirmed = append(result.Confirmed, h.Host)
	}
	result.Unconfirmed = append(result.Unconfirmed, accepted.Unconfirmed...)
	var waitErr error
	if len(accepted.Confirmed) == 0 || len(accepted.Unconfirmed) > 0 {
		// The wait starts here, since the host knows of the acceptance only when it answers.
		rollout, err := e.client.AwaitConfirmations(e.ctx, accepted.Version, settings.Confirm, settings.Poll)
		if waitErr = err; err == nil {
			result.Rollout = rollout
		}
	}
	if err := e.print(result); err != nil {
		return oops.Wrapf(err, "print result")
	}
	switch {
	case waitErr != nil:
		return oops.Code(exits.Unconfirmed).Errorf("version %d was accepted, but the confirmations could not be read: %s", accepted.Version, waitErr)
	case len(result.Unconfirmed) > 0 || len(result.Confirmed) == 0:
		return oops.Code(exits.Unconfirmed).Errorf("version %d is not confirmed by %s", accepted.Version, hostList(result.Unconfirmed))
	}
	return nil
}

// hostList joins the names of hosts for a message.
func hostList(hosts []string) string {
	if len(hosts) == 0 {
		return "any host"
	}
	return strings.Join(hosts, ", ")
}

// Text writes the changes and the confirmations.
func (p publishResult) Text(w io.Writer) error {
	if !p.Published {
		_, err := fmt.Fprintf(w, "no changes: version %d is in force\n", p.Version)
		return err
	}
	if err := p.Changes.Text(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "version %d published, confirmed by %d of %d hosts after %s\n",
		p.Version, len(p.Confirmed), len(p.Confirmed)+len(p.Unconfirmed), p.Waited)
	return err
}
