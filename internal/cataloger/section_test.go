package cataloger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func newFleet(services int) FleetSpec {
	fleet := FleetSpec{Revision: 7, Defaults: PolicySpec{Slots: 4}}
	for i := range services {
		fleet.Services = append(fleet.Services, ServiceSpec{
			Name: fmt.Sprintf("service-%03d", i), Number: uint16(i + 1), Names: []string{"a.example"},
			Addresses: []string{fmt.Sprintf("127.10.0.%d:443", i+1)},
			Targets:   []TargetSpec{{Name: "t", Number: uint32(i + 1), TunnelAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:2"}},
		})
	}
	return fleet
}

func TestSplitAndJoinFleet(t *testing.T) {
	t.Run("a joined fleet equals the one that was split", func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(200)
		fleet.Exceptions = []ExceptionSpec{{Scope: "service-001", Key: "slots", Value: 1, Reason: "old host"}}
		sections, err := SplitFleet(fleet)
		is.NoErr(err)
		joined, err := JoinFleet(fleet.Revision, sections)
		is.NoErr(err)
		is.Equal(joined, fleet)
	})
	t.Run("a change to one service changes one section only", func(t *testing.T) {
		is := is.New(t)
		before, err := SplitFleet(newFleet(200))
		is.NoErr(err)
		fleet := newFleet(200)
		fleet.Services[17].Targets[0].State = TargetLeaving
		after, err := SplitFleet(fleet)
		is.NoErr(err)
		changed := 0
		for i := range before {
			if string(before[i].Content()) != string(after[i].Content()) {
				changed++
			}
		}
		is.Equal(changed, 1)
	})
}

func TestResolvePolicy(t *testing.T) {
	t.Run("target exceptions override service exceptions and defaults", func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(1)
		fleet.Exceptions = []ExceptionSpec{
			{Scope: "service-000/t", Key: "slots", Value: 1, Reason: "half the memory"},
			{Scope: "service-000", Key: "slots", Value: 3, Reason: "shared host"},
		}
		snapshot, err := NewSnapshot(fleet, nil)
		is.NoErr(err)
		service, ok := snapshot.ServiceByName("service-000")
		is.True(ok)
		is.Equal(service.Policy().Slots, int64(3))
		is.Equal(service.Targets()[0].Policy().Slots, int64(1))
		is.Equal(service.Policy().Weight, BuiltinPolicy().Weight)
	})
}

func TestHasName(t *testing.T) {
	t.Run("a name matches with a port and in any letter case", func(t *testing.T) {
		is := is.New(t)
		service := &Service{names: []string{"cutlist.example"}}
		is.True(service.HasName("Cutlist.example:443"))
		is.True(!service.HasName("archive.example"))
	})
}
