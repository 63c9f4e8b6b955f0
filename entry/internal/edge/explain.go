package edge

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"chivepost/entry/internal/pick"
	"chivepost/platform/wire"
	"chivepost/share/apiv1"
	"chivepost/share/fleet"
)

// Explainer tells where this host would send a request now. It sends nothing.
type Explainer struct {
	Handler *Handler
	Host    string
	// StageHome returns the name of the host that queues the stages of a request.
	StageHome func(stages []fleet.Stage) string
}

// ServeHTTP answers with an apiv1.Explanation: 400 if the prefix can't be read, 404 if no route
// or account fits, and 503 without a configuration.
func (e *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out, status, reason := e.explain(r)
	if status != http.StatusOK {
		http.Error(w, reason, status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // a caller that disconnected needs no response
}

func (e *Explainer) explain(r *http.Request) (out apiv1.Explanation, status int, reason string) {
	h, q := e.Handler, r.URL.Query()
	view, now := h.tables.View(), time.Now()
	if view.Config == nil {
		return out, http.StatusServiceUnavailable, "the host has no configuration yet"
	}
	host, _, _ := strings.Cut(q.Get(apiv1.ParamHost), ":")
	route, ok := view.Config.Route(host, q.Get(apiv1.ParamPath))
	if !ok {
		return out, http.StatusNotFound, "no route has this host and path"
	}
	c := &call{h: h, route: route, config: view.Config, regions: route.Regions}
	if name := q.Get(apiv1.ParamAccount); name != "" {
		i := slices.IndexFunc(view.Config.Accounts, func(a fleet.Account) bool { return a.Name == name })
		if i < 0 {
			return out, http.StatusNotFound, "no client account has this name"
		}
		c.regions = intersect(route.Regions, view.Config.Accounts[i].Regions)
	}
	var err error
	if c.req, err = wire.DecodeRequest(http.Header{wire.HeaderPrefix: q[apiv1.ParamPrefix]}); err != nil {
		return out, http.StatusBadRequest, err.Error()
	}
	out = apiv1.Explanation{
		Host: e.Host, ConfigVersion: view.Config.Version, Route: route.Name, ObjectiveMS: route.LatencyObjective.Milliseconds(),
		TimeoutMS: route.Timeout.Milliseconds(), Regions: c.regions,
	}
	if len(route.Stages) > 0 {
		out.StageHome = e.StageHome(route.Stages)
	}
	for _, share := range route.Shares {
		c.service = view.Config.Services[share.Service]
		selected := h.opts.Rollouts.Select(view, share.Service, route.Name, false, now)
		s := h.balancer.Explain(pick.Query{
			Targets: selected.Targets, Regions: c.regions, Affinity: c.prefixID(), ColdLimit: c.service.ColdPerSecond, Slots: c.service.Slots,
		}, now)
		s.Service, s.Weight = share.Service, share.Weight
		out.Services = append(out.Services, s)
	}
	return out, http.StatusOK, ""
}
