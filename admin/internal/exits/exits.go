// Package exits defines the exit codes of chivectl.
package exits

import (
	"fmt"
	"strings"

	"github.com/samber/oops"
)

// Name is the short name of an exit code. An error has it as its oops code.
type Name string

// The names of the exit codes.
const (
	OK          Name = "ok"
	Failed      Name = "failed"
	Usage       Name = "usage"
	Invalid     Name = "invalid"
	Unreachable Name = "unreachable"
	Conflict    Name = "conflict"
	Refused     Name = "refused"
	Unknown     Name = "unknown"
	Unconfirmed Name = "unconfirmed"
	Partial     Name = "partial"
)

// Code is one exit code with its name and meaning.
type Code struct {
	Number  int
	Name    Name
	Meaning string
}

// Table lists the exit codes in the order of their numbers.
var Table = []Code{
	{0, OK, "done"},
	{1, Failed, "an error that no other code describes"},
	{2, Usage, "the command line is wrong; nothing was done"},
	{3, Invalid, "service files or settings are wrong; nothing was published"},
	{4, Unreachable, "no operator address answered; nothing was published"},
	{5, Conflict, "another change was published first; nothing of this one is in force"},
	{6, Refused, "the hosts refused the change, for example because the log is down; nothing was published"},
	{7, Unknown, "it is not known whether the change was published; check with `chivectl config show`"},
	{8, Unconfirmed, "the change is in force, but not every host confirmed it within the time set by `confirm`"},
	{9, Partial, "some operator addresses did not answer; the output covers the others"},
}

// Number returns the exit code for err.
func Number(err error) int {
	name := NameOf(err)
	for _, c := range Table {
		if c.Name == name {
			return c.Number
		}
	}
	return 1
}

// NameOf returns the name of the exit code for err.
func NameOf(err error) Name {
	if err == nil {
		return OK
	}
	if o, ok := oops.AsOops(err); ok {
		if name, ok := o.Code().(Name); ok {
			return name
		}
	}
	return Failed
}

// IsKnown reports whether name is in Table.
func IsKnown(name Name) bool {
	for _, c := range Table {
		if c.Name == name {
			return true
		}
	}
	return false
}

// Text returns the list of exit codes for --help.
func Text() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n")
	for _, c := range Table {
		fmt.Fprintf(&b, "  %d  %-11s  %s\n", c.Number, c.Name, c.Meaning)
	}
	return b.String()
}
