package platform

import (
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// LoadFleet reads a fleet document in YAML and publishes it. The document is
// not validated, so that tests can publish invalid ones.
func (p *Platform) LoadFleet(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return merry.Prepend(err, "read fleet document")
	}
	var fleet cataloger.FleetSpec
	if err := yaml.Unmarshal(content, &fleet); err != nil {
		return merry.Prependf(err, "decode fleet document %s", path)
	}
	if _, err := p.PublishFleet(fleet); err != nil {
		return merry.Prepend(err, "publish fleet document")
	}
	return nil
}
