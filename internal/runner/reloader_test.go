package runner

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/parser"
)

const balancerSettings = `role: balancer
process: balancer-1
availability_zone: howrah
region: bengal-south
control_address: 10.1.0.10:7720
platform_url: http://10.200.1.7:8169
packets:
  address: 10.1.0.10:8172
  ready_address: 10.1.0.10:8167
`

func TestReloader(t *testing.T) {
	setup := func(t *testing.T) (*is.I, *reloader, string, *string) {
		is := is.New(t)
		path := filepath.Join(t.TempDir(), "settings.yaml")
		is.NoErr(os.WriteFile(path, []byte(balancerSettings), 0o600))
		settings, err := parser.ParseSettings(path)
		is.NoErr(err)
		url := new(string)
		return is, newReloader(settings, func(u string) { *url = u }, zerolog.Nop()), path, url
	}
	t.Run("a changed platform URL and drain deadline are applied", func(t *testing.T) {
		is, r, path, url := setup(t)
		changed := strings.Replace(balancerSettings, "10.200.1.7", "10.200.1.8", 1) + "drain:\n  deadline: 2s\n"
		is.NoErr(os.WriteFile(path, []byte(changed), 0o600))
		r.reloadIfChanged()
		is.Equal(*url, "http://10.200.1.8:8169")
		is.Equal(r.settings().DrainDeadline().Seconds(), 2.0)
	})
	// Guards against a process that stops serving because of an invalid settings
	// file.
	t.Run("an invalid or missing file changes nothing", func(t *testing.T) {
		is, r, path, url := setup(t)
		before := r.settings()
		for _, text := range []string{"role: [", "role: nobody\n", balancerSettings + "unknown: 1\n"} {
			is.NoErr(os.WriteFile(path, []byte(text), 0o600))
			r.reloadIfChanged()
		}
		is.NoErr(os.Remove(path))
		r.reloadIfChanged()
		is.Equal(r.settings(), before)
		is.Equal(*url, "")
	})
}
