package commander

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
)

// maxFlows is the maximum number of flows that the operator API returns.
const maxFlows = 10_000

func (c *Commander) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show state and configuration revision of daemons",
		Flags:  daemonFlags(&cli.BoolFlag{Name: "counters", Usage: "show counters, too"}),
		Action: c.runStatus,
	}
}

func (c *Commander) runStatus(ctx context.Context, cmd *cli.Command) error {
	if _, err := requireArguments(cmd, 0, 0); err != nil {
		return err
	}
	all, err := askDaemons(ctx, c, cmd, func(ctx context.Context, _ string, client *api.Client) (*api.Status, error) {
		return client.GetStatus(ctx)
	})
	if err != nil {
		return err
	}
	document, err := newStatusDocument(all)
	if err != nil {
		return err
	}
	if err := c.out.write(document, func() error { return c.printStatus(all, cmd.Bool("counters")) }); err != nil {
		return err
	}
	return finish(c, all)
}

// newStatusDocument returns the statuses with sorted JSON keys. The generated
// encoder writes counters in random map order.
func newStatusDocument(all answers[*api.Status]) (answers[map[string]any], error) {
	document := answers[map[string]any]{Results: []answer[map[string]any]{}, Unreachable: all.Unreachable}
	for _, a := range all.Results {
		content, err := a.Result.MarshalJSON()
		if err != nil {
			return document, merry.Prepend(err, "encode status")
		}
		d := json.NewDecoder(bytes.NewReader(content))
		d.UseNumber()
		sorted := answer[map[string]any]{Daemon: a.Daemon}
		if err := d.Decode(&sorted.Result); err != nil {
			return document, merry.Prepend(err, "encode status")
		}
		document.Results = append(document.Results, sorted)
	}
	return document, nil
}

func (c *Commander) printStatus(all answers[*api.Status], counters bool) error {
	var rows, counterRows []table.Row
	for _, a := range all.Results {
		s := a.Result
		rows = append(rows, table.Row{
			a.Daemon, s.Process, s.Role, s.AvailabilityZone, s.State, s.Revision, s.ConfigState, formatAge(c.options.Now().Sub(s.StartedAt)),
			s.Version, optional(s.Flows), strings.Join(s.EvacuatedZones, ", "), describeBehind(s), s.ConfigMessage.Or(""),
		})
		for _, name := range sortedNames(s.Counters) {
			counterRows = append(counterRows, table.Row{s.Process, name, s.Counters[name]})
		}
	}
	if err := c.out.writeTable(table.Row{"DAEMON", "PROCESS", "ROLE", "ZONE", "STATE", "REVISION", "CONFIG", "AGE", "VERSION", "FLOWS", "EVACUATED", "BEHIND", "MESSAGE"}, rows); err != nil {
		return err
	}
	if !counters {
		return nil
	}
	return c.out.writeTable(table.Row{"PROCESS", "COUNTER", "VALUE"}, counterRows)
}

// describeBehind returns the number of processes that lack the newest evacuation
// request, or a hyphen if the daemon knows of no request.
func describeBehind(s *api.Status) string {
	if !s.EvacuationRevision.IsSet() {
		return "-"
	}
	return strconv.Itoa(len(s.EvacuationBehind))
}

func (c *Commander) flowsCommand() *cli.Command {
	return &cli.Command{
		Name: "flows", Usage: "show the open flows of agents",
		Flags:  daemonFlags(&cli.IntFlag{Name: "limit", Value: 100, Usage: "largest number of flows of each daemon, 1 to 10000"}),
		Action: c.runFlows,
	}
}

func (c *Commander) runFlows(ctx context.Context, cmd *cli.Command) error {
	if _, err := requireArguments(cmd, 0, 0); err != nil {
		return err
	}
	if limit := cmd.Int("limit"); limit < 1 || limit > maxFlows {
		return merry.Errorf("read --limit: %d is not from 1 to %d", limit, maxFlows)
	}
	all, err := askDaemons(ctx, c, cmd, func(ctx context.Context, _ string, client *api.Client) ([]api.Flow, error) {
		return client.ListFlows(ctx, api.ListFlowsParams{Limit: api.NewOptInt(cmd.Int("limit"))})
	})
	if err != nil {
		return err
	}
	if err := c.out.write(all, func() error {
		var rows []table.Row
		for _, a := range all.Results {
			for _, f := range a.Result {
				rows = append(rows, table.Row{a.Daemon, f.Service, f.Caller, formatAge(c.options.Now().Sub(f.OpenedAt)), f.Requests, optional(f.Feeds)})
			}
		}
		return c.out.writeTable(table.Row{"DAEMON", "SERVICE", "CALLER", "AGE", "REQUESTS", "FEEDS"}, rows)
	}); err != nil {
		return err
	}
	return finish(c, all)
}

// formatAge formats a duration with its two largest units, such as 2d3h. A
// negative duration is 0s.
func formatAge(d time.Duration) string {
	switch {
	case d < 0:
		return "0s"
	case d < time.Minute:
		return fmt.Sprintf("%ds", d/time.Second)
	case d < time.Hour:
		return fmt.Sprintf("%dm%ds", d/time.Minute, d%time.Minute/time.Second)
	case d < 24*time.Hour:
		return fmt.Sprintf("%dh%dm", d/time.Hour, d%time.Hour/time.Minute)
	}
	return fmt.Sprintf("%dd%dh", d/(24*time.Hour), d%(24*time.Hour)/time.Hour)
}

// optional formats an optional value, or returns a hyphen if it is not set.
func optional[T cmp.Ordered](value interface{ Get() (T, bool) }) string {
	if v, ok := value.Get(); ok {
		return fmt.Sprint(v)
	}
	return "-"
}

// optionalMs formats an optional number of milliseconds with one decimal, or
// returns a hyphen if it is not set.
func optionalMs(value api.OptFloat64) string {
	if v, ok := value.Get(); ok {
		return fmt.Sprintf("%.1f", v)
	}
	return "-"
}
