package commander

import (
	"context"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/validator"
	"kingcupvalve.example/kingcupvalve/keeper"
)

type publishableResult struct {
	Revision uint64             `json:"revision"`
	Values   []publishableValue `json:"values"`
}

// publishableValue is a key and value to publish on the platform.
type publishableValue struct {
	Key       string `json:"key"`
	SizeBytes int    `json:"size_bytes"`
	// File is the path of the file with the value, or empty if none was written.
	File string `json:"file"`
	// IsNew is false for a section that the previous document already contains.
	IsNew   bool `json:"is_new"`
	content []byte
}

func (c *Commander) publishableCommand() *cli.Command {
	return &cli.Command{
		Name: "publishable", Usage: "write the platform values of a fleet document to a directory", ArgsUsage: "FILE",
		Description: "Writes one file per platform key and publishes nothing. Publish the sections first and fleet/head last, " +
			"so that no daemon sees a head whose sections are missing.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "directory", Aliases: []string{"d"}, TakesFile: true, Usage: "directory for the files; without it, the values are only listed"},
			&cli.StringFlag{Name: "previous", TakesFile: true, Usage: "fleet document published before; sections that it has, too, are left out"},
		},
		Action: c.runPublishable,
	}
}

func (c *Commander) runPublishable(_ context.Context, cmd *cli.Command) error {
	files, err := requireArguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	fleet, positions, problems, err := readFleet(files[0])
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return c.refuse(problems)
	}
	published := make(map[string]bool)
	if previous := cmd.String("previous"); previous != "" {
		before, err := c.readValidFleet(previous)
		if err != nil {
			return err
		}
		if problems := validator.ValidateFleetDocumentUpdate(before, fleet, positions); len(problems) > 0 {
			return c.refuse(problems)
		}
		values, err := publishableValues(before)
		if err != nil {
			return err
		}
		for _, v := range values {
			published[v.Key] = v.Key != keeper.HeadKey
		}
	}
	values, err := publishableValues(fleet)
	if err != nil {
		return err
	}
	for i := range values {
		values[i].IsNew = !published[values[i].Key]
		if directory := cmd.String("directory"); directory != "" && values[i].IsNew {
			if values[i].File, err = writeValue(directory, values[i]); err != nil {
				return err
			}
		}
	}
	result := publishableResult{Revision: fleet.Revision, Values: values}
	return c.out.write(result, func() error {
		var rows []table.Row
		for _, v := range values {
			if v.IsNew {
				rows = append(rows, table.Row{v.Key, v.SizeBytes, v.File})
			}
		}
		if err := c.out.writeTable(table.Row{"KEY", "BYTES", "FILE"}, rows); err != nil {
			return err
		}
		return c.out.writeLine("Revision %d; values to publish: %d of %d, %s last.", fleet.Revision, len(rows), len(values), keeper.HeadKey)
	})
}

// publishableValues returns the values to publish for a fleet document: its
// sections, then the head, which refers to them.
func publishableValues(fleet cataloger.FleetSpec) ([]publishableValue, error) {
	sections, err := cataloger.SplitFleet(fleet)
	if err != nil {
		return nil, err
	}
	var values []publishableValue
	var refs []keeper.SectionRef
	for _, s := range sections {
		ref := keeper.ComputeRef(s.Name(), s.Content())
		refs = append(refs, ref)
		values = append(values, publishableValue{Key: ref.Key(), SizeBytes: len(s.Content()), content: s.Content()})
	}
	head, err := keeper.NewHead(fleet.Revision, refs)
	if err != nil {
		return nil, merry.Prepend(err, "build head")
	}
	content := head.Encode()
	return append(values, publishableValue{Key: keeper.HeadKey, SizeBytes: len(content), content: content}), nil
}

// writeValue writes a value to a file below directory and returns its path.
func writeValue(directory string, v publishableValue) (string, error) {
	path := filepath.Join(directory, filepath.FromSlash(v.Key))
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return "", merry.Prepend(err, "write value")
	}
	if err := os.WriteFile(path, v.content, 0o644); err != nil {
		return "", merry.Prepend(err, "write value")
	}
	return path, nil
}
