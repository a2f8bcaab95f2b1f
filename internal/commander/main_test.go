package commander

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines of calls to daemons that outlive the
// command.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
