// Package poll tells a transport how long the server may hold a response, so that the
// transport can tell a long poll from a silent connection.
package poll

import (
	"context"
	"time"
)

type key struct{}

// WithWait returns a context of a call whose response the server may hold for this time.
func WithWait(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, key{}, wait)
}

// Wait returns the time for which the server may hold the response to a call.
func Wait(ctx context.Context) time.Duration {
	wait, _ := ctx.Value(key{}).(time.Duration)
	return wait
}
