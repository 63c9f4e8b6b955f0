package cmd

import (
	"fmt"
	"io"
	"strings"

	"chivepost/admin/internal/output"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
)

type configCmd struct {
	Show      configShowCmd      `cmd:"" help:"Show the configuration in force as one service file." exits:"unreachable"`
	Confirmed configConfirmedCmd `cmd:"" help:"Show which hosts have confirmed which version." exits:"unreachable"`
}

type configShowCmd struct{}

// configResult is the result of config show.
type configResult struct{ apiv1.Config }

// Run prints the configuration in force.
func (c *configShowCmd) Run(e *env) error {
	config, err := e.client.Config(e.ctx)
	if err != nil {
		return err
	}
	return e.print(configResult{config})
}

// Text writes a service file. What has no place in service files, such as the version, is
// written as comments.
func (c configResult) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n", versionText(c.Version, c.Author))
	if len(c.Doc.DataCentresOut) > 0 {
		fmt.Fprintf(&b, "# data centres out: %s\n", strings.Join(c.Doc.DataCentresOut, ", "))
	}
	if text := bundle.Format(c.Doc); text != "" {
		b.WriteString("\n" + text)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

type configConfirmedCmd struct{}

// confirmationsResult is the result of config confirmed.
type confirmationsResult struct{ apiv1.Confirmations }

// Run prints the version that each host has in force.
func (c *configConfirmedCmd) Run(e *env) error {
	answer, err := e.client.Confirmations(e.ctx)
	if err != nil {
		return err
	}
	return e.print(confirmationsResult{answer})
}

// Text writes one line for each host.
func (c confirmationsResult) Text(w io.Writer) error {
	rows := [][]string{{"HOST", "VERSION", "AGE", "CONFIRMED"}}
	for _, h := range c.Hosts {
		rows = append(rows, []string{h.Host, fmt.Sprint(h.Version), h.Age.String(), yesNo(h.Version >= c.Version)})
	}
	if _, err := fmt.Fprintf(w, "version %d\n", c.Version); err != nil {
		return err
	}
	return output.Table(w, rows)
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
