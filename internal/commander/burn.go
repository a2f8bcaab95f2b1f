package commander

import (
	"context"
	"io"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/reporter"
)

// minLookback is how far back burn counts are requested even if the report
// covers less. It includes the longest alert window, 6 h, and the whole hour in
// which that begins.
const minLookback = 7 * time.Hour

func (c *Commander) burnCommand() *cli.Command {
	return &cli.Command{
		Name: "burn", Usage: "report the error budget spent by service",
		Description: "Covers the last weekend, Friday 17:00 to Monday 09:00 or to now, unless --since, --from or --to is given. " +
			"Daemons keep counts for 4 days and in memory only; the report states what it covers.",
		Flags: daemonFlags(
			fleetFlag(false),
			&cli.DurationFlag{Name: "since", Usage: "cover this long before --to or now, such as 24h"},
			&cli.TimestampFlag{Name: "from", Usage: "begin of the window as 2006-01-02T15:04:05Z", Config: timestampConfig()},
			&cli.TimestampFlag{Name: "to", Usage: "end of the window as 2006-01-02T15:04:05Z", Config: timestampConfig()},
			&cli.StringFlag{Name: "service", Usage: "report one service"},
			&cli.StringFlag{Name: "html", TakesFile: true, Usage: "write the report as one HTML page to this file, too"},
		),
		Action: c.runBurn,
	}
}

func timestampConfig() cli.TimestampConfig {
	return cli.TimestampConfig{Layouts: []string{time.RFC3339}}
}

// burnWindow returns the time range selected by the flags; by default, the last
// weekend.
func (c *Commander) burnWindow(cmd *cli.Command) (from, to time.Time, err error) {
	now := c.options.Now().In(c.options.Location)
	from, to = reporter.LastWeekend(now)
	since := cmd.Duration("since")
	if since > 0 || cmd.IsSet("from") || cmd.IsSet("to") {
		if to = now; cmd.IsSet("to") {
			to = cmd.Timestamp("to")
		}
		from = to.Add(-reporter.Retention)
		if cmd.IsSet("from") {
			from = cmd.Timestamp("from")
		} else if since > 0 {
			from = to.Add(-since)
		}
	}
	if since < 0 || (since > 0 && cmd.IsSet("from")) {
		return from, to, merry.New("read window: give --from or a positive --since, not both")
	}
	if !from.Before(to) || to.After(now) {
		return from, to, merry.Errorf("read window: %s to %s is empty or ends in the future", from.Format(time.RFC3339), to.Format(time.RFC3339))
	}
	if to.Sub(from) > 31*24*time.Hour {
		return from, to, merry.New("read window: longer than 31 days; daemons keep counts for 4 days")
	}
	return from, to, nil
}

func (c *Commander) runBurn(ctx context.Context, cmd *cli.Command) error {
	if _, err := requireArguments(cmd, 0, 0); err != nil {
		return err
	}
	from, to, err := c.burnWindow(cmd)
	if err != nil {
		return err
	}
	o := reporter.Options{From: from, To: to, Now: c.options.Now(), Service: cmd.String("service")}
	if file := cmd.String("fleet"); file != "" {
		fleet, err := c.readValidFleet(file)
		if err != nil {
			return err
		}
		o.Fleet = &fleet
	}
	first := from
	if earliest := to.Add(-minLookback); first.After(earliest) {
		first = earliest
	}
	// Responses are summed as they arrive, since those of a large fleet take
	// gigabytes of memory.
	builder := reporter.NewBuilder(o)
	var mutex sync.Mutex
	all, err := askDaemons(ctx, c, cmd, func(ctx context.Context, daemon string, client *api.Client) (struct{}, error) {
		burn, err := client.GetBurn(ctx, api.GetBurnParams{SinceUnixSeconds: api.NewOptInt64(first.Unix())})
		if err != nil {
			return struct{}{}, err
		}
		mutex.Lock()
		defer mutex.Unlock()
		builder.Add(reporter.Source{Daemon: daemon, Burn: burn})
		return struct{}{}, nil
	})
	if err != nil {
		return err
	}
	for _, u := range all.Unreachable {
		builder.Add(reporter.Source{Daemon: u.Daemon, Err: merry.New(u.Error)})
	}
	report := builder.Report()
	if err := c.out.write(report, func() error { return reporter.WriteTable(c.options.Out, report, c.options.Location) }); err != nil {
		return err
	}
	if path := cmd.String("html"); path != "" {
		if err := writePage(path, func(w io.Writer) error { return reporter.WriteHTML(w, report, c.options.Location) }); err != nil {
			return err
		}
	}
	return finish(c, all)
}

func writePage(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return merry.Prepend(err, "write burn page")
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return merry.Prepend(f.Close(), "write burn page")
}
