package cmd

import (
	"fmt"
	"os"
	"text/tabwriter"

	"chivepost/entry/internal/conf"
	"chivepost/share/inicfg"
)

type settingsCmd struct {
	File string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run prints the settings in force and where each comes from.
func (c *settingsCmd) Run() error {
	_, settings, err := conf.Load(c.File)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, o := range settings.Origins() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", o.Section, o.Key, o.Value, o.From)
	}
	return w.Flush()
}

type docsCmd struct{}

// Run prints the reference of all settings as Markdown.
func (c *docsCmd) Run() error {
	text, err := inicfg.Reference(&conf.Settings{})
	if err != nil {
		return err
	}
	_, err = fmt.Print(text)
	return err
}
