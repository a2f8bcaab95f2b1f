package validator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// mutation makes one change to a valid fleet that must be reported at key.
type mutation struct {
	name   string
	mutate func(*cataloger.FleetSpec)
	key    string
}

// mutations returns single errors. Each changes services[0] or exceptions[0], or
// adds a duplicate of them.
func mutations() []mutation {
	service := func(f func(*cataloger.ServiceSpec)) func(*cataloger.FleetSpec) {
		return func(fleet *cataloger.FleetSpec) { f(&fleet.Services[0]) }
	}
	target := func(f func(*cataloger.TargetSpec)) func(*cataloger.FleetSpec) {
		return func(fleet *cataloger.FleetSpec) { f(&fleet.Services[0].Targets[0]) }
	}
	exception := func(f func(*cataloger.ExceptionSpec)) func(*cataloger.FleetSpec) {
		return func(fleet *cataloger.FleetSpec) {
			value := int64(1)
			if base, _ := fleet.Defaults.WithDefaults(cataloger.BuiltinPolicy()).Value("weight"); base == 1 {
				value = 2
			}
			fleet.Exceptions = []cataloger.ExceptionSpec{{Scope: "service-0", Key: "weight", Value: value, Reason: "old host"}}
			f(&fleet.Exceptions[0])
		}
	}
	all := []mutation{
		{"no revision", func(f *cataloger.FleetSpec) { f.Revision = 0 }, "revision"},
		{"service name", service(func(s *cataloger.ServiceSpec) { s.Name = "Cut List"; s.Targets = s.Targets[:1] }), "services[0].name"},
		{"service number 0", service(func(s *cataloger.ServiceSpec) { s.Number = 0 }), "services[0].number"},
		{"no host names", service(func(s *cataloger.ServiceSpec) { s.Names = nil }), "services[0].names"},
		{"host name with port", service(func(s *cataloger.ServiceSpec) { s.Names[0] = "a.example:443" }), "services[0].names[0]"},
		{"no addresses", service(func(s *cataloger.ServiceSpec) { s.Addresses = nil }), "services[0].addresses"},
		{"address without port", service(func(s *cataloger.ServiceSpec) { s.Addresses[0] = "192.0.2.1" }), "services[0].addresses[0]"},
		{"address 0.0.0.0", service(func(s *cataloger.ServiceSpec) { s.Addresses[0] = "0.0.0.0:443" }), "services[0].addresses[0]"},
		{"address not canonical", service(func(s *cataloger.ServiceSpec) { s.Addresses[0] = "[2001:DB8::1]:443" }), "services[0].addresses[0]"},
		{"no targets", service(func(s *cataloger.ServiceSpec) { s.Targets = nil }), "services[0].targets"},
		{"target name", target(func(t *cataloger.TargetSpec) { t.Name = "" }), "services[0].targets[0].name"},
		{"target number 0", target(func(t *cataloger.TargetSpec) { t.Number = 0 }), "services[0].targets[0].number"},
		{"target host", target(func(t *cataloger.TargetSpec) { t.Host = "" }), "services[0].targets[0].host"},
		{"target zone", target(func(t *cataloger.TargetSpec) { t.AvailabilityZone = "a b" }), "services[0].targets[0].availability_zone"},
		{"tunnel address", target(func(t *cataloger.TargetSpec) { t.TunnelAddress = "10.0.0.1:0" }), "services[0].targets[0].tunnel_address"},
		{"tunnel address is published", target(func(t *cataloger.TargetSpec) { t.TunnelAddress = "192.0.2.1:443" }), "services[0].targets[0].tunnel_address"},
		{"control address", target(func(t *cataloger.TargetSpec) { t.ControlAddress = "host:1" }), "services[0].targets[0].control_address"},
		{"target state", target(func(t *cataloger.TargetSpec) { t.State = "leavng" }), "services[0].targets[0].state"},
		{"exception without reason", exception(func(e *cataloger.ExceptionSpec) { e.Reason = " " }), "exceptions[0].reason"},
		{"exception scope", exception(func(e *cataloger.ExceptionSpec) { e.Scope = "service-O" }), "exceptions[0].scope"},
		{"exception target", exception(func(e *cataloger.ExceptionSpec) { e.Scope = "service-0/none" }), "exceptions[0].scope"},
		{"exception key", exception(func(e *cataloger.ExceptionSpec) { e.Key = "wieght" }), "exceptions[0].key"},
		{"exception value", exception(func(e *cataloger.ExceptionSpec) { e.Value = 1001 }), "exceptions[0].value"},
		{"exception changes nothing", func(f *cataloger.FleetSpec) {
			value, _ := f.Defaults.WithDefaults(cataloger.BuiltinPolicy()).Value("slots")
			f.Exceptions = []cataloger.ExceptionSpec{{Scope: "service-0", Key: "slots", Value: value, Reason: "old"}}
		}, "exceptions[0].value"},
		{"exception repeats its service's", func(f *cataloger.FleetSpec) {
			exception(func(*cataloger.ExceptionSpec) {})(f)
			e := f.Exceptions[0]
			e.Scope = "service-0/t0"
			f.Exceptions = append(f.Exceptions, e)
		}, "exceptions[1].value"},
		{"duplicate exception", func(f *cataloger.FleetSpec) {
			exception(func(*cataloger.ExceptionSpec) {})(f)
			f.Exceptions = append(f.Exceptions, f.Exceptions[0])
		}, "exceptions[1]"},
	}
	copyOf := func(f func(*cataloger.ServiceSpec, *cataloger.TargetSpec)) func(*cataloger.FleetSpec) {
		return func(fleet *cataloger.FleetSpec) {
			t := cataloger.TargetSpec{Name: "copy", Number: 4_000_000_000, Host: "copy", AvailabilityZone: "howrah", TunnelAddress: "10.9.9.9:1", ControlAddress: "10.9.9.9:2"}
			s := cataloger.ServiceSpec{Name: "copy", Number: 60_000, Names: []string{"copy.example"}, Addresses: []string{"192.0.2.250:443"}}
			f(&s, &t)
			s.Targets = []cataloger.TargetSpec{t}
			fleet.Services = append(fleet.Services[:1:1], s)
			fleet.Exceptions = nil
		}
	}
	return append(all,
		mutation{"service name twice", copyOf(func(s *cataloger.ServiceSpec, _ *cataloger.TargetSpec) { s.Name = "service-0" }), "services[1].name"},
		mutation{"service number twice", copyOf(func(s *cataloger.ServiceSpec, _ *cataloger.TargetSpec) { s.Number = 1 }), "services[1].number"},
		mutation{"host name twice", copyOf(func(s *cataloger.ServiceSpec, _ *cataloger.TargetSpec) { s.Names[0] = "S0.example" }), "services[1].names[0]"},
		mutation{"address twice", copyOf(func(s *cataloger.ServiceSpec, _ *cataloger.TargetSpec) { s.Addresses[0] = "192.0.2.1:443" }), "services[1].addresses[0]"},
		mutation{"tunnel address twice", copyOf(func(_ *cataloger.ServiceSpec, t *cataloger.TargetSpec) { t.TunnelAddress = "10.0.0.1:7001" }), "services[1].targets[0].tunnel_address"},
		mutation{"control address twice", copyOf(func(_ *cataloger.ServiceSpec, t *cataloger.TargetSpec) { t.ControlAddress = "10.0.0.1:7001" }), "services[1].targets[0].control_address"},
		mutation{"target number twice", func(f *cataloger.FleetSpec) {
			copyOf(func(_ *cataloger.ServiceSpec, t *cataloger.TargetSpec) { t.Number = f.Services[0].Targets[0].Number })(f)
		}, "services[1].targets[0].number"},
	)
}

