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

// run is what every command works with.
type run struct {
	ctx    context.Context
	prefs  *prefs.Prefs
	client *oper.Client
	out    io.Writer
	flags  prefs.Flags
}

func newRun(ctx context.Context, c *cli, stdout, stderr io.Writer) (*run, error) {
	flags := prefs.Flags{Operator: c.Operator, Output: c.Output}
	settings, _, err := prefs.Load(c.SettingsFile, flags)
	if err != nil {
		return nil, invalid(err)
	}
	log := logr.Discard()
	if c.Verbose {
		log = newLog(stderr)
	}
	// Each call has a connection of its own and follows no redirect, so that a publish call is
	// sent at most once. The dialer's own bound lets a publish go on to the next address.
	dialer := &net.Dialer{Timeout: settings.Operator.Timeout}
	doer := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	client := oper.New(settings.Operator.Addresses, doer, settings.Operator.Timeout, log)
	return &run{ctx: ctx, prefs: settings, client: client, out: stdout, flags: flags}, nil
}

func newLog(w io.Writer) logr.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(w), zapcore.DebugLevel)
	return zapr.NewLogger(zap.New(core))
}

func (r *run) print(result output.Result) error {
	return output.Print(r.out, output.Format(r.prefs.Output.Format), result)
}

// author returns the author of changes: flag, setting, or user@host.
func (r *run) author(flag string) string {
	if flag != "" {
		return flag
	}
	if r.prefs.Publish.Author != "" {
		return r.prefs.Publish.Author
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

// parse reads the service files below dir.
func parse(dir string) (bundle.Doc, error) {
	doc, err := bundle.ParseDir(dir)
	if err != nil {
		return doc, invalid(err)
	}
	return doc, nil
}

// invalid gives err the code for faulty files.
func invalid(err error) error {
	var files *inicfg.ProblemsError
	if errors.As(err, &files) {
		return oops.Code(exits.Invalid).Wrap(err)
	}
	return oops.Code(exits.Invalid).Wrapf(err, "read files")
}
