// Package refdoc generates the reference pages of chivectl from its command line, its settings
// and its exit codes.
package refdoc

import (
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"chivepost/admin/internal/exits"
	"chivepost/admin/internal/prefs"
	"chivepost/share/bundle"
	"chivepost/share/inicfg"
)

// ExitsTag is the struct tag that lists a command's exit codes in addition to ok, failed, usage
// and invalid, which every command has.
const ExitsTag = "exits"

const generatedNote = "This page is generated; `go test ./cmd -update` in the module `admin` rewrites it.\n"

// Commands returns the reference page of the command line.
func Commands(app *kong.Application) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n\n%s\n", app.Name, app.Help, generatedNote)
	b.WriteString("Results go to standard output and errors to standard error, both in the format given by `--output`.\n" +
		"With `--output json` an error is `{\"code\",\"error\",\"problems\":[{\"file\",\"line\",\"section\",\"key\",\"found\",\"want\"}]}`;\n" +
		"`code` is the name of the exit code, and `problems` is there only for faulty files.\n\n")
	b.WriteString("## Flags of every command\n\n")
	writeFlags(&b, app.Node)
	for _, node := range app.Leaves(true) {
		if err := writeCommand(&b, node); err != nil {
			return "", err
		}
	}
	b.WriteString("## Exit codes\n\n| code | name | meaning |\n|---|---|---|\n")
	for _, c := range exits.Table {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", c.Number, c.Name, c.Meaning)
	}
	return b.String(), nil
}

// writeCommand writes the section of one command.
func writeCommand(b *strings.Builder, node *kong.Node) error {
	usage := node.FullPath()
	for _, arg := range node.Positional {
		usage += " " + arg.Summary()
	}
	fmt.Fprintf(b, "## %s\n\n%s\n\n    %s [flags]\n\n", node.FullPath(), node.Help, usage)
	for _, arg := range node.Positional {
		fmt.Fprintf(b, "- `%s`: %s\n", arg.Summary(), arg.Help)
	}
	if len(node.Positional) > 0 {
		b.WriteString("\n")
	}
	if len(node.Flags) > 0 {
		writeFlags(b, node)
	}
	codes, err := exitCodes(node)
	if err != nil {
		return fmt.Errorf("%s: %w", node.FullPath(), err)
	}
	fmt.Fprintf(b, "Exit codes: %s.\n\n", strings.Join(codes, ", "))
	return nil
}

// writeFlags writes the table of the node's flags.
func writeFlags(b *strings.Builder, node *kong.Node) {
	b.WriteString("| flag | meaning |\n|---|---|\n")
	for _, f := range node.Flags {
		if f.Hidden {
			continue
		}
		text := "--" + f.Name
		if !f.IsBool() {
			text += "=" + f.FormatPlaceHolder()
		}
		if f.Short != 0 {
			text = fmt.Sprintf("-%c, %s", f.Short, text)
		}
		env := ""
		if len(f.Envs) > 0 {
			env = " Also set by `" + strings.Join(f.Envs, "`, `") + "`."
		}
		fmt.Fprintf(b, "| `%s` | %s%s |\n", strings.ReplaceAll(text, "|", `\|`), f.Help, env)
	}
	b.WriteString("\n")
}

// exitCodes returns the exit codes of a command with their numbers, in order.
func exitCodes(node *kong.Node) ([]string, error) {
	names := []exits.Name{exits.OK, exits.Failed, exits.Usage, exits.Invalid}
	for name := range strings.SplitSeq(node.Tag.Get(ExitsTag), ",") {
		if name == "" {
			continue
		}
		if !exits.IsKnown(exits.Name(name)) {
			return nil, fmt.Errorf("tag %s: unknown exit code %q", ExitsTag, name)
		}
		names = append(names, exits.Name(name))
	}
	var texts []string
	for _, c := range exits.Table {
		if slices.Contains(names, c.Name) {
			texts = append(texts, fmt.Sprintf("%d %s", c.Number, c.Name))
		}
	}
	return texts, nil
}

// Settings returns the reference page of settings files.
func Settings() (string, error) {
	table, err := inicfg.Reference(&prefs.Prefs{})
	if err != nil {
		return "", err
	}
	return "# Settings\n\n" + generatedNote + `
The programs read their settings from an INI file and from flags. A flag takes precedence
over the file, and the file over the default. The file has sections ` + "`[name]`" + ` and lines
` + "`key = value`" + `. A comment starts with ` + "`#` or `;`" + ` at the start of a line or after a space.
A value in double quotes keeps its spaces, ` + "`#` and `;`, with `\\\"`" + ` for a quote in it. Each section
and each key appears once. Durations have a unit (` + "`ns`, `us`, `ms`, `s`, `m`, `h`" + `), as have
sizes (` + "`B`, `KiB`, `MiB`, `GiB`, `TiB`" + `). An empty value means none.

A file is checked as a whole: all problems are reported at once, each with its file, line,
section and key, the value found and the values accepted. An unknown section or key is a
problem.

The settings below are those of ` + "`chivectl`" + `; ` + "`chivectl settings FILE`" + ` prints the ones in force
and where each comes from.

` + table, nil
}

// ServiceFiles returns the reference page of service files.
func ServiceFiles() (string, error) {
	table, err := bundle.Reference()
	if err != nil {
		return "", err
	}
	return "# Service files\n\n" + generatedNote + `
A service file describes pipelines, pools, targets and client accounts, and is kept beside the
code of a service. ` + "`chivectl`" + ` collects every ` + "`" + bundle.ServiceFile + "`" + ` below a folder, at any depth, in
the order of their paths; folders whose names start with a dot are skipped. The format is that
of [settings files](settings.md).

Names are unique over all files. A stage names its pipeline and a pool, a target names its pool;
they may be in other files. Data centres that operators have taken out are not part of service
files: ` + "`chivectl dc out`" + ` and ` + "`chivectl dc in`" + ` change them, and a publish leaves them as they are.

` + table, nil
}
