// Command measureforwarding compares the packets per core of a balancer with
// those of a bare UDP forwarder that uses the same sockets and batches.
//
// It starts one forwarder process at a time, sends it packets of a number of
// open flows, receives what it forwards, and divides the number of packets by
// the CPU time of that process, so that other load on the machine has little
// influence. The two kinds alternate. Each run is one JSON line; the last line
// is the summary, and the exit status is 1 if the objective is missed.
//
// # Usage
//
//	go run ./standin/cmd/measureforwarding -seed 1 -flows 1000,500000 -time 2s
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// objective is the smallest accepted ratio of the balancer's packets per core
// to those of the bare forwarder (design, section 9).
const objective = 0.70

// childArgument is the first argument that runs this program as a forwarder.
const childArgument = "forwarder"

// options holds the command line flags.
type options struct {
	seed    uint64
	flows   []int
	sizes   []int
	rounds  int
	runTime time.Duration
}

// result is the JSON line of one run.
type result struct {
	Measure        string  `json:"measure"`
	Kind           string  `json:"kind"`
	Seed           uint64  `json:"seed"`
	Flows          int     `json:"flows"`
	PacketBytes    int     `json:"packet_bytes"`
	Round          int     `json:"round"`
	Packets        uint64  `json:"packets"`
	CPUSeconds     float64 `json:"cpu_seconds"`
	PacketsPerCore float64 `json:"packets_per_core"`
	Received       uint64  `json:"received"`
	HeapBytes      uint64  `json:"heap_bytes"`
	Mallocs        uint64  `json:"mallocs"`
}

// comparison is the JSON line that compares the two kinds for one number of
// flows and one packet size.
type comparison struct {
	Measure                string  `json:"measure"`
	Seed                   uint64  `json:"seed"`
	Flows                  int     `json:"flows"`
	PacketBytes            int     `json:"packet_bytes"`
	BarePacketsPerCore     float64 `json:"bare_packets_per_core"`
	BalancerPacketsPerCore float64 `json:"balancer_packets_per_core"`
	Ratio                  float64 `json:"ratio"`
	BalancerHeapBytes      uint64  `json:"balancer_heap_bytes"`
}

// summary is the last JSON line.
type summary struct {
	Measure    string  `json:"measure"`
	Seed       uint64  `json:"seed"`
	LeastRatio float64 `json:"least_ratio"`
	Objective  float64 `json:"objective"`
	OK         bool    `json:"ok"`
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == childArgument {
		if err := runForwarder(os.Args[2:], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	ok, err := measure()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

func measure() (bool, error) {
	var p options
	flows := flag.String("flows", "1000,10000,100000,500000", "numbers of open flows")
	sizes := flag.String("sizes", "100,1200", "packet sizes in bytes")
	flag.Uint64Var(&p.seed, "seed", 1, "seed of the order of packets")
	flag.IntVar(&p.rounds, "rounds", 3, "rounds of each kind")
	flag.DurationVar(&p.runTime, "time", 2*time.Second, "time of one run")
	flag.Parse()
	if err := errors.Join(parseList(*flows, &p.flows), parseList(*sizes, &p.sizes)); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	out := json.NewEncoder(os.Stdout)
	least := 1e9
	for _, size := range p.sizes {
		for _, n := range p.flows {
			c, err := compare(ctx, p, n, size, out)
			if err != nil {
				return false, err
			}
			if err := out.Encode(c); err != nil {
				return false, err
			}
			least = min(least, c.Ratio)
		}
	}
	s := summary{Measure: "forwarding_summary", Seed: p.seed, LeastRatio: least, Objective: objective, OK: least >= objective}
	return s.OK, out.Encode(s)
}

// compare runs both kinds alternately and compares their median packets per
// core.
func compare(ctx context.Context, p options, flows, size int, out *json.Encoder) (comparison, error) {
	c := comparison{Measure: "forwarding_comparison", Seed: p.seed, Flows: flows, PacketBytes: size}
	l, err := newLoadGenerator(p.seed, flows, size)
	if err != nil {
		return c, err
	}
	defer l.close()
	rates := map[string][]float64{}
	for round := range p.rounds {
		for _, kind := range []string{kindBare, kindBalancer} {
			r, err := l.run(ctx, kind, p.runTime)
			if err != nil {
				return c, err
			}
			r.Measure, r.Seed, r.Flows, r.PacketBytes, r.Round = "forwarding", p.seed, flows, size, round
			if err := out.Encode(r); err != nil {
				return c, err
			}
			rates[kind] = append(rates[kind], r.PacketsPerCore)
			if kind == kindBalancer {
				c.BalancerHeapBytes = r.HeapBytes
			}
		}
	}
	c.BarePacketsPerCore, c.BalancerPacketsPerCore = median(rates[kindBare]), median(rates[kindBalancer])
	c.Ratio = c.BalancerPacketsPerCore / c.BarePacketsPerCore
	return c, nil
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func parseList(text string, list *[]int) error {
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n <= 0 {
			return fmt.Errorf("parse list %q: want positive numbers", text)
		}
		*list = append(*list, n)
	}
	return nil
}
