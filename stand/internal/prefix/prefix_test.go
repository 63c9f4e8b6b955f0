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

// inVirtualTime runs a spec in virtual time.
func inVirtualTime(f func()) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			f()
		})
	}
}

func kindsAndBlocks(page target.CacheEvents) []string {
	out := []string{}
	for _, e := range page.Events {
		out = append(out, e.Kind+" "+e.Block)
	}
	return out
}

var _ = Describe("a prefix cache", func() {
	// Guards against a cache without a size limit, which would hide bad routing.
	It("finds leading blocks only and evicts the least recently used ones", inVirtualTime(func() {
		c := prefix.New(prefix.Options{Blocks: 3})
		Expect(c.Use([]string{"a", "b"})).To(Equal(0))
		Expect(c.Use([]string{"a", "b", "c"})).To(Equal(2))
		Expect(c.Use([]string{"x", "a"})).To(Equal(0))
		Expect(c.Use([]string{"a"})).To(Equal(1))
		Expect(c.Use([]string{"b"})).To(Equal(0))
		Expect(kindsAndBlocks(c.Events(1))).To(Equal([]string{
			"stored a", "stored b", "stored c", "stored x", "removed b", "stored b", "removed c",
		}))
	}))

	// Guards against routers that treat events as complete and current.
	It("publishes events late and with gaps in their numbers", inVirtualTime(func() {
		c := prefix.New(prefix.Options{Blocks: 10, EventLag: time.Second, IsLost: func(seq int64) bool { return seq == 2 }})
		c.Use([]string{"a", "b", "c"})
		Expect(c.Events(1).Events).To(BeEmpty())
		time.Sleep(time.Second)
		page := c.Events(1)
		Expect(kindsAndBlocks(page)).To(Equal([]string{"stored a", "stored c"}))
		Expect(page.Next).To(BeEquivalentTo(4))
		c.Clear()
		time.Sleep(time.Second)
		Expect(kindsAndBlocks(c.Events(page.Next))).To(Equal([]string{"cleared "}))
	}))
})
