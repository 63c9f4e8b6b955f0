// Package store implements a stand-in of the platform's rate-limited weight store.
package store

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"chivepost/stand/internal/serve"
)

// Options configure a Service.
type Options struct {
	// FetchRate is the number of fetches accepted per second.
	FetchRate float64
	// Size is the size of each model's weights in bytes.
	Size int
	// ByteRate is the number of bytes per second over all fetches.
	ByteRate int
}

// Service is a weight store whose weights are zero bytes.
type Service struct {
	opts         Options
	fetchLimiter *rate.Limiter
	byteLimiter  *rate.Limiter
}

// blockSize is the size of a write in bytes.
const blockSize = 16 << 10

// New returns a weight store.
func New(opts Options) *Service {
	return &Service{
		opts:         opts,
		fetchLimiter: rate.NewLimiter(rate.Limit(opts.FetchRate), max(1, int(opts.FetchRate))),
		byteLimiter:  rate.NewLimiter(rate.Limit(opts.ByteRate), max(blockSize, opts.ByteRate/10)),
	}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/weights/{model}", s.serveWeights).Methods(http.MethodGet)
	return r
}

func (s *Service) serveWeights(w http.ResponseWriter, r *http.Request) {
	if !s.fetchLimiter.Allow() {
		w.Header().Set("Retry-After", strconv.Itoa(int(time.Second.Seconds())))
		serve.WriteError(w, http.StatusTooManyRequests, "fetch rate exceeded")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.opts.Size))
	data := make([]byte, blockSize)
	for remaining := s.opts.Size; remaining > 0; {
		n := min(remaining, blockSize)
		if s.byteLimiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		remaining -= n
	}
}
