package slots_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestSlots(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "slots")
}

// inVirtualTime runs f in virtual time.
func inVirtualTime(f func()) {
	GinkgoHelper()
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		f()
	})
}
