package expect_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExpect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "expect")
}
