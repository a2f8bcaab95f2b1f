package commander

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
)

type explainResult struct {
	Revision uint64               `json:"revision"`
	Scope    string               `json:"scope"`
	Number   uint64               `json:"number"`
	Section  string               `json:"section"`
	Values   []explainedValue     `json:"values"`
	Target   cataloger.TargetSpec `json:"target"`
}

// explainedValue is the value of a policy key that applies to a scope, with the
// layer that sets it.
type explainedValue struct {
	Key    string `json:"key"`
	Value  int64  `json:"value"`
	Source string `json:"source"`
	Reason string `json:"reason"`
	// Instead is the value that would apply without the source.
	Instead string `json:"instead_of"`
}

func (c *Commander) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show every value in force for a target or service, and why", ArgsUsage: "TARGET",
		Description: "TARGET is service/target, a service, or the number of a target.",
		Flags:       []cli.Flag{fleetFlag(true)},
		Action:      c.runExplain,
	}
}

func fleetFlag(required bool) cli.Flag {
	return &cli.StringFlag{
		Name: "fleet", Aliases: []string{"f"}, TakesFile: true, Required: required, Usage: "fleet document",
		Sources: cli.EnvVars("KINGCUPVALVE_FLEET"),
	}
}

func (c *Commander) runExplain(_ context.Context, cmd *cli.Command) error {
	arguments, err := requireArguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	fleet, err := c.readValidFleet(cmd.String("fleet"))
	if err != nil {
		return err
	}
	result, err := explain(fleet, arguments[0])
	if err != nil {
		return err
	}
	return c.out.write(result, func() error { return c.printExplain(result) })
}

func (c *Commander) printExplain(r explainResult) error {
	if err := c.out.writeLine("%s has number %d, is in section %s, revision %d.", r.Scope, r.Number, r.Section, r.Revision); err != nil {
		return err
	}
	if t := r.Target; t.Name != "" {
		if err := c.out.writeLine("Host %s in %s, tunnel %s, control %s, state %s.", t.Host, t.AvailabilityZone, t.TunnelAddress, t.ControlAddress, t.State); err != nil {
			return err
		}
	}
	var rows []table.Row
	for _, v := range r.Values {
		rows = append(rows, table.Row{v.Key, v.Value, v.Source, v.Instead, v.Reason})
	}
	return c.out.writeTable(table.Row{"KEY", "VALUE", "SOURCE", "INSTEAD OF", "REASON"}, rows)
}

// explain returns the policy values that apply to a service or target.
func explain(fleet cataloger.FleetSpec, scope string) (explainResult, error) {
	service, target, err := findScope(fleet, scope)
	if err != nil {
		return explainResult{}, err
	}
	r := explainResult{
		Revision: fleet.Revision, Scope: service.Name, Number: uint64(service.Number),
		Section: cataloger.ServiceSectionName(service.Name), Target: target,
	}
	if target.Name != "" {
		r.Scope += "/" + target.Name
		r.Number = uint64(target.Number)
		if r.Target.State == "" {
			r.Target.State = cataloger.TargetServing
		}
	}
	for _, key := range cataloger.PolicyKeys() {
		value, err := explainValue(fleet, service.Name, target.Name, key)
		if err != nil {
			return r, err
		}
		r.Values = append(r.Values, value)
	}
	return r, nil
}

// explainValue evaluates the layers of a policy key, from built-in value to
// exceptions. It returns an error if the result differs from that of
// cataloger.ResolvePolicy, which daemons use.
func explainValue(fleet cataloger.FleetSpec, service, target, key string) (explainedValue, error) {
	builtin, err := cataloger.BuiltinPolicy().Value(key)
	if err != nil {
		return explainedValue{}, err
	}
	v := explainedValue{Key: key, Value: builtin, Source: "built-in"}
	override := func(value int64, source, reason string) {
		v = explainedValue{Key: key, Value: value, Source: source, Reason: reason, Instead: fmt.Sprintf("%d (%s)", v.Value, v.Source)}
	}
	if value, err := fleet.Defaults.Value(key); err == nil && value != 0 {
		override(value, "fleet default", "")
	}
	scopes := []string{service}
	if target != "" {
		scopes = append(scopes, service+"/"+target)
	}
	for _, scope := range scopes {
		for _, e := range fleet.Exceptions {
			if e.Scope == scope && e.Key == key {
				override(e.Value, "exception of "+scope, e.Reason)
			}
		}
	}
	policy, err := cataloger.ResolvePolicy(fleet, service, target)
	if err != nil {
		return v, err
	}
	if resolved, err := policy.Value(key); err != nil || resolved != v.Value {
		return v, merry.Errorf("explain %s of %s: daemons resolve it to %d, this command to %d", key, service, resolved, v.Value)
	}
	return v, nil
}

// findScope finds a scope given as service/target, as service, or as the number
// of a target. The returned target is empty if the scope is a service.
func findScope(fleet cataloger.FleetSpec, scope string) (cataloger.ServiceSpec, cataloger.TargetSpec, error) {
	number, err := strconv.ParseUint(scope, 10, 32)
	byNumber := err == nil
	var names []string
	for _, s := range fleet.Services {
		if s.Name == scope {
			return s, cataloger.TargetSpec{}, nil
		}
		names = append(names, s.Name)
		for _, t := range s.Targets {
			if s.Name+"/"+t.Name == scope || (byNumber && uint64(t.Number) == number) {
				return s, t, nil
			}
			if strings.HasPrefix(scope, s.Name+"/") {
				names = append(names, s.Name+"/"+t.Name)
			}
		}
	}
	return cataloger.ServiceSpec{}, cataloger.TargetSpec{},
		merry.Errorf("find %s in the fleet document: no such service or target; %s", scope, parser.SuggestName(scope, names))
}
