package oper

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"time"

	"github.com/samber/oops"

	"chivepost/admin/internal/exits"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/units"
)

// Change is a configuration to publish. Base is the version that it was made from.
type Change struct {
	Base   int64
	Author string
	Doc    bundle.Doc
}

// Timeouts limits a publish. Call is the limit until the answer. If there is no answer, the
// change is looked for in the configuration in force, every PollInterval and for at most Lookup.
type Timeouts struct {
	Call         time.Duration
	Lookup       time.Duration
	PollInterval time.Duration
}

// Publish sends the change to the first address that accepts a connection. Once it may have
// been sent, it is never sent again, since it may have taken effect already. Without a clear
// answer, Publish looks for the change in the configuration in force.
// The error has code Conflict, Refused, Unknown or Unreachable.
func (c *Client) Publish(ctx context.Context, change Change, timeouts Timeouts) (apiv1.Published, error) {
	if len(c.addresses) == 0 {
		return apiv1.Published{}, c.noAddressError()
	}
	id := rand.Text()
	body, err := json.Marshal(apiv1.Publish{Base: change.Base, Author: change.Author, PublishID: id, Doc: change.Doc})
	if err != nil {
		return apiv1.Published{}, oops.Wrapf(err, "encode configuration")
	}
	callCtx, cancel := context.WithTimeout(ctx, timeouts.Call)
	defer cancel()
	var errs []error
	for _, address := range c.addresses {
		status, answer, err := c.call(callCtx, http.MethodPost, address, apiv1.PathPublish, body)
		if err != nil && isUnsent(err) {
			errs = append(errs, err)
			continue
		}
		if err != nil {
			return c.lookUp(ctx, id, timeouts, oops.Code(exits.Unknown).Wrapf(err, "no answer to the publish call"))
		}
		published, err := publishResult(status, answer)
		if exits.NameOf(err) == exits.Unknown {
			return c.lookUp(ctx, id, timeouts, err)
		}
		return published, err
	}
	return apiv1.Published{}, oops.Code(exits.Unreachable).Wrapf(joinErrors(errs), "no operator address answered")
}

// publishResult decodes the answer to a publish call.
func publishResult(status int, body []byte) (apiv1.Published, error) {
	var published apiv1.Published
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(body, &published); err != nil || !published.Accepted || published.Version < 1 {
			return published, oops.Code(exits.Unknown).Errorf("the answer to the publish call does not show whether the change was accepted")
		}
		return published, nil
	case http.StatusConflict:
		var conflict apiv1.PublishConflict
		if err := json.Unmarshal(body, &conflict); err != nil {
			return published, oops.Code(exits.Conflict).Errorf("another change was published first: %s", problemText(status, body))
		}
		return published, oops.Code(exits.Conflict).Errorf("version %d by %s was published first: %s", conflict.Current, conflict.Author, conflict.Reason)
	}
	if p, ok := decodeProblem(body); ok && p.Outcome == apiv1.Refused || status >= 400 && status < 500 {
		return published, oops.Code(exits.Refused).Errorf("refused: %s", problemText(status, body))
	}
	return published, oops.Code(exits.Unknown).Errorf("%s", problemText(status, body))
}

// lookUp looks for the change in the configuration in force. It returns cause if the change
// does not appear, since that doesn't decide the outcome: the change may still be accepted,
// or another one may have followed it.
func (c *Client) lookUp(ctx context.Context, id string, timeouts Timeouts, cause error) (apiv1.Published, error) {
	ctx, cancel := context.WithTimeout(ctx, timeouts.Lookup)
	defer cancel()
	for {
		config, err := c.Config(ctx)
		if err == nil && config.PublishID == id {
			return apiv1.Published{Version: config.Version, Accepted: true}, nil
		}
		select {
		case <-ctx.Done():
			return apiv1.Published{}, cause
		case <-time.After(timeouts.PollInterval):
		}
	}
}

// Rollout lists the hosts that have a version, or a later one, in force, and those that do not.
type Rollout struct {
	Version     int64          `json:"version"`
	Confirmed   []string       `json:"confirmed"`
	Unconfirmed []string       `json:"unconfirmed"`
	Waited      units.Duration `json:"waited"`
}

// AwaitConfirmations reads the confirmations at every interval until all hosts have the
// version in force or timeout has passed. It returns the last state read, or an error with
// code Unreachable if no read succeeded.
func (c *Client) AwaitConfirmations(ctx context.Context, version int64, timeout, interval time.Duration) (Rollout, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	last, hasRead := Rollout{Version: version}, false
	var lastErr error
	for {
		answer, err := c.Confirmations(ctx)
		if err == nil {
			last, hasRead = newRollout(version, answer), true
		} else if lastErr == nil || ctx.Err() == nil {
			lastErr = err
		}
		last.Waited = units.Duration(time.Since(start).Round(time.Millisecond))
		if hasRead && len(last.Unconfirmed) == 0 && len(last.Confirmed) > 0 {
			return last, nil
		}
		select {
		case <-ctx.Done():
			if hasRead {
				return last, nil
			}
			return last, lastErr
		case <-time.After(interval):
		}
	}
}

// newRollout splits the hosts by whether they have the version in force.
func newRollout(version int64, answer apiv1.Confirmations) Rollout {
	r := Rollout{Version: version, Confirmed: []string{}, Unconfirmed: []string{}}
	for _, h := range answer.Hosts {
		if h.Version >= version {
			r.Confirmed = append(r.Confirmed, h.Host)
		} else {
			r.Unconfirmed = append(r.Unconfirmed, h.Host)
		}
	}
	return r
}
