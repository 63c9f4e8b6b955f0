package cmd

import (
	"maps"
	"slices"
	"strings"

	"github.com/samber/oops"

	"chivepost/admin/internal/delta"
	"chivepost/admin/internal/exits"
	"chivepost/admin/internal/oper"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/inicfg"
)

type dcCmd struct {
	Out dcOutCmd `cmd:"" help:"Publish the configuration in force with the data centre out: it receives no new work." exits:"unreachable,conflict,refused,unknown,unconfirmed"`
	In  dcInCmd  `cmd:"" help:"Publish the configuration in force with the data centre back in." exits:"unreachable,conflict,refused,unknown,unconfirmed"`
}

type dcArgs struct {
	Name   string `arg:"" help:"Name of the data centre."`
	Author string `name:"author" placeholder:"NAME" help:"Author of the change; the setting or user@host if not given."`
}

type (
	dcOutCmd struct{ dcArgs }
	dcInCmd  struct{ dcArgs }
)

// Run takes the data centre out.
func (c *dcOutCmd) Run(e *env) error { return c.set(e, true) }

// Run takes the data centre back in.
func (c *dcInCmd) Run(e *env) error { return c.set(e, false) }

// set publishes the configuration in force with the data centre out or in.
func (a dcArgs) set(e *env, out bool) error {
	current, err := e.client.Config(e.ctx)
	if err != nil {
		return err
	}
	if current.Version == 0 {
		return oops.Code(exits.Refused).Errorf("there is no configuration to change")
	}
	if slices.Contains(current.Doc.DataCentresOut, a.Name) == out {
		return e.print(newUnchanged(current))
	}
	if out {
		if err := a.checkName(e, current); err != nil {
			return err
		}
	}
	doc := current.Doc
	doc.DataCentresOut = slices.DeleteFunc(slices.Clone(doc.DataCentresOut), func(dc string) bool { return dc == a.Name })
	if out {
		doc.DataCentresOut = append(doc.DataCentresOut, a.Name)
		slices.Sort(doc.DataCentresOut)
	}
	if _, err := bundle.New(doc); err != nil {
		return oops.Code(exits.Invalid).Wrapf(err, "check configuration")
	}
	changes, err := delta.Between(current.Doc, doc)
	if err != nil {
		return oops.Wrap(err)
	}
	return e.publish(oper.Change{Base: current.Version, Author: e.author(a.Author), Doc: doc}, changes)
}

// checkName returns an error if no target and no entry host is in a data centre of that name.
// Without the check, a mistyped name would be published and the data centre stay in service.
func (a dcArgs) checkName(e *env, current apiv1.Config) error {
	names := map[string]bool{}
	for _, t := range current.Doc.Targets {
		names[t.DataCentre] = true
	}
	if names[a.Name] {
		return nil
	}
	answers, err := e.client.Status(e.ctx)
	if err != nil {
		return err
	}
	for _, answer := range answers {
		names[answer.Value.DataCentre] = true
		for _, h := range answer.Value.Hosts {
			names[h.DataCentre] = true
		}
	}
	delete(names, "")
	if names[a.Name] {
		return nil
	}
	all := slices.Sorted(maps.Keys(names))
	return oops.Code(exits.Usage).Errorf("unknown data centre %q, did you mean %q? known data centres: %s",
		a.Name, inicfg.Nearest(a.Name, all), strings.Join(all, ", "))
}
