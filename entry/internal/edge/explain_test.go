package edge

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"chivepost/share/apiv1"
	"chivepost/share/fleet"
)

// An explanation must send nothing, and refuse what names no route, account or prompt.
func TestExplanationSendsNothing(t *testing.T) {
	h := startHost(t, fakeStages{}, ok, ok)
	e := &Explainer{Handler: h.handler, Host: "h", StageHome: func([]fleet.Stage) string { return "home" }}
	tests := []struct {
		query     string
		status    int
		targets   int
		home      string
		isRefusal bool
	}{
		{query: "host=svc&path=/once/x", status: 200, targets: 2},
		{query: "host=svc:80&path=/staged/x&account=acme&prefix=a1:500,b2:20", status: 200, targets: 2, home: "home"},
		{query: "host=svc&path=/home/x", status: 200, targets: 2, isRefusal: true},
		{query: "host=svc&path=/none", status: 404},
		{query: "host=svc&path=/once/x&account=none", status: 404},
		{query: "host=svc&path=/once/x&prefix=a1:many", status: 400},
	}
	for _, test := range tests {
		t.Run(test.query, func(t *testing.T) {
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, apiv1.PathExplain+"?"+test.query, nil))
			if w.Code != test.status {
				t.Fatalf("status %d (%s), want %d", w.Code, w.Body, test.status)
			}
			if w.Code != http.StatusOK {
				return
			}
			var got apiv1.Explanation
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if len(got.Services) != 1 || len(got.Services[0].Targets) != test.targets || got.StageHome != test.home {
				t.Fatalf("got %+v, want one service with %d targets, stages at %q", got, test.targets, test.home)
			}
			if s := got.Services[0]; (s.Chosen == "") != test.isRefusal || (s.Refusal == "") == test.isRefusal {
				t.Errorf("chosen %q, refusal %q", s.Chosen, s.Refusal)
			}
		})
	}
	if n := h.runs.Load(); n > 0 {
		t.Errorf("%d requests reached a target", n)
	}
}
