package edge

import (
	"context"
	"time"

	"chivepost/entry/internal/drain"
)

// Shutdown shuts the handler and its server down by a plan. It returns an error if a request or a
// connection had to be given up.
func (h *Handler) Shutdown(plan drain.Plan, server *drain.Server) error {
	h.Leave(plan)
	server.Leave()
	time.Sleep(time.Until(plan.Closing))
	// Callers that don't read must not keep their requests from ending in time.
	writeBy := plan.Abort.Add(plan.End.Sub(plan.Abort) / 2)
	abort := time.AfterFunc(time.Until(plan.Abort), func() { h.Abort(writeBy) })
	defer abort.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), plan.End)
	defer cancel()
	err := server.Shutdown(ctx)
	h.LogPending()
	return err
}
