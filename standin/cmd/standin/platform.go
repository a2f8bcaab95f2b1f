package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/standin/platform"
)

// platformFaults is the body of PUT /adminz/faults.
type platformFaults struct {
	Down     bool  `json:"down"`
	Stale    bool  `json:"stale"`
	DelayMs  int64 `json:"delay_ms"`
	Mark     bool  `json:"mark"`
	RollBack bool  `json:"roll_back"`
}

func newPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the configuration service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "address of the read and watch API"},
			&cli.StringFlag{Name: "admin", Required: true, Usage: "address on which tests publish and set faults"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			address, err := netip.ParseAddrPort(c.String("listen"))
			if err != nil {
				return fmt.Errorf("parse --listen: %w", err)
			}
			p, err := platform.NewPlatform(platform.Options{Address: address})
			if err != nil {
				return err
			}
			group, ctx := errgroup.WithContext(ctx)
			group.Go(func() error { return p.Run(ctx) })
			group.Go(func() error { return serveHTTP(ctx, c.String("admin"), newPlatformAdmin(p)) })
			return group.Wait()
		},
	}
}

func newPlatformAdmin(p *platform.Platform) http.Handler {
	mux := newAdmin()
	handlePut(mux, "/adminz/fleet", func(fleet cataloger.FleetSpec) error {
		_, err := p.PublishFleet(fleet)
		return err
	})
	handlePut(mux, "/adminz/hosts", func(hosts []cataloger.HostSpec) error {
		for _, h := range hosts {
			if h.State == cataloger.HostRemoved {
				p.RemoveHost(h.Name)
				continue
			}
			p.SetHost(h)
		}
		return nil
	})
	handlePut(mux, "/adminz/faults", func(faults platformFaults) error {
		if faults.Mark {
			p.Mark()
		}
		if faults.RollBack {
			p.RollBack()
		}
		p.SetDown(faults.Down)
		p.SetStale(faults.Stale)
		p.SetDelay(time.Duration(faults.DelayMs) * time.Millisecond)
		return nil
	})
	mux.HandleFunc("GET /adminz/calls", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, p.Calls())
	})
	return mux
}
