package parser

import "kingcupvalve.example/kingcupvalve/internal/cataloger"

// ParseFleet reads a fleet document. It returns an error if the file can't be
// read or isn't valid YAML. Structural errors are in Positions.Problems; the
// returned document is empty if there are any.
func ParseFleet(path string) (cataloger.FleetSpec, *Positions, error) {
	content, err := readFile(path)
	if err != nil {
		return cataloger.FleetSpec{}, nil, err
	}
	return ParseFleetContent(path, content)
}

// ParseFleetContent parses the content of a fleet document. The path is only
// used in problems and errors.
func ParseFleetContent(path string, content []byte) (cataloger.FleetSpec, *Positions, error) {
	var fleet cataloger.FleetSpec
	positions, err := decode(path, content, &fleet)
	if err != nil {
		return cataloger.FleetSpec{}, nil, err
	}
	return fleet, positions, nil
}
