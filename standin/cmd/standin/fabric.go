package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"kingcupvalve.example/kingcupvalve/standin/fabric"
)

// fabricBalancer is one entry of the body of PUT /adminz/balancers.
type fabricBalancer struct {
	Name string `json:"name"`
	// Binds maps published addresses to local addresses of the balancer.
	Binds map[string]string `json:"binds"`
}

func newFabricCommand() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "spray datagrams over balancers",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "address", Required: true, Usage: "published address as ip:port"},
			&cli.StringFlag{Name: "admin", Required: true, Usage: "address on which tests set the balancers"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			options := fabric.Options{Seed: c.Uint64("seed")}
			for _, text := range c.StringSlice("address") {
				address, err := netip.ParseAddrPort(text)
				if err != nil {
					return fmt.Errorf("parse --address: %w", err)
				}
				options.Addresses = append(options.Addresses, address)
			}
			f, err := fabric.NewFabric(options)
			if err != nil {
				return err
			}
			admin := newAdmin()
			handlePut(admin, "/adminz/balancers", func(entries []fabricBalancer) error {
				balancers, err := newFabricBalancers(entries)
				if err == nil {
					f.SetBalancers(balancers)
				}
				return err
			})
			group, ctx := errgroup.WithContext(ctx)
			group.Go(func() error { return f.Run(ctx) })
			group.Go(func() error { return serveHTTP(ctx, c.String("admin"), admin) })
			return group.Wait()
		},
	}
}

func newFabricBalancers(entries []fabricBalancer) ([]fabric.Balancer, error) {
	var balancers []fabric.Balancer
	for _, e := range entries {
		binds := make(map[netip.AddrPort]netip.AddrPort, len(e.Binds))
		for published, local := range e.Binds {
			from, err := netip.ParseAddrPort(published)
			if err != nil {
				return nil, fmt.Errorf("parse published address: %w", err)
			}
			if binds[from], err = netip.ParseAddrPort(local); err != nil {
				return nil, fmt.Errorf("parse local address: %w", err)
			}
		}
		balancers = append(balancers, fabric.NewBalancer(e.Name, func(a netip.AddrPort) (netip.AddrPort, bool) {
			local, ok := binds[a]
			return local, ok
		}))
	}
	return balancers, nil
}
