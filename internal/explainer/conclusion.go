package explainer

import (
	"cmp"
	"slices"
)

// Conclusion describes in one sentence which processes handled the flow and why
// it was not served, as far as the logs show.
func (e *Explanation) Conclusion() string {
	text, _ := e.conclude()
	return text
}

// HasCause reports whether the conclusion names the cause that kept the flow from
// being served.
func (e *Explanation) HasCause() bool {
	_, isCause := e.conclude()
	return isCause
}

func (e *Explanation) conclude() (conclusion string, isCause bool) {
	counts := map[string]int{}
	var placed, reset Line
	isRefused := false
	for _, l := range e.lines {
		counts[l.Message]++
		isRefused = isRefused || l.Fields["opens"] == true && (l.Message == messageNoTargetLeft || l.Message == messageNoTarget)
		switch l.Message {
		case messageFlowPlaced:
			placed = l
		case messageFlowReset, messageNoTargetLeft:
			reset = l
		}
	}
	isOwn := func(l Line) bool { return !l.IsBackground }
	f := e.findFaults(placed)
	switch {
	case !slices.ContainsFunc(e.lines, isOwn):
		return describe("no process logged the flow", f.any(), "its packets reached no live balancer, or its lines were left out")
	case stringField(reset, "reason") != "":
		return "the flow was reset by " + reset.Process + ": " + stringField(reset, "reason"), true
	case counts[messageFlowPlaced] == 0 && isRefused:
		return "no target took the flow: all were full, draining or did not answer", true
	case counts[messageFlowPlaced] == 0 && reset.Fields["reset"] == true:
		// The reset answers a caller that gave up on a flow that never opened,
		// so it is not the cause.
		return describe("the flow was reset by "+reset.Process+" and no line places it", f.any(), "no target held it")
	case reset.Fields["reset"] == true:
		return describe("the flow was reset by "+reset.Process, f.causeOfReset(), "no target held it any more")
	case counts[messageFlowPlaced] > 1 && f.any() == "":
		return "the flow was placed more than once, last by " + placed.Process + ": earlier targets did not answer its opening packets", true
	case counts[messageSearchUnanswered] > 0 && f.any() == "":
		return "a balancer searched for the flow's target, and an agent or target that the search visits did not answer", true
	case counts[messageFlowPlaced] > 0:
		return describe("the flow was placed by "+placed.Process, f.any(), "what happened then lies in the caller, the target or the network")
	case counts[messageNoTargetLeft]+counts[messageNoTarget] > 0:
		return "no target took the flow: all were full, draining or did not answer", true
	case counts[messageFlowForwarded] > 0:
		return "a balancer forwarded the flow, but no agent received it: " + cmp.Or(f.any(), "the agent or the path was down"), true
	}
	return "the flow's end is not in these logs", false
}

// describe joins a conclusion and its cause, or, if the cause is empty, a hint
// where the cause may lie. It also reports whether there is a cause.
func describe(what, cause, otherwise string) (string, bool) {
	return what + "; " + cmp.Or(cause, otherwise), cause != ""
}

// faults holds the faults found in background lines, each as a clause for the
// conclusion, or empty.
type faults struct {
	target       string // at the backend server of the agent that placed the flow
	agent        string // at the agent that placed the flow
	isolation    string // at the agent's host, as other processes saw it
	otherProcess string // at another process that the flow's packets may have passed
	pause        string // at a process that did not run for a while
}

// any returns the fault that most likely explains the outcome, whatever that is.
func (f faults) any() string {
	return cmp.Or(f.agent, f.target, f.isolation, f.pause, f.otherProcess)
}

// causeOfReset returns the fault that explains why no target held the flow. The
// loss of a process doesn't explain it, because the target keeps the flow. A
// pause does: packets that waited at a paused process may arrive after their flow
// has ended.
func (f faults) causeOfReset() string { return cmp.Or(f.target, f.pause) }

// findFaults collects the faults in the background lines. Apart from pauses, only
// those after the flow was placed count.
func (e *Explanation) findFaults(placed Line) faults {
	var f faults
	processes := make(map[string]bool)
	for _, l := range e.lines {
		processes[l.Process] = processes[l.Process] || !l.IsBackground
	}
	for _, l := range e.lines {
		switch {
		case !l.IsBackground:
		case l.Message == messageProcessPaused:
			// A process logs the line after its pause and then handles the packets
			// that waited, so the line may precede the placement of the flow.
			if f.pause == "" || processes[l.Process] {
				f.pause = l.Process + " did not run for a while, so packets waited there"
			}
		case !placed.Time.IsZero() && l.Time.Before(placed.Time):
		default:
			f.add(e, l, l.Process == placed.Process)
		}
	}
	return f
}

// add records the fault in a background line that was logged after the flow was
// placed. If isPlacer is true, the line is from the process that placed the flow.
func (f *faults) add(e *Explanation, l Line, isPlacer bool) {
	switch {
	case isPlacer && l.Message == messageProcessStarts:
		f.agent = l.Process + " started again afterwards"
	case isPlacer && l.Message == messageProcessLeaves:
		f.agent = cmp.Or(f.agent, l.Process+" left afterwards")
	case isPlacer && l.Message == messageTargetSilent:
		f.target = cmp.Or(f.target, "its target did not answer afterwards")
	case isPlacer && l.Message == messageSuspicionChanged && l.Fields["suspect"] == true:
		f.target = cmp.Or(f.target, "its target answered much sooner or later than usual, or lost flows")
	case l.Message == messageTargetChanged && !e.targets[changedTarget(l)]:
		f.target = cmp.Or(f.target, "another target took the address of its target")
	case l.Message == messageTargetChanged && stringField(l, "state") != "serving":
		f.target = cmp.Or(f.target, "its target was "+stringField(l, "state")+" afterwards")
	case l.Message == messageAgentLost:
		f.isolation = cmp.Or(f.isolation, "its agent did not answer "+l.Process)
	case l.Message == messageProcessStarts:
		f.otherProcess = cmp.Or(f.otherProcess, l.Process+" started again at that time, so packets were lost there")
	}
}
