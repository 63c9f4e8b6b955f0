package inicfg

import (
	"fmt"
	"strings"
)

// Reference returns the documentation of all settings of dst in Markdown, with a heading
// and a table for each section.
func Reference(dst any) (string, error) {
	groups, err := Table(dst)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for _, g := range groups {
		fmt.Fprintf(&b, "## [%s]\n\n", g.Section)
		if g.Doc != "" {
			fmt.Fprintf(&b, "%s\n\n", g.Doc)
		}
		b.WriteString(KeyTable(g.Keys))
		b.WriteString("\n")
	}
	return strings.TrimRight(b.String(), "\n") + "\n", nil
}

// KeyTable returns a Markdown table with a row for each key.
func KeyTable(keys []Key) string {
	var b strings.Builder
	b.WriteString("| key | accepted | default | meaning |\n|---|---|---|---|\n")
	cell := strings.NewReplacer("|", `\|`, "\n", " ")
	for _, k := range keys {
		def := "-"
		switch {
		case k.Required && k.Default == "":
			def = "required"
		case k.Default != "":
			def = "`" + k.Default + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, cell.Replace(k.Accepts), def, cell.Replace(k.Doc))
	}
	return b.String()
}
