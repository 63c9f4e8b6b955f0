package slots

import (
	"cmp"
	"fmt"
	"slices"

	"chivepost/share/bundle"
)

// group is a set of targets of one pool and data centre that share a home.
type group struct {
	key        string
	pool       bundle.PoolDoc
	dataCentre string
	region     string
	targets    []bundle.TargetDoc
}

// layout assigns the targets of one configuration to groups.
type layout struct {
	bundle *bundle.Bundle
	groups map[string]*group
	byPool map[string][]*group
	// byTarget maps the name of each target to its group.
	byTarget map[string]*group
}

// newLayout splits the targets of each pool and data centre, sorted by name, into
// groups of at most size. Adding a target moves at most one target from each group
// to the next. A home waits before it grants slots of a target that is new to it.
func newLayout(b *bundle.Bundle, size int) *layout {
	l := &layout{bundle: b, groups: map[string]*group{}, byPool: map[string][]*group{}, byTarget: map[string]*group{}}
	for _, pool := range b.Doc().Pools {
		byDataCentre := map[string][]bundle.TargetDoc{}
		for _, t := range b.Targets(pool.Name) {
			byDataCentre[t.DataCentre] = append(byDataCentre[t.DataCentre], t)
		}
		for dc, targets := range byDataCentre {
			slices.SortFunc(targets, func(a, b bundle.TargetDoc) int { return cmp.Compare(a.Name, b.Name) })
			i := 0
			for part := range slices.Chunk(targets, size) {
				l.add(&group{
					key: fmt.Sprintf("%s/%s/%d", pool.Name, dc, i), pool: pool,
					dataCentre: dc, region: part[0].Region, targets: part,
				})
				i++
			}
		}
	}
	return l
}

func (l *layout) add(g *group) {
	l.groups[g.key] = g
	l.byPool[g.pool.Name] = append(l.byPool[g.pool.Name], g)
	for _, t := range g.targets {
		l.byTarget[t.Name] = g
	}
}
