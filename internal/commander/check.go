package commander

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/validator"
)

// Values of --kind.
const (
	kindAuto     = "auto"
	kindFleet    = "fleet"
	kindSettings = "settings"
)

type checkResult struct {
	Files    []checkedFile     `json:"files"`
	Problems []problemDocument `json:"problems"`
}

type checkedFile struct {
	File     string `json:"file"`
	Kind     string `json:"kind"`
	Problems int    `json:"problems"`
}

func (c *Commander) checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check settings files and fleet documents", ArgsUsage: "FILE...",
		Description: "Writes each problem with file, line, key, value and what is accepted. Ends with 2 when there is one. " +
			"Checking settings reads the key and certificate files that they name.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Value: kindAuto, Usage: "auto, fleet or settings"},
			&cli.StringFlag{Name: "previous", TakesFile: true, Usage: "fleet document published before, whose numbers must be kept"},
		},
		Action: c.runCheck,
	}
}

func (c *Commander) runCheck(_ context.Context, cmd *cli.Command) error {
	files, err := requireArguments(cmd, 1, -1)
	if err != nil {
		return err
	}
	result := checkResult{Files: []checkedFile{}, Problems: []problemDocument{}}
	var problems []validator.Problem
	for _, file := range files {
		kind, found, err := c.checkFile(cmd.String("kind"), cmd.String("previous"), file)
		if err != nil {
			return err
		}
		result.Files = append(result.Files, checkedFile{File: file, Kind: kind, Problems: len(found)})
		problems = append(problems, found...)
	}
	result.Problems = newProblemDocuments(problems)
	if err := c.out.write(result, func() error {
		for _, p := range problems {
			if err := c.out.writeLine("%s", p); err != nil {
				return err
			}
		}
		for _, f := range result.Files {
			if err := c.out.writeLine("%s: %s document; problems: %d", f.File, f.Kind, f.Problems); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return err
	}
	if len(problems) > 0 {
		return exitError{code: ExitInvalid}
	}
	return nil
}

// checkFile returns the kind of a document and its problems.
func (c *Commander) checkFile(kind, previous, file string) (string, []validator.Problem, error) {
	settings, err := parser.ParseSettings(file)
	if err != nil {
		return "", nil, exitError{ExitInvalid, err.Error()}
	}
	fleet, positions, problems, err := readFleet(file)
	if err != nil {
		return "", nil, err
	}
	switch kind {
	case kindFleet, kindSettings:
	case kindAuto:
		// The two kinds have different keys, so the document is of the kind
		// with fewer structural errors.
		kind = kindFleet
		if len(settings.Positions().Problems()) < len(positions.Problems()) {
			kind = kindSettings
		}
	default:
		return "", nil, merry.Errorf("read --kind: %q is neither auto nor fleet nor settings", kind)
	}
	if kind == kindSettings {
		return kind, validator.ValidateSettings(settings), nil
	}
	if previous != "" && len(problems) == 0 {
		before, err := c.readValidFleet(previous)
		if err != nil {
			return "", nil, err
		}
		problems = validator.ValidateFleetDocumentUpdate(before, fleet, positions)
	}
	return kind, problems, nil
}
