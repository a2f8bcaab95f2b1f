package checker

import (
	"fmt"
	"strings"

	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// Section is a list of a configuration.
type Section uint8

// Sections of a configuration.
const (
	// Whole is the configuration itself.
	Whole Section = iota
	// Routes is Config.Routes.
	Routes
	// Services is Config.Services with Config.ColdLimits.
	Services
)

// Field is a value of a configuration, a route, a share or a service.
type Field uint8

// Fields of a configuration.
const (
	// Entry is the entry as a whole.
	Entry Field = iota
	// Version is Config.Version.
	Version
	// IdleTimeout is Config.IdleTimeout, in milliseconds.
	IdleTimeout
	// Name is the name of a route or service.
	Name
	// Address is Route.Address.
	Address
	// Service is Share.Service.
	Service
	// Weight is Share.Weight divided by router.WeightScale.
	Weight
	// Priority is Route.Priority.
	Priority
	// LatencyTarget is Route.LatencyTarget, in milliseconds.
	LatencyTarget
	// Deadline is Route.Deadline, in milliseconds.
	Deadline
	// ColdPeriod is ColdLimit.Period, in seconds.
	ColdPeriod
	// ColdRate is ColdLimit.Rate.
	ColdRate
)

var fieldNames = [...]string{
	"", "version", "idle timeout", "name", "address", "service", "weight", "priority", "latency target", "deadline", "cold period", "cold rate",
}

// String returns the name of the field as differences show it.
func (f Field) String() string { return fieldNames[f] }

// Place is where a value stands in a configuration.
type Place struct {
	Section Section
	// Index is that of the route or service.
	Index int
	// Share is the number of a share of a route, counted from 1, or 0 for the route.
	Share int
	Field Field
}

// key returns the key of a place in a configuration that has no document.
func (p Place) key() string {
	field := strings.ReplaceAll(p.Field.String(), " ", "_")
	var key string
	switch {
	case p.Section == Services:
		key = fmt.Sprintf("services[%d]", p.Index)
	case p.Section == Routes && p.Share > 0:
		key = fmt.Sprintf("routes[%d].shares[%d]", p.Index, p.Share-1)
	case p.Section == Routes:
		key = fmt.Sprintf("routes[%d]", p.Index)
	default:
		return field
	}
	if field != "" {
		key += "." + field
	}
	return key
}

// Document is a configuration with the values as they were written.
type Document struct {
	Config router.Config
	// Numbers has the numbers that the document states.
	Numbers map[Place]float64
	// Texts has the addresses that the document states.
	Texts map[Place]string
	// Keys has the keys of the document by place. A missing key is named after the
	// fields of this package.
	Keys map[Place]string
	// Positions has the lines of the keys and the structural errors. It is nil for a
	// configuration that was not read from a file.
	Positions *parser.Positions
}

func (d Document) key(p Place) string {
	if key, ok := d.Keys[p]; ok {
		return key
	}
	if p.Field != Entry {
		// A value that is not stated is reported by its own name, at its entry.
		if key, ok := d.Keys[Place{Section: p.Section, Index: p.Index, Share: p.Share}]; ok {
			return key
		}
	}
	return p.key()
}

// locate adds file and line to problems.
func (d Document) locate(problems []parser.Problem) []parser.Problem {
	if d.Positions == nil {
		return problems
	}
	return d.Positions.LocateAll(problems)
}
