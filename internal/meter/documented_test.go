package meter

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var metricName = regexp.MustCompile("[\"`](kingcupvalve_[a-z0-9_]+)")

// Guards against a metric that operators can't look up during an incident
// because the operations page does not list it.
func TestMetricsAreDocumented(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	is.New(t).NoErr(err)
	for name, file := range metricNames(t, root) {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("metric %s of %s is missing in docs/OPERATIONS.md", name, file)
		}
	}
}

// metricNames returns the metric names in the Go files under root and the file
// of each, without tests and stand-ins.
func metricNames(t *testing.T, root string) map[string]string {
	t.Helper()
	names := make(map[string]string)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == "standin" || d.Name() == ".git" || d.Name() == "out") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range metricName.FindAllStringSubmatch(string(content), -1) {
			names[m[1]] = path
		}
		return nil
	})
	is.New(t).NoErr(err)
	return names
}
