package commander

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
)

// drainPoll is the interval at which drain --wait polls the daemons.
const drainPoll = 500 * time.Millisecond

type drainResult struct {
	// State is draining, or stopped once the daemon no longer answers.
	State string `json:"state"`
}

func (c *Commander) drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "start a graceful shutdown of daemons",
		Description: "Starts what SIGTERM starts. Several daemons are drained at once only with --all, because the rest of the fleet has to take over their work.",
		Flags: daemonFlags(
			&cli.BoolFlag{Name: "all", Usage: "drain all given daemons at once"},
			&cli.DurationFlag{Name: "wait", Usage: "wait at most this long until the daemons have stopped"},
		),
		Action: c.runDrain,
	}
}

func (c *Commander) runDrain(ctx context.Context, cmd *cli.Command) error {
	if _, err := requireArguments(cmd, 0, 0); err != nil {
		return err
	}
	addresses, err := daemonAddresses(cmd)
	if err != nil {
		return err
	}
	if len(addresses) > 1 && !cmd.Bool("all") {
		return merry.Errorf("drain %d daemons: give --all to drain several at once", len(addresses))
	}
	all, err := askDaemons(ctx, c, cmd, func(ctx context.Context, _ string, client *api.Client) (drainResult, error) {
		return drainResult{State: string(api.StatusStateDraining)}, client.StartDrain(ctx)
	})
	if err != nil {
		return err
	}
	pending := 0
	if wait := cmd.Duration("wait"); wait > 0 {
		if pending, err = c.waitForStop(ctx, cmd, &all, wait); err != nil {
			return err
		}
	}
	if err := c.out.write(all, func() error {
		var rows []table.Row
		for _, a := range all.Results {
			rows = append(rows, table.Row{a.Daemon, a.Result.State})
		}
		return c.out.writeTable(table.Row{"DAEMON", "STATE"}, rows)
	}); err != nil {
		return err
	}
	if err := finish(c, all); err != nil {
		return err
	}
	if pending > 0 {
		return merry.Errorf("wait for drain: %d daemons still answer", pending)
	}
	return nil
}

// waitForStop polls the drained daemons until none answers or the wait time is
// over. It returns the number of daemons that still answer.
func (c *Commander) waitForStop(ctx context.Context, cmd *cli.Command, all *answers[drainResult], wait time.Duration) (int, error) {
	client, closeIdle, err := c.newHTTPClient(cmd)
	if err != nil {
		return 0, err
	}
	defer closeIdle()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		pending := 0
		for i := range all.Results {
			a := &all.Results[i]
			if a.Result.State == "stopped" {
				continue
			}
			_, err := callDaemon(ctx, client, a.Daemon, cmd.Duration("timeout"), func(ctx context.Context, _ string, client *api.Client) (*api.Status, error) {
				return client.GetStatus(ctx)
			})
			if err != nil && ctx.Err() == nil {
				a.Result.State = "stopped"
				continue
			}
			pending++
		}
		if pending == 0 {
			return 0, nil
		}
		select {
		case <-ctx.Done():
			return pending, nil
		case <-ticker.C:
		}
	}
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
