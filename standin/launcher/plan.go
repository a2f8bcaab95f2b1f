package launcher

import (
	"fmt"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// serviceLayout describes one service of the run.
type serviceLayout struct {
	name    string
	number  uint16
	domain  string
	targets int
}

var serviceLayouts = []serviceLayout{
	{name: "cutlist-svc", number: 1, domain: "cutlist.example", targets: 3},
	{name: "drawing-archive", number: 2, domain: "drawings.example", targets: 2},
}

var availabilityZones = []string{"howrah", "kolkata-east", "durgapur"}

// planServices builds the fleet document and reserves the addresses of the
// agents and backend servers.
func (f *Fleet) planServices() error {
	f.fleetSpec = cataloger.FleetSpec{Revision: 1, Defaults: cataloger.PolicySpec{
		Slots: 2, DrainDeadlineMs: 10_000, TicketLifetimeMs: 30_000,
	}}
	for i, l := range serviceLayouts {
		published, err := reserveUDP(fmt.Sprintf("127.20.1.%d", i+1))
		if err != nil {
			return err
		}
		service := cataloger.ServiceSpec{Name: l.name, Number: l.number, Names: []string{l.domain}, Addresses: []string{published}}
		for j := range l.targets {
			number := uint32(100*(i+1) + j + 1)
			n, err := f.newNode(fmt.Sprintf("%s-%d", l.name[:7], j+1), availabilityZones[j%len(availabilityZones)])
			if err != nil {
				return err
			}
			n.targetNumber = number
			address, err := reserveTCP(fmt.Sprintf("127.20.4.%d", number%250))
			if err != nil {
				return err
			}
			n.backendURL = "http://" + address
			f.agents = append(f.agents, n)
			service.Targets = append(service.Targets, cataloger.TargetSpec{
				Name: n.name, Number: number, Host: n.name, AvailabilityZone: n.availabilityZone,
				TunnelAddress: n.tunnelAddress, ControlAddress: n.controlAddress, State: cataloger.TargetServing,
			})
		}
		f.fleetSpec.Services = append(f.fleetSpec.Services, service)
	}
	return nil
}

// newNode reserves the addresses of one node on a loopback IP of its own.
func (f *Fleet) newNode(name, zone string) (*Node, error) {
	f.nodeCount++
	ip := fmt.Sprintf("127.20.2.%d", f.nodeCount)
	n := &Node{name: name, availabilityZone: zone}
	var err error
	if n.tunnelAddress, err = reserveUDP(ip); err != nil {
		return nil, err
	}
	if n.controlAddress, err = reserveTCP(ip); err != nil {
		return nil, err
	}
	n.operatorAddress, err = reserveTCP(ip)
	return n, err
}

// ReserveBalancer reserves the addresses of one more balancer without starting
// it.
func (f *Fleet) ReserveBalancer() (*Node, error) {
	number := len(f.balancers) + 1
	n, err := f.newNode(fmt.Sprintf("balancer-%d", number), availabilityZones[number%len(availabilityZones)])
	if err != nil {
		return nil, err
	}
	n.bindAddresses = map[string]string{}
	for _, s := range f.fleetSpec.Services {
		if n.bindAddresses[s.Addresses[0]], err = reserveUDP(fmt.Sprintf("127.20.3.%d", number)); err != nil {
			return nil, err
		}
	}
	f.balancers = append(f.balancers, n)
	return n, nil
}
