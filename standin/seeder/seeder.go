// Package seeder sets the seed and the number of cases of rapid property tests,
// so that every run checks the same cases.
//
// # Usage
//
//	func init() { seeder.SetSeed(1) }
//
//	func TestSlowProperty(t *testing.T) {
//		seeder.LimitChecks(t, 30)
//		rapid.Check(t, ...)
//	}
package seeder

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
)

const (
	seedFlag   = "rapid.seed"
	checksFlag = "rapid.checks"
)

// SetSeed sets the seed of the property tests of a package. Call it from an init
// function, so that -rapid.seed on the command line still overrides it.
func SetSeed(seed uint64) { set(seedFlag, strconv.FormatUint(seed, 10)) }

// SetChecks sets the number of cases of the property tests of a package. Like
// SetSeed it is called from an init function, so that -rapid.checks overrides it.
func SetChecks(checks int) { set(checksFlag, strconv.Itoa(checks)) }

// LimitChecks sets the number of cases of one slow property test, unless
// -rapid.checks differs from its default.
func LimitChecks(t testing.TB, checks int) {
	t.Helper()
	f := flag.Lookup(checksFlag)
	if f.Value.String() != f.DefValue {
		return
	}
	set(checksFlag, strconv.Itoa(checks))
	t.Cleanup(func() { set(checksFlag, f.DefValue) })
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("set -%s: %v", name, err))
	}
}
