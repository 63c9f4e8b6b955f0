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

// newLogger returns a logger that writes JSON lines to standard error. Repeated lines
// are sampled, so that a recurring fault can't flood the output.
func newLogger(s conf.Settings) (logr.Logger, error) {
	level := map[string]zapcore.Level{"debug": zap.DebugLevel, "info": zap.InfoLevel, "error": zap.ErrorLevel}[s.Output.LogLevel]
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(level)
	cfg.DisableStacktrace = true
	cfg.Sampling = &zap.SamplingConfig{Initial: 20, Thereafter: 1000}
	zapLog, err := cfg.Build()
	if err != nil {
		return logr.Logger{}, fmt.Errorf("build logger: %w", err)
	}
	log := zapr.NewLogger(zapLog)
	invar.OnViolation(func(violation invar.ViolationError) {
		log.Error(violation, "invariant broken, stopping")
		_ = zapLog.Sync()
	})
	return log, nil
}
