// Command standin runs one review case: it starts entry hosts with the command of the deploy
// file, against small stand-ins of the platform's store, of engines and of clients.
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*deployment) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case and writes its record to the file.
func run(f func(*deployment) error, file string) int {
	out, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d, err := newDeployment(out, os.Getenv("TROUBLE") != "0")
	if err == nil {
		err = f(d)
	}
	d.close()
	code := 0
	switch {
	case err != nil:
		d.record("the case could not run: %v", err)
		code = 2
	case len(d.breaks()) > 0:
		d.record("RULE BROKEN, %d times", len(d.breaks()))
		code = 1
	default:
		d.record("the rule held")
	}
	_ = out.Close()
	return code
}
