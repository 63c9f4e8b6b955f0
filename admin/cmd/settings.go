package cmd

import (
	"io"

	"chivepost/admin/internal/output"
	"chivepost/admin/internal/prefs"
	"chivepost/share/inicfg"
)

type settingsCmd struct {
	File string `arg:"" optional:"" predictor:"file" help:"Settings file of chivectl; the one of --settings if not given."`
}

// settingsResult is the result of settings.
type settingsResult struct {
	Settings []inicfg.Origin `json:"settings"`
}

// Run prints the settings in force and where each comes from.
func (c *settingsCmd) Run(e *env, root *cli) error {
	path := c.File
	if path == "" {
		path = root.SettingsFile
	}
	_, loaded, err := prefs.Load(path, e.flags)
	if err != nil {
		return invalidError(err)
	}
	return e.print(settingsResult{Settings: loaded.Origins()})
}

// Text writes one line for each setting.
func (s settingsResult) Text(w io.Writer) error {
	rows := [][]string{{"SECTION", "KEY", "VALUE", "FROM"}}
	for _, o := range s.Settings {
		rows = append(rows, []string{o.Section, o.Key, o.Value, o.From})
	}
	return output.Table(w, rows)
}
