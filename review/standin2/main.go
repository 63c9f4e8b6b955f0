// Command standin2 plays the cases of the second review: it starts entry hosts as separate
// processes, and stands in for the store, the engines and the clients.
//
// Usage: standin2 CASE ROOT RECORD. It exits with 1 if the rule was broken, with 0 if it
// held and with 2 if the case couldn't run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// cases returns, for a deployment, how often the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken int, err error){
	"again":  playAgain,
	"gone":   playGone,
	"idle":   playIdle,
	"reborn": playReborn,
	"silent": playSilent,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD")
		return 2
	}
	d, err := newDeployment(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](d, trouble)
	if err != nil {
		d.rec.line("case", "couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d.rec.line("case", "trouble %v, rule broken %d times", trouble, broken)
	fmt.Printf("trouble %v, rule broken %d times\n", trouble, broken)
	if broken > 0 {
		return 1
	}
	return 0
}