func parseEmitted(t *rapid.T, e *emitter) (cataloger.FleetSpec, *parser.Positions) {
	fleet, positions, err := parser.ParseFleetContent("fleet.yaml", []byte(e.text.String()))
	if err != nil {
		t.Fatalf("parse: %v\n%s", err, e.text.String())
	}
	return fleet, positions
}

// TestValidFleetPasses guards against a validator that rejects valid documents.
func TestValidFleetPasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawFleet(t)
		fleet, positions := parseEmitted(t, emitFleet(drawn))
		if problems := ValidateFleetDocument(fleet, positions); len(problems) > 0 {
			t.Fatalf("refused: %v", problems)
		}
		if problems := ValidateFleet(drawn); len(problems) > 0 {
			t.Fatalf("refused as published: %v", problems)
		}
		if _, err := cataloger.NewSnapshot(fleet, nil); err != nil {
			t.Fatalf("a valid document gives no snapshot: %v", err)
		}
	})
}

// TestSingleMutationIsRefused guards against errors that are not reported, or are
// reported at another key or line.
func TestSingleMutationIsRefused(t *testing.T) {
	for _, m := range mutations() {
		t.Run(m.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				fleet := drawFleet(t)
				m.mutate(&fleet)
				e := emitFleet(fleet)
				parsed, positions := parseEmitted(t, e)
				first := fmt.Sprint(ValidateFleet(parsed))
				if first != fmt.Sprint(ValidateFleet(parsed)) {
					t.Fatalf("two runs differ")
				}
				for _, p := range ValidateFleetDocument(parsed, positions) {
					if p.Key() == m.key && p.Line() == e.lines[m.key] && p.Accepted() != "" {
						return
					}
				}
				t.Fatalf("want %s at line %d, got %s\n%s", m.key, e.lines[m.key], first, e.text.String())
			})
		})
	}
}

