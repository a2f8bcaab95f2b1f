package watcher

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/keeper"
)

var (
	measure     = flag.Bool("measure", false, "measure at full sizes and print JSON lines")
	measureSeed = flag.Uint64("measure_seed", 1, "seed of the measurement")
)

// changesPerDay is the number of configuration changes per day at the target
// size.
const changesPerDay = 2200

func printLine(t *testing.T, line map[string]any) {
	t.Helper()
	if !*measure {
		return
	}
	line["seed"] = *measureSeed
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		t.Fatal(err)
	}
}

// proportionedFleet returns a fleet with the proportions of the target size:
// 5,800 services with one address each for 11,000 targets.
func proportionedFleet(targets int) cataloger.FleetSpec {
	fleet := cataloger.FleetSpec{Revision: 1, Defaults: cataloger.PolicySpec{Slots: 2}}
	services := targets * 5800 / 11_000
	for i := range services {
		name := fmt.Sprintf("service-%05d", i)
		fleet.Services = append(fleet.Services, cataloger.ServiceSpec{
			Name: name, Number: uint16(i + 1), Names: []string{name + ".example"},
			Addresses: []string{fmt.Sprintf("10.%d.%d.1:443", 100+i/256, i%256)},
		})
	}
	for i := range targets {
		s := &fleet.Services[i%services]
		s.Targets = append(s.Targets, cataloger.TargetSpec{
			Name: fmt.Sprintf("t-%d", i), Number: uint32(i + 1), Host: fmt.Sprintf("host-%05d", i), AvailabilityZone: "howrah",
			TunnelAddress:  fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256),
			ControlAddress: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
		})
	}
	return fleet
}

// splitSections returns the head and the contents of a fleet, split into sections
// as published or, with whole, as one table.
func splitSections(t interface {
	Helper()
	Fatal(...any)
}, fleet cataloger.FleetSpec, whole bool,
) (keeper.Head, map[keeper.Hash][]byte) {
	t.Helper()
	var sections []cataloger.Section
	var err error
	if whole {
		content, err := json.Marshal(fleet)
		if err != nil {
			t.Fatal(err)
		}
		sections = append(sections, cataloger.NewSection("fleet", content))
	} else if sections, err = cataloger.SplitFleet(fleet); err != nil {
		t.Fatal(err)
	}
	contents := make(map[keeper.Hash][]byte)
	var refs []keeper.SectionRef
	for _, s := range sections {
		// The keeper limits a value to the size that the platform accepts. A
		// larger table is split, so that it can still be measured.
		for i, content := 0, s.Content(); len(content) > 0 || i == 0; i++ {
			n := min(len(content), keeper.MaxSectionBytes)
			ref := keeper.ComputeRef(fmt.Sprintf("%s-%d", s.Name(), i), content[:n])
			refs, contents[ref.Hash()] = append(refs, ref), content[:n]
			content = content[n:]
		}
	}
	head, err := keeper.NewHead(fleet.Revision, refs)
	if err != nil {
		t.Fatal(err)
	}
	return head, contents
}

// TestMeasureChange compares the bytes and CPU time that one changed target costs
// a receiver of the whole table and a receiver of the changed section only.
func TestMeasureChange(t *testing.T) {
	sizes := []int{1000}
	if *measure {
		sizes = []int{1375, 2750, 5500, 11_000}
	}
	bytesOf := make(map[bool]int)
	for _, targets := range sizes {
		for _, whole := range []bool{true, false} {
			fleet := proportionedFleet(targets)
			first, firstContents := splitSections(t, fleet, whole)
			fleet.Revision = 2
			fleet.Services[7].Targets[0].State = cataloger.TargetLeaving
			second, secondContents := splitSections(t, fleet, whole)
			newBaseKeeper := func() *keeper.Keeper {
				var j joiner
				k := keeper.NewKeeper(keeper.Options{Check: func(revision uint64, sections []keeper.Section) error {
					document, err := join(&j, revision, sections, whole)
					if err != nil {
						return err
					}
					_, err = cataloger.NewSnapshot(document, nil)
					return err
				}})
				k.Offer(first, "p", time.Time{})
				for _, c := range firstContents {
					k.Store(c)
				}
				return k
			}
			k := newBaseKeeper()
			k.Offer(second, "p", time.Time{})
			missing := k.Missing()
			headBytes, sectionBytes := ChangeSizes(first, second, func(h keeper.Hash) []byte { return secondContents[h] })
			wire := headBytes + sectionBytes
			bytesOf[whole] = wire
			line := map[string]any{
				"measure": "change", "targets": targets, "whole_table": whole, "bytes_per_change": wire,
				"bytes_per_second": float64(wire) * changesPerDay / 86_400, "largest_value_fits": len(secondContents) == len(second.Sections()) && (!whole || len(second.Sections()) == 1),
			}
			if *measure {
				result := testing.Benchmark(func(b *testing.B) {
					for b.Loop() {
						b.StopTimer()
						k := newBaseKeeper()
						b.StartTimer()
						k.Offer(second, "p", time.Time{})
						for _, r := range missing {
							k.Store(secondContents[r.Hash()])
						}
						if k.Head().Revision() != 2 {
							b.Fatal("not accepted")
						}
					}
				})
				line["cpu_ms_per_change"] = float64(result.NsPerOp()) / 1e6
				line["cpu_share_percent"] = float64(result.NsPerOp()) / 1e9 * changesPerDay / 86_400 * 100
			}
			printLine(t, line)
		}
	}
	is.New(t).True(bytesOf[false]*4 < bytesOf[true]) // sections must save most of the bytes
}

func join(j *joiner, revision uint64, sections []keeper.Section, whole bool) (cataloger.FleetSpec, error) {
	if !whole {
		return j.join(revision, sections)
	}
	var content []byte
	for _, s := range sections {
		content = append(content, s.Content()...)
	}
	var fleet cataloger.FleetSpec
	err := json.Unmarshal(content, &fleet)
	return fleet, err
}
