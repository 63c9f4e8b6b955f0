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

// Change is a change to publish. Base is the version that it was made from.
type Change struct {
	Base   int64
	Author string
	Doc    bundle.Doc
}

// Timeouts are the times that a publish call may take: Call until the answer, and Lookup
// to look for the change, every Poll, in the configuration in force if there is none.
type Timeouts struct {
	Call         time.Duration
	Lookup       time.Duration
	PollInterval time.Duration
}

// Publish sends the change to the first address that takes a connection. Once it may have
// been sent it is never sent again, since the first sending may have taken effect;
// the configuration in force then tells what became of it.
// The error has code Conflict, Refused, Unknown or Unreachable.
func (c *Client) Publish(ctx context.Context, change Change, bounds Timeouts) (apiv1.Published, error) {
	if len(c.addresses) == 0 {
		return apiv1.Published{}, c.none()
	}
	id := rand.Text()
	body, err := json.Marshal(apiv1.Publish{Base: change.Base, Author: change.Author, PublishID: id, Doc: change.Doc})
	if err != nil {
		return apiv1.Published{}, oops.Wrapf(err, "encode configuration")
	}
	sending, cancel := context.WithTimeout(ctx, bounds.Call)
	defer cancel()
	var errs []error
	for _, address := range c.addresses {
		status, answer, err := c.call(sending, http.MethodPost, address, apiv1.PathPublish, body)
		if err != nil && isUnsent(err) {
			errs = append(errs, err)
			continue
		}
		if err != nil {
			return c.lookUp(ctx, id, bounds, oops.Code(exits.Unknown).Wrapf(err, "no answer to the publish call"))
		}
		published, err := publishResult(status, answer)
		if exits.NameOf(err) == exits.Unknown {
			return c.lookUp(ctx, id, bounds, err)
		}
		return published, err
	}
	return apiv1.Published{}, oops.Code(exits.Unreachable).Wrapf(flat(errs), "no operator address answered")
}

// publishResult returns what an answer to a publish call says.
func publishResult(status int, body []byte) (apiv1.Published, error) {
	var published apiv1.Published
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(body, &published); err != nil || !published.Accepted || published.Version < 1 {
			return published, oops.Code(exits.Unknown).Errorf("the answer to the publish call does not say what became of it")
		}
		return published, nil
	case http.StatusConflict:
		var lost apiv1.PublishConflict
		if err := json.Unmarshal(body, &lost); err != nil {
			return published, oops.Code(exits.Conflict).Errorf("another change was published first: %s", problemText(status, body))
		}
		return published, oops.Code(exits.Conflict).Errorf("version %d by %s was published first: %s", lost.Current, lost.Author, lost.Reason)
	}
	if p, ok := problemOf(body); ok && p.Outcome == apiv1.Refused || status >= 400 && status < 500 {
		return published, oops.Code(exits.Refused).Errorf("refused: %s", problemText(status, body))
	}
	return published, oops.Code(exits.Unknown).Errorf("%s", problemText(status, body))
}

// lookUp looks for the change in the configuration in force and returns cause if it does
// not appear: it may still be accepted, or have been followed by another change.
func (c *Client) lookUp(ctx context.Context, id string, bounds Timeouts, cause error) (apiv1.Published, error) {
	ctx, cancel := context.WithTimeout(ctx, bounds.Lookup)
	defer cancel()
	for {
		config, err := c.Config(ctx)
		if err == nil && config.PublishID == id {
			return apiv1.Published{Version: config.Version, Accepted: true}, nil
		}
		select {
		case <-ctx.Done():
			return apiv1.Published{}, cause
		case <-time.After(bounds.PollInterval):
		}
	}
}

// Rollout says which hosts have a version, or a later one, in force.
type Rollout struct {
	Version     int64          `json:"version"`
	Confirmed   []string       `json:"confirmed"`
	Unconfirmed []string       `json:"unconfirmed"`
	Waited      units.Duration `json:"waited"`
}

// AwaitConfirmations reads the confirmations every poll until all hosts have the version in force or
// bound has passed since the call. The error has code Unreachable if no read succeeded.
func (c *Client) AwaitConfirmations(ctx context.Context, version int64, bound, poll time.Duration) (Rollout, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	last, known := Rollout{Version: version}, false
	var failure error
	for {
		answer, err := c.Confirmations(ctx)
		if err == nil {
			last, known = count(version, answer), true
		} else if failure == nil || ctx.Err() == nil {
			failure = err
		}
		last.Waited = units.Duration(time.Since(start).Round(time.Millisecond))
		if known && len(last.Unconfirmed) == 0 && len(last.Confirmed) > 0 {
			return last, nil
		}
		select {
		case <-ctx.Done():
			if known {
				return last, nil
			}
			return last, failure
		case <-time.After(poll):
		}
	}
}

func count(version int64, answer apiv1.Confirmations) Rollout {
	c := Rollout{Version: version, Confirmed: []string{}, Unconfirmed: []string{}}
	for _, h := range answer.Hosts {
		if h.Version >= version {
			c.Confirmed = append(c.Confirmed, h.Host)
		} else {
			c.Unconfirmed = append(c.Unconfirmed, h.Host)
		}
	}
	return c
}
