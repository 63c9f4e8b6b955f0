package fleet

import (
	"context"
	"io"
	"net/http"
	"time"
)

// retryPause is waited after the weight store refused a fetch.
const retryPause = 200 * time.Millisecond

// weights returns a function that loads a model from the weight store and repeats
// what the store refuses, or nil without a store.
func weights(base, model string) func(ctx context.Context) {
	if base == "" {
		return nil
	}
	return func(ctx context.Context) {
		for ctx.Err() == nil && !fetch(ctx, base+"/v1/weights/"+model) {
			select {
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
		}
	}
}

func fetch(ctx context.Context, url string) bool {
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
