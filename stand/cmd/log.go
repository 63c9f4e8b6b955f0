package cmd

import (
	"time"

	"go.uber.org/fx"

	"chivepost/stand/internal/logsrv"
	"chivepost/stand/internal/serve"
)

type logCmd struct {
	Listen     string        `help:"Address to listen on." default:"127.0.0.1:7000"`
	AppendRate float64       `help:"Appends accepted per second over all streams." default:"500"`
	Retention  time.Duration `help:"How long records are kept." default:"1h"`
	Seed       uint64        `help:"Seed of random faults." default:"1"`
}

// Run serves the log service until a signal.
func (c *logCmd) Run() error {
	return run("log",
		fx.Supply(logsrv.Options{AppendRate: c.AppendRate, Retention: c.Retention, Seed: c.Seed}),
		fx.Provide(logsrv.New, func(s *logsrv.Service) []serve.Endpoint {
			return []serve.Endpoint{{Name: "log", Address: c.Listen, Handler: s.Handler()}}
		}),
	)
}
