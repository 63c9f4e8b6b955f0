package front

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"chivepost/entry/internal/chain"
	"chivepost/entry/internal/config"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/burn"
	"chivepost/share/units"
)

// Publisher reads and publishes the configuration.
type Publisher interface {
	Current() (*bundle.Bundle, int64)
	Author() string
	Publish(ctx context.Context, base int64, author, publishID string, doc bundle.Doc) config.PublishResult
	Confirmations() []config.Confirmation
}

// Reporter reports the state of this host.
type Reporter interface {
	Status() apiv1.Status
	BurnSnapshot() burn.Snapshot
	// Hosts returns the names of the entry hosts that must confirm a configuration.
	Hosts() []string
}

// confirmTimeout is how long a publish waits for the hosts to confirm. An accepted
// configuration is in force on every host within this time.
const confirmTimeout = 4 * time.Second

// OperatorHandler serves the HTTP API for operators.
type OperatorHandler struct {
	host      string
	publisher Publisher
	reporter  Reporter
	maxBody   int64
}

// NewOperatorHandler returns the handler for operators of the entry host named host.
// maxBody limits the size of a published configuration, in bytes.
func NewOperatorHandler(host string, publisher Publisher, reporter Reporter, maxBody int64) *OperatorHandler {
	return &OperatorHandler{host: host, publisher: publisher, reporter: reporter, maxBody: maxBody}
}

// Router returns the routes for operators.
func (o *OperatorHandler) Router() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(apiv1.PathPublish, o.publish).Methods(http.MethodPost)
	r.HandleFunc(apiv1.PathConfig, o.config).Methods(http.MethodGet)
	r.HandleFunc(apiv1.PathConfirmations, o.confirmations).Methods(http.MethodGet)
	r.HandleFunc(apiv1.PathStatus, o.status).Methods(http.MethodGet)
	r.HandleFunc(apiv1.PathBurn, o.burn).Methods(http.MethodGet)
	r.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	return r
}

func (o *OperatorHandler) publish(w http.ResponseWriter, r *http.Request) {
	var body apiv1.Publish
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, o.maxBody)).Decode(&body); err != nil {
		writeProblem(w, chain.Refused("", apiv1.ProblemBadRequest, http.StatusBadRequest, err.Error()).Problem)
		return
	}
	res := o.publisher.Publish(r.Context(), body.Base, body.Author, body.PublishID, body.Doc)
	switch res.Kind {
	case config.Accepted:
		writeJSON(w, http.StatusOK, o.awaitConfirmations(r, res.Version))
	case config.Lost:
		writeJSON(w, http.StatusConflict, apiv1.PublishConflict{
			Current: res.Version, Author: res.Author, Reason: "another change from the same version was accepted first",
		})
	case config.Rejected:
		writeProblem(w, chain.Refused("", apiv1.ProblemBadRequest, http.StatusBadRequest, errText(res.Err)).Problem)
	case config.LogDown:
		writeProblem(w, chain.Refused("", apiv1.ProblemLogUnavailable, http.StatusServiceUnavailable, errText(res.Err)).Problem)
	default:
		writeProblem(w, chain.Unknown("", apiv1.ProblemLogUnavailable, http.StatusServiceUnavailable, errText(res.Err)).Problem)
	}
}

// awaitConfirmations waits until every host has confirmed the version, up to
// confirmTimeout, and returns which hosts have.
func (o *OperatorHandler) awaitConfirmations(r *http.Request, version int64) apiv1.Published {
	const pollInterval = 50 * time.Millisecond
	for deadline := time.Now().Add(confirmTimeout); ; {
		out := o.confirmedBy(version)
		if len(out.Unconfirmed) == 0 || time.Now().After(deadline) {
			return out
		}
		select {
		case <-r.Context().Done():
			return out
		case <-time.After(pollInterval):
		}
	}
}

// confirmedBy returns which hosts have confirmed the version or a later one.
func (o *OperatorHandler) confirmedBy(version int64) apiv1.Published {
	out := apiv1.Published{Version: version, Accepted: true, Confirmed: []apiv1.HostVersion{}, Unconfirmed: []string{}}
	versions := map[string]int64{o.host: version}
	for _, c := range o.publisher.Confirmations() {
		versions[c.Host] = c.Version
	}
	for _, host := range o.reporter.Hosts() {
		if versions[host] >= version {
			out.Confirmed = append(out.Confirmed, apiv1.HostVersion{Host: host, Version: versions[host]})
		} else {
			out.Unconfirmed = append(out.Unconfirmed, host)
		}
	}
	return out
}

func (o *OperatorHandler) config(w http.ResponseWriter, _ *http.Request) {
	b, version := o.publisher.Current()
	out := apiv1.Config{Version: version, Author: o.publisher.Author()}
	if b != nil {
		out.Doc = b.Doc()
	}
	writeJSON(w, http.StatusOK, out)
}

func (o *OperatorHandler) confirmations(w http.ResponseWriter, _ *http.Request) {
	_, version := o.publisher.Current()
	out := apiv1.Confirmations{Version: version, Hosts: []apiv1.Confirmation{{Host: o.host, Version: version}}}
	for _, c := range o.publisher.Confirmations() {
		out.Hosts = append(out.Hosts, apiv1.Confirmation{Host: c.Host, Version: c.Version, Age: units.Duration(c.Age)})
	}
	writeJSON(w, http.StatusOK, out)
}

func (o *OperatorHandler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.reporter.Status())
}

func (o *OperatorHandler) burn(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, apiv1.Burn{Host: o.host, Snapshot: o.reporter.BurnSnapshot()})
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
