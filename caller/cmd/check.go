package cmd

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/samber/oops"

	"chivepost/caller/internal/check"
	"chivepost/caller/internal/expect"
	"chivepost/share/target"
)

type checkCmd struct {
	Files        []string      `arg:"" help:"Event files of callers, entry hosts and targets." type:"existingfile"`
	Bundle       string        `help:"Configuration written by chive-stand plan." required:"" type:"existingfile"`
	Ledger       []string      `help:"Addresses of target processes' common listeners, or files with their ledgers."`
	Killed       []string      `help:"Entry hosts that were killed during the run, or the event files of killed processes where each process has its own."`
	ColdNotice   time.Duration `help:"Time after an unannounced cold start in which calls above the cold limit are not counted as violations." default:"1s"`
	LeavingBound time.Duration `help:"Time after which a leaving target may receive no new call." default:"4s"`
	Strict       bool          `help:"Count requests without an outcome as violations."`
	JSON         bool          `help:"Print JSON." name:"json"`
}

// Run checks the files. The exit code is 1 if there is a violation.
func (c *checkCmd) Run(ctx context.Context, out output) error {
	b, err := expect.ReadConfig(c.Bundle)
	if err != nil {
		return err
	}
	opts := check.Options{
		Bundle: b, HasLedgers: len(c.Ledger) > 0, Killed: c.Killed,
		ColdNotice: c.ColdNotice, LeavingBound: c.LeavingBound, Strict: c.Strict,
	}
	for _, name := range c.Ledger {
		ledger, err := readLedger(ctx, name)
		if err != nil {
			return oops.With("ledger", name).Wrapf(err, "read ledger")
		}
		opts.Ledgers = append(opts.Ledgers, ledger.Entries...)
	}
	var files []check.EventFile
	for _, path := range c.Files {
		file, err := readEvents(path)
		if err != nil {
			return err
		}
		files = append(files, file)
	}
	report := check.Run(files, opts)
	if c.JSON {
		err = writeJSON(out, report)
	} else {
		err = report.WriteTable(out)
	}
	if err == nil && report.Violations.Total() > 0 {
		return errFailed
	}
	return err
}

func readEvents(path string) (check.EventFile, error) {
	f, err := os.Open(path)
	if err != nil {
		return check.EventFile{}, oops.Wrapf(err, "open events")
	}
	defer func() { _ = f.Close() }()
	return check.ReadEvents(path, f)
}

// readLedger reads the file of that name or, if there is none, the ledger of the target
// process with that address.
func readLedger(ctx context.Context, name string) (target.Ledger, error) {
	var ledger target.Ledger
	if f, err := os.Open(name); err == nil {
		defer func() { _ = f.Close() }()
		err = json.NewDecoder(f).Decode(&ledger)
		return ledger, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+name+"/v1/ledger", http.NoBody)
	if err != nil {
		return ledger, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ledger, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return ledger, oops.Errorf("get /v1/ledger: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&ledger)
	return ledger, err
}
