package sizer

import (
	"context"
	"fmt"
	"runtime"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/watcher"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/keeper"
	"kingcupvalve.example/kingcupvalve/ranker"
	"kingcupvalve.example/kingcupvalve/selector"
)

// targetsPerService is the mean at the design size: 11,000 targets in 5,800
// services.
const targetsPerService = 2

// Names of the slopes that Measure returns.
const (
	SlopeSnapshotCPU        = "snapshot_build"
	SlopeSnapshotBytes      = "snapshot_memory"
	SlopeSelectCPU          = "select"
	SlopeSelectionTablesCPU = "selection_tables"
	SlopeHeadBytes          = "change_head_size"
	SlopeSectionBytes       = "change_section_size"
	SlopeTableBytes         = "table_size"
	SlopeChangeApplyCPU     = "change_apply"
	SlopeTreePositionCPU    = "tree_position"
	SlopeDigestCPU          = "digest_exchange"
	SlopeDigestBytes        = "digest_size"
	SlopeHostBytes          = "host_delta_size"
	SlopeSessionBytes       = "peer_session_memory"
	SlopeFlowBytes          = "flow_memory"
	SlopeHandshakeCPU       = "handshake"
)

var (
	targetSizes = []float64{1000, 2000, 4000, 8000}
	hostSizes   = []float64{400, 800, 1600, 3200}
)

// Measure measures all slopes. It takes about a minute and opens connections on
// loopback only.
func Measure(ctx context.Context) ([]Slope, error) {
	var slopes []Slope
	for _, measure := range []func() (Slope, error){
		measureSnapshotCPU, measureSnapshotBytes, measureSelect, measureSelectionTables, measureHeadBytes, measureSectionBytes, measureTableBytes, measureChangeApply,
		measureTreePosition, measureDigestCPU, measureDigestBytes, measureHostBytes,
		func() (Slope, error) { return measureSessionBytes(ctx) },
		func() (Slope, error) { return measureFlowBytes(ctx) },
		func() (Slope, error) { return measureHandshakeCPU(ctx) },
	} {
		s, err := measure()
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// newFleet returns a fleet document with the given number of targets.
func newFleet(targets int) cataloger.FleetSpec {
	fleet := cataloger.FleetSpec{Revision: 1}
	for i := 0; i < targets; i += targetsPerService {
		service := cataloger.ServiceSpec{
			Name: fmt.Sprintf("service-%05d", i), Number: uint16(i/targetsPerService + 1),
			Names:     []string{fmt.Sprintf("service-%05d.example", i)},
			Addresses: []string{fmt.Sprintf("10.%d.%d.1:443", i>>8, i&255)},
		}
		for j := range targetsPerService {
			number := i + j + 1
			service.Targets = append(service.Targets, cataloger.TargetSpec{
				Name: fmt.Sprintf("target-%05d", number), Number: uint32(number), Host: fmt.Sprintf("host-%05d", number),
				AvailabilityZone: "availability-zone-1", State: cataloger.TargetServing,
				TunnelAddress: "10.0.0.1:7000", ControlAddress: "10.0.0.1:7001",
			})
		}
		fleet.Services = append(fleet.Services, service)
	}
	return fleet
}

func measureSnapshotCPU() (Slope, error) {
	return measureSizes(SlopeSnapshotCPU, "us", "targets", targetSizes, func(size int) (float64, error) {
		fleet := newFleet(size)
		return measureCPU(func() error {
			_, err := cataloger.NewSnapshot(fleet, nil)
			return err
		})
	})
}

func measureSnapshotBytes() (Slope, error) {
	return measureSizes(SlopeSnapshotBytes, "bytes", "targets", targetSizes, func(size int) (float64, error) {
		fleet := newFleet(size)
		var snapshot *cataloger.Snapshot
		used, err := measureHeap(func() (err error) {
			snapshot, err = cataloger.NewSnapshot(fleet, nil)
			return err
		})
		runtime.KeepAlive(snapshot)
		runtime.KeepAlive(fleet)
		return used, err
	})
}

// measureHeap returns the growth of live heap and stacks during do, in bytes.
func measureHeap(do func() error) (float64, error) {
	before := measureLiveBytes()
	if err := do(); err != nil {
		return 0, err
	}
	return float64(measureLiveBytes()) - float64(before), nil
}

func measureLiveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func newTable(targets int) *selector.Table {
	entries := make([]selector.Entry, targets)
	for i := range entries {
		entries[i] = selector.NewEntry(uint32(i+1), 100)
	}
	return selector.NewTable(1, entries)
}

func measureSelect() (Slope, error) {
	const calls = 1000
	return measureSizes(SlopeSelectCPU, "us", "targets of a service", []float64{2, 8, 32, 128}, func(size int) (float64, error) {
		table := newTable(size)
		key := make([]byte, 20)
		used, err := measureCPU(func() error {
			for i := range calls {
				key[0], key[1] = byte(i), byte(i>>8)
				if _, ok := table.Select(key); !ok {
					return merry.New("select: no target")
				}
			}
			return nil
		})
		return used / calls, err
	})
}

func measureSelectionTables() (Slope, error) {
	return measureSizes(SlopeSelectionTablesCPU, "us", "targets", targetSizes, func(size int) (float64, error) {
		return measureCPU(func() error {
			for range size / targetsPerService {
				newTable(targetsPerService)
			}
			return nil
		})
	})
}

// changeOneTarget changes the state of one target. It returns the new head, all
// sections of the new revision and those that differ from the old one.
func changeOneTarget(fleet cataloger.FleetSpec) (head keeper.Head, all []cataloger.Section, changed []cataloger.Section, err error) {
	before, err := cataloger.SplitFleet(fleet)
	if err != nil {
		return head, nil, nil, err
	}
	fleet.Services[0].Targets[0].State = cataloger.TargetLeaving
	if all, err = cataloger.SplitFleet(fleet); err != nil {
		return head, nil, nil, err
	}
	refs := make([]keeper.SectionRef, len(all))
	for i, s := range all {
		refs[i] = keeper.ComputeRef(s.Name(), s.Content())
		if string(s.Content()) != string(before[i].Content()) {
			changed = append(changed, s)
		}
	}
	head, err = keeper.NewHead(fleet.Revision+1, refs)
	return head, all, changed, err
}

// measureChangeBytes returns the bytes of the head and of the sections that a peer
// receives when one target changes, and those of the whole unpacked table.
func measureChangeBytes(targets int) (head, sections, table int, err error) {
	fleet := newFleet(targets)
	before, err := cataloger.SplitFleet(fleet)
	if err != nil {
		return 0, 0, 0, err
	}
	refs := make([]keeper.SectionRef, len(before))
	for i, s := range before {
		refs[i] = keeper.ComputeRef(s.Name(), s.Content())
	}
	first, err := keeper.NewHead(fleet.Revision, refs)
	if err != nil {
		return 0, 0, 0, err
	}
	second, all, _, err := changeOneTarget(fleet)
	if err != nil {
		return 0, 0, 0, err
	}
	contents := make(map[keeper.Hash][]byte)
	for _, s := range all {
		contents[keeper.ComputeRef(s.Name(), s.Content()).Hash()] = s.Content()
		table += len(s.Content())
	}
	head, sections = watcher.ChangeSizes(first, second, func(h keeper.Hash) []byte { return contents[h] })
	return head, sections, table, nil
}

func measureHeadBytes() (Slope, error) {
	return measureSizes(SlopeHeadBytes, "bytes", "targets", targetSizes, func(size int) (float64, error) {
		head, _, _, err := measureChangeBytes(size)
		return float64(head), err
	})
}

func measureSectionBytes() (Slope, error) {
	return measureSizes(SlopeSectionBytes, "bytes", "targets", targetSizes, func(size int) (float64, error) {
		_, sections, _, err := measureChangeBytes(size)
		return float64(sections), err
	})
}

func measureTableBytes() (Slope, error) {
	return measureSizes(SlopeTableBytes, "bytes", "targets", targetSizes, func(size int) (float64, error) {
		_, _, table, err := measureChangeBytes(size)
		return float64(table), err
	})
}

func measureChangeApply() (Slope, error) {
	return measureSizes(SlopeChangeApplyCPU, "us", "targets", targetSizes, func(size int) (float64, error) {
		head, all, _, err := changeOneTarget(newFleet(size))
		if err != nil {
			return 0, err
		}
		return measureCPU(func() error {
			fleet, err := cataloger.JoinFleet(head.Revision(), all)
			if err != nil {
				return err
			}
			_, err = cataloger.NewSnapshot(fleet, nil)
			return err
		})
	})
}

func measureTreePosition() (Slope, error) {
	return measureSizes(SlopeTreePositionCPU, "us", "hosts", hostSizes, func(size int) (float64, error) {
		hosts := make([]ranker.Host, size)
		for i := range hosts {
			hosts[i] = ranker.NewHost(fmt.Sprintf("host-%05d", i), "availability-zone-1", true)
		}
		r := ranker.NewRanker(ranker.Options{})
		return measureCPU(func() error {
			r.Position(hosts, "host-00007", "availability-zone-1")
			return nil
		})
	})
}

func newDigest(number int) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Digest{Digest: &wirepb.Digest{
		Target: uint32(11_000 + number), Incarnation: 1 << 60, Service: 5800, State: "serving", Slots: 4,
		ShortRunning: 3, LongRunning: 1, ShortQueued: 20, LongQueued: 5, ShortCostUs: 25_000, LongCostUs: 900_000,
		ErrorPermille: 3, Sequence: 1 << 30, CapacityMilli: 40_000, Feeds: 1200,
	}}}
}

