package sizer

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPage guards against a capacity page whose table no longer follows from its
// slopes and from the constants in the code.
func TestPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	is.NoErr(err)
	slopes, err := ReadSlopes(bytes.NewReader(page))
	is.NoErr(err)
	rows, err := BuildRows(NewDesignSize(), slopes)
	is.NoErr(err)
	if table := FormatRows(rows); !strings.Contains(string(page), "\n"+table+"\n") {
		t.Fatalf("the table of docs/CAPACITY.md should be:\n%s", table)
	}
}
