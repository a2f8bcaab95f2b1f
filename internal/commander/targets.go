package commander

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
)

func (c *Commander) targetsCommand() *cli.Command {
	return &cli.Command{
		Name: "targets", Usage: "show the targets as each daemon sees them",
		Flags: daemonFlags(
			&cli.StringFlag{Name: "service", Usage: "show the targets of one service"},
			&cli.StringFlag{Name: "zone", Usage: "show the targets of one availability zone"},
			&cli.StringFlag{Name: "state", Usage: "show the targets in one state: " + targetStates()},
		),
		Action: c.runTargets,
	}
}

// targetStates returns the names of the states of a target.
func targetStates() string {
	var names []string
	for _, s := range api.TargetStateState("").AllValues() {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}

func (c *Commander) runTargets(ctx context.Context, cmd *cli.Command) error {
	if _, err := requireArguments(cmd, 0, 0); err != nil {
		return err
	}
	zone, state := cmd.String("zone"), cmd.String("state")
	if state != "" && !slices.Contains(api.TargetStateState("").AllValues(), api.TargetStateState(state)) {
		return merry.Errorf("read --state: %q is none of %s", state, targetStates())
	}
	params := api.ListTargetsParams{}
	if service := cmd.String("service"); service != "" {
		params.Service = api.NewOptString(service)
	}
	all, err := askDaemons(ctx, c, cmd, func(ctx context.Context, _ string, client *api.Client) ([]api.TargetState, error) {
		targets, err := client.ListTargets(ctx, params)
		return slices.DeleteFunc(targets, func(t api.TargetState) bool {
			return zone != "" && t.AvailabilityZone.Or("") != zone || state != "" && string(t.State) != state
		}), err
	})
	if err != nil {
		return err
	}
	if err := c.out.write(all, func() error { return c.printTargets(all) }); err != nil {
		return err
	}
	return finish(c, all)
}

// printTargets writes a line of totals for each daemon before the table, which may
// have hundreds of rows.
func (c *Commander) printTargets(all answers[[]api.TargetState]) error {
	var rows []table.Row
	for _, a := range all.Results {
		if err := c.out.writeLine("%s: %s", a.Daemon, countStates(a.Result)); err != nil {
			return err
		}
		for _, t := range a.Result {
			rows = append(rows, table.Row{
				a.Daemon, t.Service, t.Target, t.Number, t.AvailabilityZone.Or(""), t.State, t.Weight,
				optional(t.Flows), optional(t.Running), optional(t.Queued), optional(t.Slots), optionalMs(t.ShortCostMs), optionalMs(t.LongCostMs), optional(t.LastSeenMs), t.Reason.Or(""),
			})
		}
	}
	return c.out.writeTable(table.Row{
		"DAEMON", "SERVICE", "TARGET", "NUMBER", "ZONE", "STATE", "WEIGHT", "FLOWS", "RUNNING", "QUEUED", "SLOTS", "SHORT MS", "LONG MS", "SEEN MS AGO", "REASON",
	}, rows)
}

// countStates returns the number of targets, in all and by state.
func countStates(targets []api.TargetState) string {
	counts := make(map[api.TargetStateState]int)
	for _, t := range targets {
		counts[t.State]++
	}
	parts := []string{fmt.Sprintf("%d targets", len(targets))}
	for _, s := range api.TargetStateState("").AllValues() {
		if counts[s] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[s], s))
		}
	}
	return strings.Join(parts, ", ")
}

func (c *Commander) refusedEntriesCommand() *cli.Command {
	return &cli.Command{
		Name: "refused-entries", Usage: "show the entries of the platform that name no target to use, and why",
		Flags:  daemonFlags(),
		Action: c.runRefusedEntries,
	}
}

func (c *Commander) runRefusedEntries(ctx context.Context, cmd *cli.Command) error {
	if _, err := requireArguments(cmd, 0, 0); err != nil {
		return err
	}
	all, err := askDaemons(ctx, c, cmd, func(ctx context.Context, _ string, client *api.Client) ([]api.RefusedEntry, error) {
		return client.ListRefusedEntries(ctx)
	})
	if err != nil {
		return err
	}
	if err := c.out.write(all, func() error {
		var rows []table.Row
		for _, a := range all.Results {
			for _, e := range a.Result {
				rows = append(rows, table.Row{a.Daemon, e.Key, e.Revision, e.Reason})
			}
		}
		return c.out.writeTable(table.Row{"DAEMON", "KEY", "REVISION", "REASON"}, rows)
	}); err != nil {
		return err
	}
	return finish(c, all)
}
