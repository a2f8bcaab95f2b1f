package commander

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/internal/checker"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/validator"
)

// Values of --kind.
const (
	kindAuto     = "auto"
	kindFleet    = "fleet"
	kindSettings = "settings"
	kindFlows    = "flows"
)

type checkResult struct {
	Files    []checkedFile     `json:"files"`
	Problems []problemDocument `json:"problems"`
	// Differences are those from the documents in force, in the order of the files.
	Differences []differenceDocument `json:"differences"`
}

type checkedFile struct {
	File        string `json:"file"`
	Kind        string `json:"kind"`
	Problems    int    `json:"problems"`
	Differences int    `json:"differences"`
}

// differenceDocument is the JSON form of a difference from the document in force.
type differenceDocument struct {
	File   string `json:"file"`
	Change string `json:"change"`
	Scope  string `json:"scope"`
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
	Effect string `json:"effect"`
	// EndsFlows is set if some open flows end.
	EndsFlows bool `json:"ends_flows"`
}

func (c *Commander) checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check settings files, fleet documents and configurations of packet flows", ArgsUsage: "FILE...",
		Description: "Writes each problem with file, line, key, value and what is accepted, and the differences from the document in force " +
			"with their effect on open flows. Ends with 2 when there is a problem; differences alone are none. " +
			"Checking settings reads the key and certificate files that they name.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Value: kindAuto, Usage: "auto, fleet, settings or flows"},
			&cli.StringFlag{Name: "against", Aliases: []string{"previous"}, TakesFile: true, Usage: "document in force, of the same kind; a fleet must keep its numbers"},
			&cli.StringFlag{Name: "targets", TakesFile: true, Usage: "output of the command targets as JSON; finds services without targets"},
			&cli.StringSliceFlag{Name: "evacuate", Usage: "availability zone whose evacuation will be requested or stays so; may be repeated"},
			&cli.StringSliceFlag{Name: "against-evacuate", Usage: "availability zone whose evacuation is in force; may be repeated"},
		},
		Action: c.runCheck,
	}
}

func (c *Commander) runCheck(_ context.Context, cmd *cli.Command) error {
	files, err := requireArguments(cmd, 1, -1)
	if err != nil {
		return err
	}
	o, err := c.readCheckOptions(cmd)
	if err != nil {
		return err
	}
	result := checkResult{Files: []checkedFile{}, Problems: []problemDocument{}, Differences: []differenceDocument{}}
	var problems []validator.Problem
	for _, file := range files {
		checked, err := c.checkFile(o, file)
		if err != nil {
			return err
		}
		result.Files = append(result.Files, checkedFile{File: file, Kind: checked.kind, Problems: len(checked.problems), Differences: len(checked.differences)})
		problems = append(problems, checked.problems...)
		for _, d := range checked.differences {
			result.Differences = append(result.Differences, differenceDocument{
				File: file, Change: d.Change, Scope: d.Scope, Key: d.Key, Before: d.Before, After: d.After, Effect: d.Effect, EndsFlows: d.EndsFlows,
			})
		}
	}
	result.Problems = newProblemDocuments(problems)
	if err := c.out.write(result, func() error { return c.printCheck(result, problems) }); err != nil {
		return err
	}
	if len(problems) > 0 {
		return exitError{code: ExitInvalid}
	}
	return nil
}

func (c *Commander) printCheck(result checkResult, problems []validator.Problem) error {
	for _, p := range problems {
		if err := c.out.writeLine("%s", p); err != nil {
			return err
		}
	}
	var rows []table.Row
	for _, d := range result.Differences {
		rows = append(rows, table.Row{d.Change, d.Scope, d.Key, d.Before, d.After, d.Effect})
	}
	if err := c.out.writeTable(table.Row{"CHANGE", "SCOPE", "KEY", "BEFORE", "AFTER", "EFFECT ON OPEN FLOWS"}, rows); err != nil {
		return err
	}
	for _, f := range result.Files {
		text := ""
		if f.Differences > 0 {
			text = fmt.Sprintf("; differences: %d", f.Differences)
		}
		if err := c.out.writeLine("%s: %s document; problems: %d%s", f.File, f.Kind, f.Problems, text); err != nil {
			return err
		}
	}
	return nil
}

// checkOptions is what documents are checked against.
type checkOptions struct {
	kind, against string
	flows         checker.Options
}

