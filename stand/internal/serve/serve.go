// Package serve runs the listeners of one process until a signal ends it.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/oops"
	"go.uber.org/fx"
)

// Endpoint is one listener. Address is "ip:port".
type Endpoint struct {
	Name    string
	Address string
	Handler http.Handler
}

// stopTimeout bounds how long calls in flight may take after a signal: long polls
// would otherwise hold up the exit.
const stopTimeout = 300 * time.Millisecond

// Run builds an application whose constructors provide []Endpoint and a
// logr.Logger and serves the endpoints until the process gets SIGINT or SIGTERM.
func Run(opts ...fx.Option) error {
	app := fx.New(append(opts, fx.NopLogger, fx.Invoke(listen))...)
	if err := app.Start(context.Background()); err != nil {
		return oops.Wrapf(err, "start")
	}
	end := <-app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return oops.Wrapf(err, "stop")
	}
	if end.ExitCode != 0 {
		return oops.Errorf("a listener failed")
	}
	return nil
}

// listen binds all endpoints before any of them serves, so that a taken port stops
// the start.
func listen(lc fx.Lifecycle, down fx.Shutdowner, log logr.Logger, endpoints []Endpoint) {
	var servers []*http.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listeners := make([]net.Listener, len(endpoints))
			for i, e := range endpoints {
				l, err := net.Listen("tcp", e.Address)
				if err != nil {
					return oops.With("endpoint", e.Name).Wrapf(err, "listen on %s", e.Address)
				}
				listeners[i] = l
			}
			for i, e := range endpoints {
				s := &http.Server{Handler: e.Handler, ReadHeaderTimeout: 5 * time.Second}
				servers = append(servers, s)
				go func() {
					if err := s.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
						log.Error(err, "listener failed", "endpoint", e.Name)
						_ = down.Shutdown(fx.ExitCode(1))
					}
				}()
			}
			log.Info("serving", "endpoints_count", len(endpoints))
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, stopTimeout)
			defer cancel()
			done := make(chan struct{})
			for _, s := range servers {
				go func() {
					if s.Shutdown(ctx) != nil {
						_ = s.Close()
					}
					done <- struct{}{}
				}()
			}
			for range servers {
				<-done
			}
			return nil
		},
	})
}
