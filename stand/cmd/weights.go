package cmd

import (
	"go.uber.org/fx"

	"chivepost/stand/internal/serve"
	"chivepost/stand/internal/store"
)

type weightsCmd struct {
	Listen    string  `help:"Address to listen on." default:"127.0.0.1:7002"`
	FetchRate float64 `help:"Fetches accepted per second." default:"5"`
	Size      int     `help:"Bytes of each model." default:"1048576"`
	ByteRate  int     `help:"Bytes per second over all fetches." default:"10485760"`
}

// Run serves the weight store until a signal.
func (c *weightsCmd) Run() error {
	return run("weights",
		fx.Supply(store.Options{FetchRate: c.FetchRate, Size: c.Size, ByteRate: c.ByteRate}),
		fx.Provide(store.New, func(s *store.Service) []serve.Endpoint {
			return []serve.Endpoint{{Name: "weights", Address: c.Listen, Handler: s.Handler()}}
		}),
	)
}
