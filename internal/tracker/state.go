package tracker

import (
	"net/netip"
	"slices"
	"time"
)

// FlowState is a snapshot of one flow.
type FlowState struct {
	caller    netip.AddrPort
	published netip.AddrPort
	openedAt  time.Time
	requests  int
}

// Caller returns the address of the caller.
func (f FlowState) Caller() netip.AddrPort { return f.caller }

// Published returns the published address that the caller sends to.
func (f FlowState) Published() netip.AddrPort { return f.published }

// OpenedAt returns the time of the first packet of the flow that this process
// saw.
func (f FlowState) OpenedAt() time.Time { return f.openedAt }

// Requests returns the number of requests that started since OpenedAt.
func (f FlowState) Requests() int { return f.requests }

// Flows returns at most limit of the flows that the target has answered, sorted
// by age, the oldest first.
func (t *Tracker) Flows(limit int) []FlowState {
	t.lock.Lock()
	states := make([]FlowState, 0, len(t.flows))
	for _, f := range t.flows {
		if f.isEstablished {
			states = append(states, FlowState{caller: f.caller, published: f.published, openedAt: f.openedAt, requests: int(f.requests)})
		}
	}
	t.lock.Unlock()
	slices.SortFunc(states, func(a, b FlowState) int {
		if c := a.openedAt.Compare(b.openedAt); c != 0 {
			return c
		}
		return a.caller.Compare(b.caller)
	})
	return states[:min(limit, len(states))]
}
