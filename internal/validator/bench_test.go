package validator

import (
	"fmt"
	"testing"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// newLargeFleet returns a fleet of the size that the system is designed for,
// 5,800 services with one address each and 11,000 targets.
func newLargeFleet() cataloger.FleetSpec {
	fleet := cataloger.FleetSpec{Revision: 1}
	number := 0
	for i := range 5800 {
		s := cataloger.ServiceSpec{
			Name: fmt.Sprintf("service-%d", i), Number: uint16(i + 1), Names: []string{fmt.Sprintf("s%d.example", i)},
			Addresses: []string{fmt.Sprintf("10.%d.%d.1:443", i/250, i%250)},
		}
		for j := range 2 - i%10/9 {
			number++
			s.Targets = append(s.Targets, cataloger.TargetSpec{
				Name: fmt.Sprintf("t%d", j), Number: uint32(number), Host: fmt.Sprintf("h%d", number), AvailabilityZone: "tb-a",
				TunnelAddress: fmt.Sprintf("10.%d.%d.1:7001", 100+number/250, number%250), ControlAddress: fmt.Sprintf("10.%d.%d.1:7002", 100+number/250, number%250),
			})
		}
		fleet.Services = append(fleet.Services, s)
	}
	return fleet
}

// BenchmarkValidateFleet measures the check that every process runs on each
// revision.
func BenchmarkValidateFleet(b *testing.B) {
	fleet := newLargeFleet()
	if problems := ValidateFleet(fleet); len(problems) > 0 {
		b.Fatal(problems[0])
	}
	for b.Loop() {
		ValidateFleet(fleet)
	}
}
