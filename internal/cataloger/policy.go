package cataloger

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

// BuiltinPolicy returns the values that apply where the fleet document sets
// no default.
func BuiltinPolicy() PolicySpec {
	return PolicySpec{
		Slots:              2,
		Connections:        2000,
		Weight:             100,
		QueueLimit:         256,
		LongSharePercent:   50,
		ShortTimeoutMs:     10_000,
		LongTimeoutMs:      120_000,
		DrainDeadlineMs:    30_000,
		TicketLifetimeMs:   120_000,
		ObjectivePermille:  999,
		ObjectiveLatencyMs: 1_000,
	}
}

// policyField describes a field of PolicySpec: its key, the smallest and largest
// accepted value, and a function that returns a pointer to the field.
type policyField struct {
	key string
	min int64
	max int64
	ref func(*PolicySpec) *int64
}

var policyFields = []policyField{
	{"slots", 1, 100_000, func(p *PolicySpec) *int64 { return &p.Slots }},
	{"connections", 1, 1_000_000, func(p *PolicySpec) *int64 { return &p.Connections }},
	{"weight", 1, 1000, func(p *PolicySpec) *int64 { return &p.Weight }},
	{"queue_limit", 1, 100_000, func(p *PolicySpec) *int64 { return &p.QueueLimit }},
	{"long_share_percent", 1, 99, func(p *PolicySpec) *int64 { return &p.LongSharePercent }},
	{"short_timeout_ms", 1, 3_600_000, func(p *PolicySpec) *int64 { return &p.ShortTimeoutMs }},
	{"long_timeout_ms", 1, 86_400_000, func(p *PolicySpec) *int64 { return &p.LongTimeoutMs }},
	{"drain_deadline_ms", 100, 86_400_000, func(p *PolicySpec) *int64 { return &p.DrainDeadlineMs }},
	{"ticket_lifetime_ms", 1000, 3_600_000, func(p *PolicySpec) *int64 { return &p.TicketLifetimeMs }},
	{"objective_permille", 1, 999, func(p *PolicySpec) *int64 { return &p.ObjectivePermille }},
	{"objective_latency_ms", 1, 3_600_000, func(p *PolicySpec) *int64 { return &p.ObjectiveLatencyMs }},
}

// ErrUnknownPolicyKey reports an exception or a lookup with a key that is not
// part of PolicySpec.
var ErrUnknownPolicyKey = merry.New("unknown policy key")

// PolicyKeys lists the keys of PolicySpec in document order.
func PolicyKeys() []string {
	keys := make([]string, len(policyFields))
	for i, f := range policyFields {
		keys[i] = f.key
	}
	return keys
}

// PolicyRange returns the smallest and largest accepted value of a key. It
// returns ErrUnknownPolicyKey for a key that is not part of PolicySpec.
func PolicyRange(key string) (smallest, largest int64, err error) {
	f, err := findPolicyField(key)
	if err != nil {
		return 0, 0, err
	}
	return f.min, f.max, nil
}

// Value returns the value of a key, or ErrUnknownPolicyKey.
func (p PolicySpec) Value(key string) (int64, error) {
	f, err := findPolicyField(key)
	if err != nil {
		return 0, err
	}
	return *f.ref(&p), nil
}

// WithValue returns a copy of the policy with the value of one key replaced, or
// ErrUnknownPolicyKey.
func (p PolicySpec) WithValue(key string, value int64) (PolicySpec, error) {
	f, err := findPolicyField(key)
	if err != nil {
		return p, err
	}
	*f.ref(&p) = value
	return p, nil
}

// WithDefaults returns a copy in which zero fields take the value of base.
func (p PolicySpec) WithDefaults(base PolicySpec) PolicySpec {
	for _, f := range policyFields {
		if value := f.ref(&p); *value == 0 {
			*value = *f.ref(&base)
		}
	}
	return p
}

func findPolicyField(key string) (policyField, error) {
	i := slices.IndexFunc(policyFields, func(f policyField) bool { return f.key == key })
	if i < 0 {
		return policyField{}, merry.Prepend(ErrUnknownPolicyKey, key)
	}
	return policyFields[i], nil
}

// ResolvePolicy returns the policy of a service, or of one of its targets when
// target is not empty. Fleet defaults override the built-in values, exceptions
// of the service override the defaults, and exceptions of the target override
// both.
func ResolvePolicy(fleet FleetSpec, service, target string) (PolicySpec, error) {
	policy := fleet.Defaults.WithDefaults(BuiltinPolicy())
	scopes := []string{service}
	if target != "" {
		scopes = append(scopes, service+"/"+target)
	}
	for _, scope := range scopes {
		for _, e := range fleet.Exceptions {
			if e.Scope != scope {
				continue
			}
			var err error
			if policy, err = policy.WithValue(e.Key, e.Value); err != nil {
				return policy, merry.Prependf(err, "resolve policy of %s", scope)
			}
		}
	}
	return policy, nil
}
