package cmd

import (
	"fmt"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chivepost/entry/internal/conf"
	"chivepost/entry/internal/invar"
)

// newLogger returns a logger that writes JSON lines to standard error. Repeated
// lines are sampled, so that a fault that repeats can't fill the output.
func newLogger(s conf.Settings) (logr.Logger, error) {
	level := map[string]zapcore.Level{"debug": zap.DebugLevel, "info": zap.InfoLevel, "error": zap.ErrorLevel}[s.Output.LogLevel]
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(level)
	cfg.DisableStacktrace = true
	cfg.Sampling = &zap.SamplingConfig{Initial: 20, Thereafter: 1000}
	z, err := cfg.Build()
	if err != nil {
		return logr.Logger{}, fmt.Errorf("build logger: %w", err)
	}
	log := zapr.NewLogger(z)
	invar.OnViolation(func(b invar.ViolationError) {
		log.Error(b, "invariant broken, stopping")
		_ = z.Sync()
	})
	return log, nil
}
