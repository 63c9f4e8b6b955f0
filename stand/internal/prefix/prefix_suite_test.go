package prefix_test

import (
	"testing"
	"testing/synctest"

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
