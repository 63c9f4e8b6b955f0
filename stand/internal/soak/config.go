package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"chivepost/platform/feed"
)

// revoke adds to the number of revocations of revocableKey in force and publishes the result.
func (r *runner) revoke(n int) {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.revoked += n
	if r.revoked == 0 {
		r.checker.setRevoked(revocableKey, false)
	}
	r.publishLocked()
	if r.revoked > 0 {
		r.checker.setRevoked(revocableKey, true)
	}
}

// publish writes a new version of the configuration.
func (r *runner) publish() {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.publishLocked()
}

// publishLocked writes a new version of the configuration. The caller holds configMu.
func (r *runner) publishLocked() {
	r.version += 1 + int64(r.configRand.IntN(3))
	route := func(kind, routeType, service string, timeout time.Duration, more map[string]any) map[string]any {
		out := map[string]any{
			"Name": kind, "Host": "soak.example", "PathPrefix": "/" + kind + "/", "Type": routeType, "TimeoutMs": timeout.Milliseconds(),
			"TargetLatencyMs": 800, "Service": service, "MaxAttempts": 2,
		}
		maps.Copy(out, more)
		return out
	}
	stage := func(service string, after ...int) map[string]any {
		return map[string]any{"Service": service, "After": append([]int{}, after...), "ByteSize": 1000}
	}
	stream := func(latency int, stages ...any) map[string]any {
		return map[string]any{"Resumable": true, "Sticky": true, "ItlTargetMs": 300, "TargetLatencyMs": latency, "Stages": stages}
	}
	segments := func(callTime time.Duration) map[string]any {
		return map[string]any{
			"Slots": 1, "Queue": 50, "Batch": 16, "CallMs": callTime.Milliseconds(), "ItemMs": stageItemTime.Milliseconds(), "HeadroomMb": 10, "HandleTtlS": 4,
		}
	}
	service := func(name string, more map[string]any) map[string]any {
		out := map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConnections": 400}
		maps.Copy(out, more)
		return out
	}
	tenants := []map[string]any{{"Name": "spare", "ApiKeys": []string{fmt.Sprintf("spare-%d", r.version)}}}
	for _, k := range keys {
		if k.key != revocableKey || r.revoked == 0 {
			tenants = append(tenants, map[string]any{"Name": k.account, "ApiKeys": []string{k.key}})
		}
	}
	config, _ := json.Marshal(map[string]any{ // plain values don't fail
		"Version": r.version,
		"Routes": []any{
			route(kindOnce, "unsafe", servicePlain, callTimeout, nil), route(kindSafe, "safe", servicePlain, callTimeout, nil),
			route(kindCrowd, "safe", servicePlain, callTimeout, map[string]any{"Public": true}),
			route(kindStream, "streaming", serviceModel, callTimeout, stream(800, stage(serviceStages), stage(serviceStages, 0))),
			route(kindLong, "streaming", serviceModel, maxLongLimit,
				stream(4000, stage(serviceLongStages), stage(serviceLongStages, 0), stage(serviceLongStages, 1))),
		},
		"Services": []any{
			service(servicePlain, nil), service(serviceModel, map[string]any{"Engine": map[string]any{"Slots": 32}}),
			service(serviceStages, map[string]any{"Segments": segments(stageCallTime)}),
			service(serviceLongStages, map[string]any{"Segments": segments(longStageCallTime)}),
		},
		"Tenants": tenants,
	})
	r.store.put(feed.TopicOperator, feed.KeyConfig, config)
}
