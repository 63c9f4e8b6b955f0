package logsrv_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chivepost/share/logsvc"
	"chivepost/stand/internal/logsrv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestLogsrv(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "logsrv")
}

// inVirtualTime runs a spec in virtual time.
func inVirtualTime(f func()) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			f()
		})
	}
}

// handlerTransport calls a handler without a network, so that time can be virtual.
type handlerTransport struct{ http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = fmt.Errorf("connection broken")
		}
	}()
	w := httptest.NewRecorder()
	t.ServeHTTP(w, r)
	return w.Result(), nil
}

func start(opts logsrv.Options) (*logsvc.Client, func(faults string)) {
	h := logsrv.New(opts).Handler()
	set := func(faults string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/faults", strings.NewReader(faults)))
		Expect(w.Code).To(Equal(http.StatusOK), w.Body.String())
	}
	return logsvc.New("http://log", &http.Client{Transport: handlerTransport{h}}, logsvc.WithDataCentre("thies")), set
}

var (
	options = logsrv.Options{AppendRate: 1000, Retention: time.Hour, Seed: 1}
	ctx     = context.Background()
)

func records(texts ...string) [][]byte {
	var out [][]byte
	for _, t := range texts {
		out = append(out, []byte(t))
	}
	return out
}

var _ = Describe("the log service", func() {
	// Guards against offsets with gaps and offsets shared between streams.
	It("assigns contiguous offsets from 1 in each stream", inVirtualTime(func() {
		log, _ := start(options)
		Expect(log.Append(ctx, "claims", records("a", "b"))).To(BeEquivalentTo(1))
		Expect(log.Append(ctx, "claims", records("c"))).To(BeEquivalentTo(3))
		Expect(log.Append(ctx, "config", records("d"))).To(BeEquivalentTo(1))
		page, err := log.Read(ctx, "claims", 2, 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(Equal(logsvc.Page{First: 1, Next: 4, Records: []logsvc.Record{{Offset: 2, Data: []byte("b")}}}))
	}))

	// Guards against readers that receive a record only at their next poll.
	It("ends a waiting read at the next append, or without records after the wait", inVirtualTime(func() {
		log, _ := start(options)
		go func() {
			time.Sleep(300 * time.Millisecond)
			_, _ = log.Append(ctx, "claims", records("a"))
		}()
		began := time.Now()
		page, err := log.Read(ctx, "claims", 1, 10, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(1))
		Expect(time.Since(began)).To(Equal(300 * time.Millisecond))
		page, err = log.Read(ctx, "claims", 2, 10, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(Equal(logsvc.Page{First: 1, Next: 2, Records: []logsvc.Record{}}))
		Expect(time.Since(began)).To(Equal(1300 * time.Millisecond))
	}))

	// Guards against expired records that are still served or shift offsets.
	It("drops records after the retention and doesn't reuse their offsets", inVirtualTime(func() {
		log, _ := start(options)
		_, _ = log.Append(ctx, "claims", records("a", "b"))
		time.Sleep(61 * time.Minute)
		Expect(log.Append(ctx, "claims", records("c"))).To(BeEquivalentTo(3))
		page, err := log.Read(ctx, "claims", 1, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(Equal(logsvc.Page{First: 3, Next: 4, Records: []logsvc.Record{{Offset: 3, Data: []byte("c")}}}))
	}))

	// Guards against a client that reports a refused append as unknown.
	It("refuses appends above the rate without effect", inVirtualTime(func() {
		log, _ := start(logsrv.Options{AppendRate: 10, Retention: time.Hour})
		Expect(log.Append(ctx, "claims", records("a"))).To(BeEquivalentTo(1))
		_, err := log.Append(ctx, "claims", records("b"))
		Expect(err).To(MatchError(logsvc.ErrUnavailable))
		time.Sleep(100 * time.Millisecond)
		Expect(log.Append(ctx, "claims", records("c"))).To(BeEquivalentTo(2))
	}))

	// Guards against a client that reports an append as refused when its answer is lost.
	It("loses the answer after the append has taken effect", inVirtualTime(func() {
		log, set := start(options)
		set(`{"lose_answers":1}`)
		_, err := log.Append(ctx, "claims", records("a"))
		Expect(err).To(MatchError(logsvc.ErrUnknown))
		set(`{"lose_answers":0}`)
		page, err := log.Read(ctx, "claims", 1, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(1))
	}))

	// Guards against an outage that looks like an empty stream to a waiting reader.
	It("fails calls while it is down or cut off", inVirtualTime(func() {
		log, set := start(options)
		set(`{"down":true}`)
		_, err := log.Append(ctx, "claims", records("a"))
		Expect(err).To(MatchError(logsvc.ErrUnavailable))
		_, err = log.Read(ctx, "claims", 1, 10, time.Second)
		Expect(err).To(MatchError(logsvc.ErrUnavailable))
		set(`{"down":false,"cut":["thies"]}`)
		_, err = log.Read(ctx, "claims", 1, 10, time.Second)
		Expect(err).To(MatchError(logsvc.ErrUnavailable))
	}))
})