func (c *Commander) readCheckOptions(cmd *cli.Command) (checkOptions, error) {
	o := checkOptions{kind: cmd.String("kind"), against: cmd.String("against"), flows: checker.Options{
		Evacuated: cmd.StringSlice("evacuate"), EvacuatedBefore: cmd.StringSlice("against-evacuate"),
	}}
	switch o.kind {
	case kindAuto, kindFleet, kindSettings, kindFlows:
	default:
		return o, merry.Errorf("read --kind: %q is none of %s", o.kind, strings.Join([]string{kindAuto, kindFleet, kindSettings, kindFlows}, ", "))
	}
	if path := cmd.String("targets"); path != "" {
		var err error
		if o.flows.Targets, err = readTargets(path); err != nil {
			return o, err
		}
		o.flows.KnowsTargets = true
	}
	return o, nil
}

// checkedDocument is what the check of a file found.
type checkedDocument struct {
	kind        string
	problems    []validator.Problem
	differences []checker.Difference
}

func (c *Commander) checkFile(o checkOptions, file string) (checkedDocument, error) {
	content, err := parser.ReadDocument(file)
	if err != nil {
		return checkedDocument{}, err
	}
	kind := o.kind
	if kind == kindAuto {
		kind = recognizeKind(file, content)
	}
	switch kind {
	case kindFlows:
		return c.checkFlows(o, file, content)
	case kindSettings:
		settings, err := parser.ParseSettingsContent(file, content)
		if err != nil {
			return checkedDocument{}, exitError{ExitInvalid, err.Error()}
		}
		return checkedDocument{kind: kind, problems: validator.ValidateSettings(settings)}, nil
	}
	return c.checkFleet(o, file, content)
}

// recognizeKind returns the kind of a document. Fleet documents and settings have
// different keys, so the document is of the kind with fewer structural errors. A
// JSON object with neither a fleet's revision nor a process's role is a configuration
// of packet flows.
func recognizeKind(file string, content []byte) string {
	isObject := bytes.HasPrefix(bytes.TrimLeft(content, " \t\r\n\ufeff"), []byte("{"))
	settings, err := parser.ParseSettingsContent(file, content)
	if err != nil {
		if isObject {
			return kindFlows
		}
		return kindFleet
	}
	_, fleet, err := parser.ParseFleetContent(file, content)
	switch {
	case isObject && (err != nil || !fleet.Has("revision") && !settings.Positions().Has("role")):
		return kindFlows
	case err == nil && len(settings.Positions().Problems()) < len(fleet.Problems()):
		return kindSettings
	}
	return kindFleet
}

func (c *Commander) checkFleet(o checkOptions, file string, content []byte) (checkedDocument, error) {
	checked := checkedDocument{kind: kindFleet}
	fleet, positions, err := parser.ParseFleetContent(file, content)
	if err != nil {
		return checked, exitError{ExitInvalid, err.Error()}
	}
	if checked.problems = validator.ValidateFleetDocument(fleet, positions); len(checked.problems) > 0 {
		return checked, nil
	}
	checked.problems = validator.ValidateFleetUse(fleet, positions)
	if o.against != "" {
		before, err := c.readValidFleet(o.against)
		if err != nil {
			return checked, err
		}
		checked.problems = append(checked.problems, validator.ValidateFleetDocumentUpdate(before, fleet, positions)...)
		parser.SortProblems(checked.problems)
		for _, x := range diffFleets(before, fleet) {
			effect := fleetEffect(x)
			checked.differences = append(checked.differences, checker.Difference{
				Change: x.Kind, Scope: x.Scope, Key: x.Key, Before: x.Before, After: x.After,
				Effect: effect, EndsFlows: effect == effectTargetEnds || effect == effectServiceEnds,
			})
		}
	}
	return checked, nil
}

func (c *Commander) checkFlows(o checkOptions, file string, content []byte) (checkedDocument, error) {
	checked := checkedDocument{kind: kindFlows}
	if c.options.ParseConfig == nil {
		return checked, merry.Errorf("check %s: configurations of packet flows are not supported", file)
	}
	if o.against != "" {
		before, err := parser.ReadDocument(o.against)
		if err != nil {
			return checked, err
		}
		document := c.options.ParseConfig(o.against, before)
		// The version in force may have problems that a check would report, but it must
		// have a structure to compare with.
		if problems := document.Positions.Problems(); len(problems) > 0 {
			return checked, c.refuse(problems)
		}
		// A file of another kind has no version.
		if document.Config.Version == 0 {
			return checked, exitError{ExitInvalid, "compare with " + o.against + ": the document in force has no version"}
		}
		o.flows.InForce = &document.Config
	}
	result := checker.Check(c.options.ParseConfig(file, content), o.flows)
	checked.problems, checked.differences = result.Problems, result.Differences
	return checked, nil
}