func TestFleetDocument(t *testing.T) {
	t.Run("a default of 0 is refused with its line", func(t *testing.T) {
		is := is.New(t)
		fleet, positions, err := parser.ParseFleetContent("f.yaml", []byte("revision: 1\ndefaults:\n  slots: 0\n"))
		is.NoErr(err)
		problems := ValidateFleetDocument(fleet, positions)
		is.Equal(len(problems), 1)
		is.Equal(problems[0].String(), `f.yaml:3: defaults.slots: bad value "0"; accepted: a whole number from 1 to 100000`)
	})
	t.Run("a section over the size of one value is refused", func(t *testing.T) {
		is := is.New(t)
		fleet := cataloger.FleetSpec{Revision: 1, Services: []cataloger.ServiceSpec{
			{Name: "big", Number: 1, Names: []string{"big.example"}, Addresses: []string{"192.0.2.1:443"}},
		}}
		for i := range 8000 {
			fleet.Services[0].Targets = append(fleet.Services[0].Targets, cataloger.TargetSpec{
				Name: fmt.Sprintf("t%d", i), Number: uint32(i + 1), Host: "h", AvailabilityZone: "z",
				TunnelAddress: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), ControlAddress: fmt.Sprintf("10.0.%d.%d:2", i/200, i%200),
			})
		}
		problems := ValidateFleet(fleet)
		is.Equal(len(problems), 1)
		is.Equal(problems[0].Key(), "services[0]")
		is.True(strings.Contains(problems[0].Accepted(), "at most 1000000 bytes"))
	})
}

func TestCheckFleet(t *testing.T) {
	t.Run("the error names the first problems and counts the others", func(t *testing.T) {
		is := is.New(t)
		fleet := cataloger.FleetSpec{Revision: 1, Services: make([]cataloger.ServiceSpec, 3)}
		err := CheckFleet(fleet)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "services[0].name: missing value"))
		is.True(strings.Contains(err.Error(), fmt.Sprintf("%d more problems", len(ValidateFleet(fleet))-maxReported)))
		is.NoErr(CheckFleet(cataloger.FleetSpec{Revision: 1}))
	})
}

// TestDiffFleets guards against an update that gives the number of a service or
// target to another one, which would misroute open connections.
func TestDiffFleets(t *testing.T) {
	base := func() cataloger.FleetSpec {
		return cataloger.FleetSpec{Revision: 4, Services: []cataloger.ServiceSpec{
			{Name: "cutlist-svc", Number: 1, Targets: []cataloger.TargetSpec{{Name: "a", Number: 10}, {Name: "b", Number: 11}}},
			{Name: "drawing-archive", Number: 2, Targets: []cataloger.TargetSpec{{Name: "c", Number: 12}}},
		}}
	}
	for _, c := range []struct {
		name   string
		mutate func(*cataloger.FleetSpec)
		key    string
	}{
		{"unchanged", func(*cataloger.FleetSpec) {}, ""},
		{"a target under a new number", func(f *cataloger.FleetSpec) { f.Services[0].Targets[0].Number = 20 }, ""},
		{"a new service", func(f *cataloger.FleetSpec) {
			f.Services = append(f.Services, cataloger.ServiceSpec{Name: "new", Number: 3})
		}, ""},
		{"the revision does not rise", func(f *cataloger.FleetSpec) { f.Revision = 4 }, "revision"},
		{"services swap numbers", func(f *cataloger.FleetSpec) { f.Services[0].Number, f.Services[1].Number = 2, 1 }, "services[0].number"},
		{"a service is renamed", func(f *cataloger.FleetSpec) { f.Services[0].Name = "cut" }, "services[0].number"},
		{"a target number goes to another service", func(f *cataloger.FleetSpec) {
			f.Services[0].Targets[0].Number, f.Services[1].Targets[0].Number = 30, 10
		}, "services[1].targets[0].number"},
		{"a target number goes to another target", func(f *cataloger.FleetSpec) { f.Services[0].Targets[0].Name = "z" }, "services[0].targets[0].number"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			after := base()
			after.Revision = 5
			c.mutate(&after)
			problems := ValidateFleetUpdate(base(), after)
			if c.key == "" {
				is.Equal(len(problems), 0)
				return
			}
			is.True(len(problems) > 0)
			is.Equal(problems[0].Key(), c.key)
		})
	}
}
