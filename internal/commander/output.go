package commander

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
)

const (
	formatTable = "table"
	formatJSON  = "json"
)

// maxColumn is the width in characters at which cells are wrapped. The platform
// key of a section, 91 characters long, fits.
const maxColumn = 100

// output writes results as tables or as JSON.
type output struct {
	w    io.Writer
	json bool
}

// write writes value as JSON, or calls writeTables if the output format is
// table.
func (o *output) write(value any, writeTables func() error) error {
	if !o.json {
		return writeTables()
	}
	e := json.NewEncoder(o.w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return merry.Prepend(e.Encode(value), "write output")
}

// writeLine writes a formatted line of text.
func (o *output) writeLine(format string, values ...any) error {
	_, err := fmt.Fprintf(o.w, format+"\n", values...)
	return merry.Prepend(err, "write output")
}

// writeTable writes a table, or nothing if there are no rows.
func (o *output) writeTable(header table.Row, rows []table.Row) error {
	if len(rows) == 0 {
		return nil
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	columns := make([]table.ColumnConfig, len(header))
	for i := range header {
		columns[i] = table.ColumnConfig{Number: i + 1, WidthMax: maxColumn}
	}
	t.SetColumnConfigs(columns)
	t.AppendHeader(header)
	t.AppendRows(rows)
	return o.writeLine("%s", t.Render())
}
