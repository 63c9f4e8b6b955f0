package edge

import (
	"expvar"
	"net/http"
	"strconv"
	"time"

	"chivepost/share/fleet"
)

var (
	answers = expvar.NewMap("edge_answers_by_status_count")
	reasons = expvar.NewMap("edge_refusals_by_reason_count")
	// Histograms of the time to the first byte, with the upper bound of each step.
	firstTimes = expvar.NewMap("edge_first_byte_by_ms_count")
	sendCount  = expvar.NewInt("edge_sends_count")
	resumeSum  = expvar.NewInt("edge_resumes_count")
)

// firstSteps are the upper bounds of the histogram's steps.
var firstSteps = []time.Duration{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

func firstStep(d time.Duration) string {
	for _, s := range firstSteps {
		if d <= s {
			return strconv.FormatInt(s.Milliseconds(), 10)
		}
	}
	return "more"
}

// record counts the request and writes its log line: what was decided, from what
// and how it ended.
func (c *call) record() {
	answers.Add(strconv.Itoa(c.status), 1)
	sendCount.Add(int64(c.sends))
	resumeSum.Add(int64(c.resumes))
	if c.first > 0 {
		firstTimes.Add(firstStep(c.first), 1)
	}
	if c.status == http.StatusServiceUnavailable {
		reasons.Add(c.reasonClass(), 1)
	}
	name, version := "", int64(0)
	if c.route != nil {
		name = c.route.Name
	}
	if c.config != nil {
		version = c.config.Version
	}
	c.f.logger.Info("request", "id", c.req.ID, "route", name, "config_version", version, "priority", c.priority,
		"status", c.status, "reason", c.reason, "target", c.target, "service", c.service.Name, "sends", c.sends,
		"resumes", c.resumes, "pieces", c.pieces, "waited", c.waited.Round(time.Millisecond).String(), "stage_runs", c.stageRuns,
		"staged", c.staged.Round(time.Millisecond).String(), "first", c.first.Round(time.Millisecond).String(),
		"took", time.Since(c.start).Round(time.Millisecond).String(), "events", c.events, "aim", c.aim().String(),
		"time_left", c.req.TimeLeft.String(), "retry_after", c.retryAt.Round(time.Millisecond).String(),
		"from_event", c.isResumed, "kind", c.kind())
}

func (c *call) aim() time.Duration {
	if c.route == nil {
		return 0
	}
	return c.route.Aim
}

func (c *call) kind() string {
	if c.route == nil {
		return ""
	}
	return map[fleet.Repeat]string{fleet.RepeatNever: "once", fleet.RepeatFreely: "repeatable", fleet.RepeatStream: "stream"}[c.route.Repeat]
}

// reasonClass keeps the map of counters small.
func (c *call) reasonClass() string {
	switch {
	case c.config == nil:
		return "no_configuration"
	case c.sends > 0:
		return "target_refused"
	case c.staged > 0 && c.results == nil:
		return "stages"
	}
	return "no_target"
}
