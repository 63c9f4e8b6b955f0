package edge

import (
	"expvar"
	"net/http"
	"strconv"
	"time"

	"chivepost/entry/internal/pick"
	"chivepost/share/fleet"
)

var (
	answersByStatus  = expvar.NewMap("edge_answers_by_status_count")
	refusalsByReason = expvar.NewMap("edge_refusals_by_reason_count")
	// Histogram of the time to the first byte; keys are the upper bounds of the buckets.
	firstByteTimes = expvar.NewMap("edge_first_byte_by_ms_count")
	sendCount      = expvar.NewInt("edge_sends_count")
	takenLeaving   = expvar.NewInt("edge_requests_while_leaving_count")
	abandonedCount = expvar.NewInt("edge_requests_abandoned_count")
	brokenAnswers  = expvar.NewInt("edge_target_answers_broken_count")
	resumeCount    = expvar.NewInt("edge_resumes_count")
	// failedResumeCount counts answers that don't go on with the stream that they were to resume.
	failedResumeCount = expvar.NewInt("edge_resumes_failed_count")
	// heldShortCount counts answers that were relayed at the caller's pace for lack of memory.
	heldShortCount = expvar.NewInt("edge_answers_not_held_count")
)

// firstByteBuckets are the upper bounds of the histogram's buckets.
var firstByteBuckets = []time.Duration{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

func firstByteBucket(d time.Duration) string {
	for _, s := range firstByteBuckets {
		if d <= s {
			return strconv.FormatInt(s.Milliseconds(), 10)
		}
	}
	return "more"
}

// record counts the request and writes its log line.
func (c *call) record() {
	answersByStatus.Add(strconv.Itoa(c.status), 1)
	sendCount.Add(int64(c.sends))
	resumeCount.Add(int64(c.resumes))
	if c.firstByte > 0 {
		firstByteTimes.Add(firstByteBucket(c.firstByte), 1)
	}
	if c.status == http.StatusServiceUnavailable {
		refusalsByReason.Add(c.refusalReason(), 1)
	}
	c.recordTimes(time.Now())
	if c.leavingFor > 0 {
		takenLeaving.Add(1)
	}
	name, version := "", int64(0)
	if c.route != nil {
		name = c.route.Name
	}
	if c.config != nil {
		version = c.config.Version
	}
	c.h.logger.Info("request", "id", c.req.ID, "route", name, "config_version", version, "priority", c.priority,
		"status", c.status, "reason", c.reason, "target", c.target, "service", c.service.Name, "sends", c.sends,
		"resumes", c.resumes, "pieces", c.pieceCount, "waited", c.stageWait.Round(time.Millisecond).String(), "stage_runs", c.stageRuns,
		"staged", c.stagesTook.Round(time.Millisecond).String(), "first", c.firstByte.Round(time.Millisecond).String(),
		"took", time.Since(c.start).Round(time.Millisecond).String(), "events", c.events, "aim", c.latencyObjective().String(),
		"time_left", c.req.TimeLeft.String(), "retry_after", c.retryAfter.Round(time.Millisecond).String(),
		"from_event", c.resumesStream, "kind", c.kind(), "leaving_for", c.leavingFor.Round(time.Millisecond).String(),
		"quarantined_part", c.quarantinedPart, "placed_at", c.placedAt)
}

// recordBroken counts and logs an answer that a target broke off, with the parts of the
// prompt that other requests share: they tell a target that fails from a prompt that
// makes targets fail.
func (c *call) recordBroken(t *pick.Chosen, begun bool, reason string) {
	brokenAnswers.Add(1)
	c.brokeOff = true
	c.h.logger.Info("target broke off", "id", c.req.ID, "target", t.ID, "started_at", t.StartMillis, "service", c.service.Name, "shared_parts", c.sharedParts(),
		"head_received", begun, "events", c.events, "reason", reason)
}

func (c *call) latencyObjective() time.Duration {
	if c.route == nil {
		return 0
	}
	return c.route.LatencyObjective
}

func (c *call) kind() string {
	if c.route == nil {
		return ""
	}
	return map[fleet.RetryPolicy]string{fleet.RetryNever: "once", fleet.RetryAlways: "repeatable", fleet.RetryStream: "stream"}[c.route.Retry]
}

// refusalReason returns the counter key of a refusal. The reason texts would be too many
// keys.
func (c *call) refusalReason() string {
	switch {
	case c.isRefusedLeaving:
		return "leaving"
	case c.isRefusedMemory:
		return "memory"
	case c.isRefusedActive:
		return "requests_in_progress"
	case c.config == nil:
		return "no_configuration"
	case c.quarantinedPart != "":
		return "quarantined_part"
	case c.retryIn > 0:
		return "targets_busy"
	case c.sends > 0:
		return "target_refused"
	case c.stagesTook > 0 && c.results == nil:
		return "stages"
	}
	return "no_target"
}
