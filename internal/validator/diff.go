package validator

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/agnivade/levenshtein"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// ValidateFleetUpdate returns the problems of publishing a document as the
// successor of another one. The revision must increase, a service must keep its
// number, and no number may move to another service or target, because open
// connections carry the numbers. The problems have no file and line.
func ValidateFleetUpdate(before, after cataloger.FleetSpec) []Problem {
	r := &report{}
	if after.Revision <= before.Revision {
		r.add("revision", parser.FaultConflict, strconv.FormatUint(after.Revision, 10),
			fmt.Sprintf("more than %d, the previous revision", before.Revision))
	}
	numberOf := make(map[string]uint16)
	serviceOf := make(map[uint16]string)
	targetOf := make(map[uint32]string)
	for _, s := range before.Services {
		numberOf[s.Name] = s.Number
		serviceOf[s.Number] = s.Name
		for _, t := range s.Targets {
			targetOf[t.Number] = s.Name + "/" + t.Name
		}
	}
	for i, s := range after.Services {
		key := fmt.Sprintf("services[%d]", i)
		if number, ok := numberOf[s.Name]; ok && number != s.Number {
			r.add(key+".number", parser.FaultConflict, strconv.Itoa(int(s.Number)), fmt.Sprintf("%d, the number that %s has", number, s.Name))
		} else if name, ok := serviceOf[s.Number]; ok && name != s.Name {
			r.add(key+".number", parser.FaultConflict, strconv.Itoa(int(s.Number)), fmt.Sprintf("a new number; this one belonged to %s", name))
		}
		for j, t := range s.Targets {
			if owner, ok := targetOf[t.Number]; ok && owner != s.Name+"/"+t.Name {
				r.add(fmt.Sprintf("%s.targets[%d].number", key, j), parser.FaultConflict,
					strconv.FormatUint(uint64(t.Number), 10), fmt.Sprintf("a new number; this one belonged to %s", owner))
			}
		}
	}
	return r.problems
}

// ValidateFleetDocumentUpdate is like ValidateFleetUpdate, with file and line in
// the document after.
func ValidateFleetDocumentUpdate(before, after cataloger.FleetSpec, positions *parser.Positions) []Problem {
	return positions.LocateAll(ValidateFleetUpdate(before, after))
}

// maxSuggestions is the maximum number of names that a problem suggests.
const maxSuggestions = 3

// suggestScope returns a text with the names that are most similar to name. It
// sorts names in place.
func suggestScope(name string, names []string) string {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(levenshtein.ComputeDistance(name, a), levenshtein.ComputeDistance(name, b)), cmp.Compare(a, b))
	})
	if len(names) == 0 {
		return "the document has no service"
	}
	return "did you mean " + fmt.Sprint(names[:min(len(names), maxSuggestions)]) + "?"
}
