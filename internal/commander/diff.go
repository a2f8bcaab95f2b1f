package commander

import (
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/validator"
)

type diffResult struct {
	From     uint64            `json:"from_revision"`
	To       uint64            `json:"to_revision"`
	Changes  []change          `json:"changes"`
	Sections []string          `json:"changed_sections"`
	Bytes    int               `json:"changed_bytes"`
	Problems []problemDocument `json:"problems"`
}

// change is a difference between two fleet documents.
type change struct {
	Kind   string `json:"kind"`
	Scope  string `json:"scope"`
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func (c *Commander) diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "compare two fleet documents", ArgsUsage: "OLD NEW",
		Description: "Lists what changes, which sections have to be published, and numbers that change their owner. Ends with 1 when the new document has problems or must not follow the old one.",
		Action:      c.runDiff,
	}
}

func (c *Commander) runDiff(_ context.Context, cmd *cli.Command) error {
	files, err := requireArguments(cmd, 2, 2)
	if err != nil {
		return err
	}
	before, err := c.readValidFleet(files[0])
	if err != nil {
		return err
	}
	after, positions, problems, err := readFleet(files[1])
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return c.refuse(problems)
	}
	problems = validator.ValidateFleetDocumentUpdate(before, after, positions)
	result := diffResult{
		From: before.Revision, To: after.Revision, Changes: diffFleets(before, after), Sections: []string{},
		Problems: newProblemDocuments(problems),
	}
	if err := result.addSections(before, after); err != nil {
		return err
	}
	if err := c.out.write(result, func() error { return c.printDiff(result, problems) }); err != nil {
		return err
	}
	if len(problems) > 0 {
		return exitError{ExitInvalid, "the new document must not follow the old one"}
	}
	return nil
}

func (c *Commander) printDiff(r diffResult, problems []validator.Problem) error {
	var rows []table.Row
	for _, x := range r.Changes {
		rows = append(rows, table.Row{x.Kind, x.Scope, x.Key, x.Before, x.After})
	}
	if err := c.out.writeTable(table.Row{"CHANGE", "SCOPE", "KEY", "BEFORE", "AFTER"}, rows); err != nil {
		return err
	}
	for _, p := range problems {
		if err := c.out.writeLine("%s", p); err != nil {
			return err
		}
	}
	return c.out.writeLine("Revision %d to %d; changes: %d; sections to publish: %d (%d bytes).", r.From, r.To, len(r.Changes), len(r.Sections), r.Bytes)
}

// addSections adds the sections whose content changes and which therefore have
// to be published.
func (r *diffResult) addSections(before, after cataloger.FleetSpec) error {
	old, err := cataloger.SplitFleet(before)
	if err != nil {
		return err
	}
	hashes := make(map[string][sha256.Size]byte)
	for _, s := range old {
		hashes[s.Name()] = sha256.Sum256(s.Content())
	}
	sections, err := cataloger.SplitFleet(after)
	if err != nil {
		return err
	}
	for _, s := range sections {
		if hashes[s.Name()] != sha256.Sum256(s.Content()) {
			r.Sections = append(r.Sections, s.Name())
			r.Bytes += len(s.Content())
		}
	}
	return nil
}

// fleetValues returns all values of a fleet as text, by scope and key.
func fleetValues(fleet cataloger.FleetSpec) map[[2]string]string {
	values := make(map[[2]string]string)
	set := func(scope, key, value string) {
		if value != "" {
			values[[2]string{scope, key}] = value
		}
	}
	for _, key := range cataloger.PolicyKeys() {
		if value, err := fleet.Defaults.Value(key); err == nil && value != 0 {
			set("defaults", key, fmt.Sprint(value))
		}
	}
	for _, s := range fleet.Services {
		set(s.Name, "number", fmt.Sprint(s.Number))
		set(s.Name, "names", strings.Join(s.Names, " "))
		set(s.Name, "addresses", strings.Join(s.Addresses, " "))
		for _, t := range s.Targets {
			scope := s.Name + "/" + t.Name
			set(scope, "number", fmt.Sprint(t.Number))
			set(scope, "host", t.Host)
			set(scope, "availability_zone", t.AvailabilityZone)
			set(scope, "tunnel_address", t.TunnelAddress)
			set(scope, "control_address", t.ControlAddress)
			set(scope, "state", cmp.Or(t.State, cataloger.TargetServing))
		}
	}
	for _, e := range fleet.Exceptions {
		set(e.Scope, "exception "+e.Key, fmt.Sprintf("%d (%s)", e.Value, e.Reason))
	}
	return values
}

func diffFleets(before, after cataloger.FleetSpec) []change {
	old, current := fleetValues(before), fleetValues(after)
	keys := maps.Clone(old)
	maps.Copy(keys, current)
	changes := []change{}
	for _, k := range slices.SortedFunc(maps.Keys(keys), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) }) {
		x := change{Kind: "changed", Scope: k[0], Key: k[1], Before: old[k], After: current[k]}
		switch {
		case x.Before == x.After:
			continue
		case x.Before == "":
			x.Kind = "added"
		case x.After == "":
			x.Kind = "removed"
		}
		changes = append(changes, x)
	}
	return changes
}
