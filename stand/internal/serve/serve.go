// Package serve runs the HTTP listeners of a process until it gets a signal.
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

// Endpoint is a listener and its handler. Address is "ip:port".
type Endpoint struct {
	Name    string
	Address string
	Handler http.Handler
}

// stopTimeout bounds the time for calls in flight after a signal. Without it, long polls would
// delay the exit.
const stopTimeout = 300 * time.Millisecond

// Run builds an application from opts, which must provide []Endpoint and a logr.Logger, and
// serves the endpoints until the process gets SIGINT or SIGTERM.
func Run(opts ...fx.Option) error {
	app := fx.New(append(opts, fx.NopLogger, fx.Invoke(startListeners))...)
	if err := app.Start(context.Background()); err != nil {
		return oops.Wrapf(err, "start")
	}
	signal := <-app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return oops.Wrapf(err, "stop")
	}
	if signal.ExitCode != 0 {
		return oops.Errorf("a listener failed")
	}
	return nil
}

// startListeners binds all endpoints before it serves any of them, so that a port in use fails
// the start.
func startListeners(lc fx.Lifecycle, shutdowner fx.Shutdowner, log logr.Logger, endpoints []Endpoint) {
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
						_ = shutdowner.Shutdown(fx.ExitCode(1))
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
