package cmd

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/user"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chivepost/admin/internal/exits"
	"chivepost/admin/internal/oper"
	"chivepost/admin/internal/output"
	"chivepost/admin/internal/prefs"
	"chivepost/share/bundle"
	"chivepost/share/inicfg"
)

// env holds what all commands share.
type env struct {
	ctx    context.Context
	prefs  *prefs.Prefs
	client *oper.Client
	out    io.Writer
	flags  prefs.Flags
}

func newEnv(ctx context.Context, c *cli, stdout, stderr io.Writer) (*env, error) {
	flags := prefs.Flags{Operator: c.Operator, Output: c.Output}
	settings, _, err := prefs.Load(c.SettingsFile, flags)
	if err != nil {
		return nil, invalidError(err)
	}
	log := logr.Discard()
	if c.Verbose {
		log = newLog(stderr)
	}
	// Each call opens a new connection and follows no redirect, so that a publish call is sent at most
	// once. The dialer has its own timeout so that a publish can go on to the next address.
	dialer := &net.Dialer{Timeout: settings.Operator.Timeout}
	httpClient := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	client := oper.New(settings.Operator.Addresses, httpClient, settings.Operator.Timeout, log)
	return &env{ctx: ctx, prefs: settings, client: client, out: stdout, flags: flags}, nil
}

func newLog(w io.Writer) logr.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(w), zapcore.DebugLevel)
	return zapr.NewLogger(zap.New(core))
}

func (e *env) print(result output.Result) error {
	return output.Print(e.out, output.Format(e.prefs.Output.Format), result)
}

// author returns the author of a change: the flag, or the setting, or user@host.
func (e *env) author(flag string) string {
	if flag != "" {
		return flag
	}
	if e.prefs.Publish.Author != "" {
		return e.prefs.Publish.Author
	}
	name, host := "unknown", "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if h, err := os.Hostname(); err == nil {
		host = h
	}
	return name + "@" + host
}

// parseServiceFiles reads the service files below dir.
func parseServiceFiles(dir string) (bundle.Doc, error) {
	doc, err := bundle.ParseDir(dir)
	if err != nil {
		return doc, invalidError(err)
	}
	return doc, nil
}

// invalidError gives err the exit code for invalid files.
func invalidError(err error) error {
	var problemsErr *inicfg.ProblemsError
	if errors.As(err, &problemsErr) {
		return oops.Code(exits.Invalid).Wrap(err)
	}
	return oops.Code(exits.Invalid).Wrapf(err, "read files")
}
