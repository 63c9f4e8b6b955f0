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

// shownSettings is what settings prints.
type shownSettings struct {
	Settings []inicfg.Origin `json:"settings"`
}

// Run shows the settings in force.
func (c *settingsCmd) Run(r *run, root *cli) error {
	path := c.File
	if path == "" {
		path = root.SettingsFile
	}
	_, loaded, err := prefs.Load(path, r.flags)
	if err != nil {
		return invalid(err)
	}
	return r.print(shownSettings{Settings: loaded.Origins()})
}

// Text writes a line for each setting.
func (s shownSettings) Text(w io.Writer) error {
	rows := [][]string{{"SECTION", "KEY", "VALUE", "FROM"}}
	for _, o := range s.Settings {
		rows = append(rows, []string{o.Section, o.Key, o.Value, o.From})
	}
	return output.Table(w, rows)
}
