package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/standin/backend"
)

func newBackendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run a backend server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "address as ip:port"},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "name", Required: true},
			&cli.IntFlag{Name: "slots", Value: 2},
			&cli.Float64Flag{Name: "speed", Value: 1},
			&cli.Int64Flag{Name: "feed-epoch-ms", Usage: "time of feed event 0 in unix ms"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			server := backend.NewServer(backend.Options{
				Service: c.String("service"), Name: c.String("name"), Slots: c.Int("slots"),
				Speed: c.Float64("speed"), FeedEpoch: time.UnixMilli(c.Int64("feed-epoch-ms")),
			})
			handler, err := server.Handler()
			if err != nil {
				return err
			}
			return serveHTTP(ctx, c.String("listen"), handler)
		},
	}
}
