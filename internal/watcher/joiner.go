package watcher

import (
	"cmp"
	"slices"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/keeper"
)

// joiner assembles fleet documents from sections and caches the decoded sections
// of the last document. Decoding all sections would take most of the CPU time of
// a change, and a change usually affects one or two of them.
type joiner struct {
	parts map[keeper.Hash]cataloger.FleetSpec
}

// join returns the fleet document of a revision. For published sections it is
// equal to the result of cataloger.JoinFleet.
func (j *joiner) join(revision uint64, sections []keeper.Section) (cataloger.FleetSpec, error) {
	parts := make(map[keeper.Hash]cataloger.FleetSpec, len(sections))
	fleet := cataloger.FleetSpec{Revision: revision}
	for _, s := range sections {
		hash := s.Ref().Hash()
		part, ok := j.parts[hash]
		if !ok {
			var err error
			section := cataloger.NewSection(s.Ref().Name(), s.Content())
			if part, err = cataloger.JoinFleet(revision, []cataloger.Section{section}); err != nil {
				return cataloger.FleetSpec{}, err
			}
		}
		parts[hash] = part
		if part.Defaults != (cataloger.PolicySpec{}) {
			fleet.Defaults = part.Defaults
		}
		fleet.Exceptions = append(fleet.Exceptions, part.Exceptions...)
		fleet.Services = append(fleet.Services, part.Services...)
	}
	// The sort is stable, so that every process refuses a service that occurs in
	// two sections for the same reason.
	slices.SortStableFunc(fleet.Services, func(a, b cataloger.ServiceSpec) int { return cmp.Compare(a.Name, b.Name) })
	j.parts = parts
	return fleet, nil
}
