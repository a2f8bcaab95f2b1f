package commander

import (
	"context"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/internal/explainer"
)

// logTimeLayout is the format of log times. It includes milliseconds because a
// flow passes through several processes within a second.
const logTimeLayout = "15:04:05.000"

// flowExplanation is the JSON form of an explainer.Explanation.
type flowExplanation struct {
	Flow       string           `json:"flow"`
	Conclusion string           `json:"conclusion"`
	Unreadable int              `json:"unreadable_lines"`
	Lines      []explainer.Line `json:"lines"`
}

func (c *Commander) explainFlowCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell from logs what happened to a packet flow", ArgsUsage: "CALLER_ADDRESS:PORT LOG...",
		Flags: []cli.Flag{&cli.TimestampFlag{
			Name: "failed-at", Usage: "time of the failed request as in RFC 3339; what happened near it is searched for the cause",
			Config: cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}},
		}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			arguments, err := requireArguments(cmd, 2, -1)
			if err != nil {
				return err
			}
			return c.explainFlow(arguments[0], cmd.Timestamp("failed-at"), arguments[1:])
		},
	}
}

func (c *Commander) explainFlow(flow string, failedAt time.Time, paths []string) error {
	if _, err := netip.ParseAddrPort(flow); err != nil {
		return merry.Prepend(err, "parse caller address")
	}
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return merry.Prepend(err, "open log")
		}
		defer file.Close()
		logs = append(logs, file)
	}
	explanation, err := explainer.Explain(flow, failedAt, logs)
	if err != nil {
		return err
	}
	view := flowExplanation{Flow: flow, Conclusion: explanation.Conclusion(), Unreadable: explanation.Unreadable(), Lines: explanation.Lines()}
	return c.out.write(view, func() error { return c.writeFlowExplanation(view) })
}

func (c *Commander) writeFlowExplanation(view flowExplanation) error {
	var rows []table.Row
	for _, l := range view.Lines {
		rows = append(rows, table.Row{l.Time.In(c.options.Location).Format(logTimeLayout), l.Process, l.Message, l.Detail()})
	}
	if err := c.out.writeTable(table.Row{"TIME", "PROCESS", "MESSAGE", "DETAIL"}, rows); err != nil {
		return err
	}
	if view.Unreadable > 0 {
		if err := c.out.writeLine("%d lines could not be read", view.Unreadable); err != nil {
			return err
		}
	}
	return c.out.writeLine("%s", view.Conclusion)
}
