package simulator

import (
	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// Variant is a version of the decisions that a run plays.
type Variant struct {
	name string
	// newChooser returns the chooser of a process.
	newChooser func(isDown func(target uint32) bool, report func(target uint32) (chooser.Report, bool)) *chooser.Chooser
	// newRoute returns the published route of a kind of request.
	newRoute func(k Kind, built *kind) router.Route
}

// Name returns the name of the variant.
func (v Variant) Name() string { return v.name }

// Policy returns the decisions of the product.
func Policy() Variant {
	return Variant{name: "policy", newChooser: chooser.NewChooser, newRoute: func(k Kind, built *kind) router.Route {
		return router.Route{Name: k.Name, Address: built.published, Shares: []router.Share{{Service: k.Service, Weight: 1}}}
	}}
}

func withPolicy(name string, change func(p *chooser.Policy)) Variant {
	v := Policy()
	v.name = name
	v.newChooser = func(isDown func(target uint32) bool, report func(target uint32) (chooser.Report, bool)) *chooser.Chooser {
		p := chooser.DefaultPolicy()
		change(&p)
		return chooser.NewChooser(isDown, report).WithPolicy(p)
	}
	return v
}
