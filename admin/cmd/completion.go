package cmd

import (
	"fmt"
	"os"
)

type completionCmd struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell: bash, zsh or fish."`
}

// scripts make each shell ask chivectl itself for completions; %[1]s is its path.
var scripts = map[string]string{
	"bash": "complete -C %[1]q chivectl\n",
	"zsh":  "autoload -U +X bashcompinit && bashcompinit\ncomplete -C %[1]q chivectl\n",
	"fish": "function __complete_chivectl\n    set -lx COMP_LINE (commandline -cp)\n" +
		"    test -z (commandline -ct)\n    and set COMP_LINE \"$COMP_LINE \"\n    %[1]q\nend\n" +
		"complete -f -c chivectl -a \"(__complete_chivectl)\"\n",
}

// Run prints the script.
func (c *completionCmd) Run(r *run) error {
	path, err := os.Executable()
	if err != nil {
		path = "chivectl"
	}
	_, err = fmt.Fprintf(r.out, scripts[c.Shell], path)
	return err
}
