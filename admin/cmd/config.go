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

// shownConfig is what config show prints.
type shownConfig struct{ apiv1.Config }

// Run shows the configuration in force.
func (c *configShowCmd) Run(r *run) error {
	config, err := r.client.Config(r.ctx)
	if err != nil {
		return err
	}
	return r.print(shownConfig{config})
}

// Text writes a service file; what service files do not have is in comments.
func (c shownConfig) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n", versionText(c.Version, c.Author))
	if len(c.Doc.Out) > 0 {
		fmt.Fprintf(&b, "# data centres out: %s\n", strings.Join(c.Doc.Out, ", "))
	}
	if text := bundle.Format(c.Doc); text != "" {
		b.WriteString("\n" + text)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

type configConfirmedCmd struct{}

// shownConfirmations is what config confirmed prints.
type shownConfirmations struct{ apiv1.Confirmations }

// Run shows the confirmations.
func (c *configConfirmedCmd) Run(r *run) error {
	answer, err := r.client.Confirmations(r.ctx)
	if err != nil {
		return err
	}
	return r.print(shownConfirmations{answer})
}

// Text writes a line for each host.
func (c shownConfirmations) Text(w io.Writer) error {
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