var digestSizes = []float64{64, 128, 256, 512}

func measureDigestCPU() (Slope, error) {
	return measureSizes(SlopeDigestCPU, "us", "digests", digestSizes, func(size int) (float64, error) {
		return measureCPU(func() error {
			for i := range size {
				b, err := proto.Marshal(newDigest(i))
				if err != nil {
					return err
				}
				if err := proto.Unmarshal(b, &wirepb.Envelope{}); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

func measureDigestBytes() (Slope, error) {
	return measureSizes(SlopeDigestBytes, "bytes", "digests", digestSizes, func(size int) (float64, error) {
		total := 0
		for i := range size {
			total += proto.Size(newDigest(i))
		}
		return float64(total), nil
	})
}

func measureHostBytes() (Slope, error) {
	return measureSizes(SlopeHostBytes, "bytes", "host changes", digestSizes, func(size int) (float64, error) {
		delta := &wirepb.HostDelta{FromVersion: 1 << 30, ToVersion: 1<<30 + uint64(size)}
		for i := range size {
			delta.Hosts = append(delta.Hosts, &wirepb.HostEntry{
				Name: fmt.Sprintf("host-%05d", i), Role: cataloger.RoleAgent, AvailabilityZone: "availability-zone-1",
				State: cataloger.HostLeaving, ControlAddress: "10.200.100.100:7001", TunnelAddress: "10.200.100.100:7000",
				Version: 1<<30 + uint64(i),
			})
		}
		return float64(proto.Size(delta)), nil
	})
}
