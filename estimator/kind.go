package estimator

// Kind is the kind of work that one request causes.
type Kind uint8

// The kinds of work. A feed occupies a connection and no slot.
const (
	Short Kind = iota
	Long
	Feed
)

// kindCount is the number of kinds that occupy slots.
const kindCount = 2

// String returns the name that headers and messages use.
func (k Kind) String() string {
	switch k {
	case Long:
		return "long"
	case Feed:
		return "feed"
	default:
		return "short"
	}
}

// ParseKind returns the kind with the given name, or Short and false for an
// unknown one.
func ParseKind(name string) (Kind, bool) {
	switch name {
	case "short":
		return Short, true
	case "long":
		return Long, true
	case "feed":
		return Feed, true
	default:
		return Short, false
	}
}

// Result is how one request at a backend server ended.
type Result uint8

// The results of a request. Refused means that the backend server reported that
// it did not run the request; after TimedOut and Failed it may have run.
// Cancelled requests were ended by their caller and do not count as evidence
// about the target.
const (
	Succeeded Result = iota
	Failed
	Refused
	TimedOut
	Cancelled
)

// String returns the name used in metrics.
func (r Result) String() string {
	return [...]string{"succeeded", "failed", "refused", "timed_out", "cancelled"}[r]
}

// Phase is the state of a target as reported by its own agent.
type Phase uint8

// The phases of a target. The agent sets Draining itself; the estimator returns
// the others.
const (
	Warming Phase = iota
	Serving
	Draining
	Failing
)

// String returns the name that digests use.
func (p Phase) String() string {
	return [...]string{"warming", "serving", "draining", "failing"}[p]
}

// ParsePhase returns the phase with the given name, or Failing and false for an
// unknown one.
func ParsePhase(name string) (Phase, bool) {
	for _, p := range []Phase{Warming, Serving, Draining, Failing} {
		if p.String() == name {
			return p, true
		}
	}
	return Failing, false
}
