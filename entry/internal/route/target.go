// Package route chooses the target of a stage attempt.
package route

import "chivepost/share/target"

// Target is what an entry host knows of one target when it chooses. Free is the
// number of slots that it could use now, InUse the calls that it has in flight,
// Limit the slots that it holds.
type Target struct {
	Name       string
	DataCentre string
	Region     string
	Address    string
	State      target.State
	Free       int
	InUse      int
	Limit      int
}
