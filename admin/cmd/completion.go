package cmd

import (
	"fmt"
	"os"
)

type completionCmd struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell: bash, zsh or fish."`
}

// completionScripts holds the completion script of each shell. All of them call chivectl, whose
// path replaces %[1]q, for the completions.
var completionScripts = map[string]string{
	"bash": "complete -C %[1]q chivectl\n",
	"zsh":  "autoload -U +X bashcompinit && bashcompinit\ncomplete -C %[1]q chivectl\n",
	"fish": "function __complete_chivectl\n    set -lx COMP_LINE (commandline -cp)\n" +
		"    test -z (commandline -ct)\n    and set COMP_LINE \"$COMP_LINE \"\n    %[1]q\nend\n" +
		"complete -f -c chivectl -a \"(__complete_chivectl)\"\n",
}

// Run prints the completion script of the shell.
func (c *completionCmd) Run(e *env) error {
	path, err := os.Executable()
	if err != nil {
		path = "chivectl"
	}
	_, err = fmt.Fprintf(e.out, completionScripts[c.Shell], path)
	return err
}
