package validator

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// drawFleet generates a random valid fleet document.
func drawFleet(t *rapid.T) cataloger.FleetSpec {
	fleet := cataloger.FleetSpec{Revision: rapid.Uint64Range(1, 1<<62).Draw(t, "revision")}
	for _, key := range cataloger.PolicyKeys() {
		if rapid.Bool().Draw(t, "has "+key) {
			smallest, largest, _ := cataloger.PolicyRange(key)
			fleet.Defaults, _ = fleet.Defaults.WithValue(key, rapid.Int64Range(smallest, largest).Draw(t, key))
		}
	}
	number := uint32(0)
	for i := range rapid.IntRange(1, 5).Draw(t, "services") {
		service := cataloger.ServiceSpec{
			Name: fmt.Sprintf("service-%d", i), Number: uint16(i + 1),
			Names:     []string{fmt.Sprintf("s%d.example", i), fmt.Sprintf("S%d.Alias.example", i)}[:rapid.IntRange(1, 2).Draw(t, "names")],
			Addresses: []string{fmt.Sprintf("192.0.2.%d:443", i+1), fmt.Sprintf("[2001:db8::%d]:443", i+1)}[:rapid.IntRange(1, 2).Draw(t, "addresses")],
		}
		for j := range rapid.IntRange(1, 4).Draw(t, "targets") {
			number += rapid.Uint32Range(1, 1000).Draw(t, "step")
			service.Targets = append(service.Targets, cataloger.TargetSpec{
				Name: fmt.Sprintf("t%d", j), Number: number, Host: fmt.Sprintf("host-%d-%d", i, j),
				AvailabilityZone: rapid.SampledFrom([]string{"howrah", "kolkata-east", "durgapur"}).Draw(t, "zone"),
				TunnelAddress:    fmt.Sprintf("10.0.%d.%d:7001", i, j+1),
				ControlAddress:   fmt.Sprintf("10.0.%d.%d:7001", i, j+1),
				State:            rapid.SampledFrom([]string{"", "serving", "leaving"}).Draw(t, "state"),
			})
		}
		fleet.Services = append(fleet.Services, service)
	}
	base := fleet.Defaults.WithDefaults(cataloger.BuiltinPolicy())
	for i := range fleet.Services {
		for _, scope := range []string{fleet.Services[i].Name, fleet.Services[i].Name + "/t0"} {
			key := rapid.SampledFrom(cataloger.PolicyKeys()).Draw(t, "key")
			smallest, largest, _ := cataloger.PolicyRange(key)
			value := rapid.Int64Range(smallest, largest).Draw(t, "value")
			inherited, _ := base.Value(key)
			for _, e := range fleet.Exceptions {
				if e.Key == key && e.Scope == fleet.Services[i].Name {
					inherited = e.Value
				}
			}
			if value != inherited {
				fleet.Exceptions = append(fleet.Exceptions, cataloger.ExceptionSpec{Scope: scope, Key: key, Value: value, Reason: "measured on site"})
			}
		}
	}
	return fleet
}

// emitter writes a fleet document as YAML with one key per line. It records the
// line of each key, as a reference for the parser's positions.
type emitter struct {
	text  strings.Builder
	line  int
	lines map[string]int
}

func (e *emitter) put(indent int, dash bool, path, key, value string) {
	e.line++
	name := key
	if path != "" {
		name = path + "." + key
	}
	e.lines[name] = e.line
	prefix := strings.Repeat("  ", indent)
	if dash {
		prefix = strings.Repeat("  ", indent-1) + "- "
		e.lines[path] = e.line
	}
	if value != "" {
		value = " " + value
	}
	fmt.Fprintf(&e.text, "%s%s:%s\n", prefix, key, value)
}

func (e *emitter) list(indent int, path, key string, values []string) {
	e.put(indent, false, path, key, "")
	for i, v := range values {
		e.line++
		e.lines[fmt.Sprintf("%s.%s[%d]", path, key, i)] = e.line
		fmt.Fprintf(&e.text, "%s- %q\n", strings.Repeat("  ", indent+1), v)
	}
}

func emitFleet(fleet cataloger.FleetSpec) *emitter {
	e := &emitter{lines: make(map[string]int)}
	e.put(0, false, "", "revision", fmt.Sprint(fleet.Revision))
	e.put(0, false, "", "defaults", "")
	for _, key := range cataloger.PolicyKeys() {
		if value, _ := fleet.Defaults.Value(key); value != 0 {
			e.put(1, false, "defaults", key, fmt.Sprint(value))
		}
	}
	e.put(0, false, "", "services", "")
	for i, s := range fleet.Services {
		path := fmt.Sprintf("services[%d]", i)
		e.put(2, true, path, "name", fmt.Sprintf("%q", s.Name))
		e.put(2, false, path, "number", fmt.Sprint(s.Number))
		e.list(2, path, "names", s.Names)
		e.list(2, path, "addresses", s.Addresses)
		e.put(2, false, path, "targets", "")
		for j, t := range s.Targets {
			path := fmt.Sprintf("%s.targets[%d]", path, j)
			e.put(4, true, path, "name", fmt.Sprintf("%q", t.Name))
			e.put(4, false, path, "number", fmt.Sprint(t.Number))
			e.put(4, false, path, "host", fmt.Sprintf("%q", t.Host))
			e.put(4, false, path, "availability_zone", fmt.Sprintf("%q", t.AvailabilityZone))
			e.put(4, false, path, "tunnel_address", fmt.Sprintf("%q", t.TunnelAddress))
			e.put(4, false, path, "control_address", fmt.Sprintf("%q", t.ControlAddress))
			if t.State != "" {
				e.put(4, false, path, "state", fmt.Sprintf("%q", t.State))
			}
		}
	}
	e.put(0, false, "", "exceptions", "")
	for i, x := range fleet.Exceptions {
		path := fmt.Sprintf("exceptions[%d]", i)
		e.put(2, true, path, "scope", fmt.Sprintf("%q", x.Scope))
		e.put(2, false, path, "key", x.Key)
		e.put(2, false, path, "value", fmt.Sprint(x.Value))
		e.put(2, false, path, "reason", fmt.Sprintf("%q", x.Reason))
	}
	return e
}
