package fleet

import (
	"context"
	"io"
	"net/http"
	"time"
)

// retryDelay is the delay after a failed fetch from the weight store.
const retryDelay = 200 * time.Millisecond

// weightLoader returns a function that loads a model from the weight store and retries until
// that succeeds, or nil without a store.
func weightLoader(base, model string) func(ctx context.Context) {
	if base == "" {
		return nil
	}
	return func(ctx context.Context) {
		for ctx.Err() == nil && !fetchWeights(ctx, base+"/v1/weights/"+model) {
			select {
			case <-time.After(retryDelay):
			case <-ctx.Done():
			}
		}
	}
}

// fetchWeights downloads and discards the weights and reports whether that succeeded.
func fetchWeights(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
