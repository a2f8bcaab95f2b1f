package commander

import (
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/validator"
)

// problemDocument is the JSON form of a problem.
type problemDocument struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Key      string `json:"key"`
	Fault    string `json:"fault"`
	Value    string `json:"value"`
	Accepted string `json:"accepted"`
}

func newProblemDocuments(problems []validator.Problem) []problemDocument {
	documents := make([]problemDocument, len(problems))
	for i, p := range problems {
		documents[i] = problemDocument{File: p.File(), Line: p.Line(), Key: p.Key(), Fault: p.Fault(), Value: p.Value(), Accepted: p.Accepted()}
	}
	return documents
}

// readFleet reads and validates a fleet document. If the file isn't valid YAML, the
// error ends the command with ExitInvalid.
func readFleet(path string) (cataloger.FleetSpec, *parser.Positions, []validator.Problem, error) {
	content, err := parser.ReadDocument(path)
	if err != nil {
		return cataloger.FleetSpec{}, nil, nil, err
	}
	fleet, positions, err := parser.ParseFleetContent(path, content)
	if err != nil {
		return fleet, nil, nil, exitError{ExitInvalid, err.Error()}
	}
	return fleet, positions, validator.ValidateFleetDocument(fleet, positions), nil
}

// readValidFleet reads a fleet document. It prints the problems and returns an
// error if there are any.
func (c *Commander) readValidFleet(path string) (cataloger.FleetSpec, error) {
	fleet, _, problems, err := readFleet(path)
	if err != nil {
		return fleet, err
	}
	if len(problems) > 0 {
		return fleet, c.refuse(problems)
	}
	return fleet, nil
}

// refuse prints problems to the error output, one per line, and returns the
// error that ends the command.
func (c *Commander) refuse(problems []validator.Problem) error {
	e := &output{w: c.options.Err}
	for _, p := range problems {
		if err := e.writeLine("%s", p); err != nil {
			return err
		}
	}
	return exitError{ExitInvalid, "the document has problems"}
}
