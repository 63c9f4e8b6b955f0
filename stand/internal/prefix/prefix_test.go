package prefix_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chivepost/share/target"
	"chivepost/stand/internal/prefix"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestPrefix(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "prefix")
}

// virtual runs a spec in virtual time.
func virtual(f func()) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			f()
		})
	}
}

func kinds(page target.CacheEvents) []string {
	out := []string{}
	for _, e := range page.Events {
		out = append(out, e.Kind+" "+e.Block)
	}
	return out
}

var _ = Describe("a prefix cache", func() {
	// Guards against a cache without a memory limit, which would hide bad routing.
	It("finds leading blocks only and drops those used least recently", virtual(func() {
		c := prefix.New(prefix.Options{Blocks: 3})
		Expect(c.Use([]string{"a", "b"})).To(Equal(0))
		Expect(c.Use([]string{"a", "b", "c"})).To(Equal(2))
		Expect(c.Use([]string{"x", "a"})).To(Equal(0))
		Expect(c.Use([]string{"a"})).To(Equal(1))
		Expect(c.Use([]string{"b"})).To(Equal(0))
		Expect(kinds(c.Events(1))).To(Equal([]string{
			"stored a", "stored b", "stored c", "stored x", "removed b", "stored b", "removed c",
		}))
	}))

	// Guards against routers that take events for complete and up to date.
	It("publishes events late and with gaps in their numbers", virtual(func() {
		c := prefix.New(prefix.Options{Blocks: 10, EventLag: time.Second, IsLost: func(seq int64) bool { return seq == 2 }})
		c.Use([]string{"a", "b", "c"})
		Expect(c.Events(1).Events).To(BeEmpty())
		time.Sleep(time.Second)
		page := c.Events(1)
		Expect(kinds(page)).To(Equal([]string{"stored a", "stored c"}))
		Expect(page.Next).To(BeEquivalentTo(4))
		c.Clear()
		time.Sleep(time.Second)
		Expect(kinds(c.Events(page.Next))).To(Equal([]string{"cleared "}))
	}))
})
