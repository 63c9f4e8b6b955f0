// Package store stands in for the platform's rate-limited weight store.
package store

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"chivepost/stand/internal/serve"
)

// Options set up a Service.
type Options struct {
	// FetchRate is the number of fetches a second taken.
	FetchRate float64
	// Size is the number of bytes of each model's stand-in weights.
	Size int
	// ByteRate is the number of bytes a second over all fetches.
	ByteRate int
}

// Service serves weights as zero bytes.
type Service struct {
	opts    Options
	fetches *rate.Limiter
	bytes   *rate.Limiter
}

// block is the number of bytes written at once.
const block = 16 << 10

// New returns a weight store.
func New(opts Options) *Service {
	return &Service{
		opts:    opts,
		fetches: rate.NewLimiter(rate.Limit(opts.FetchRate), max(1, int(opts.FetchRate))),
		bytes:   rate.NewLimiter(rate.Limit(opts.ByteRate), max(block, opts.ByteRate/10)),
	}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/weights/{model}", s.fetch).Methods(http.MethodGet)
	return r
}

func (s *Service) fetch(w http.ResponseWriter, r *http.Request) {
	if !s.fetches.Allow() {
		w.Header().Set("Retry-After", strconv.Itoa(int(time.Second.Seconds())))
		serve.WriteError(w, http.StatusTooManyRequests, "fetch rate")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.opts.Size))
	data := make([]byte, block)
	for left := s.opts.Size; left > 0; {
		n := min(left, block)
		if s.bytes.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		left -= n
	}
}
