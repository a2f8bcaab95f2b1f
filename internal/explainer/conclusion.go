package explainer

import (
	"cmp"
	"slices"
)

// Conclusion says in one sentence how far the flow came and what kept it from
// coming further.
func (s *Story) Conclusion() string {
	text, _ := s.conclude()
	return text
}

// HasCause reports whether the conclusion names what kept the flow from being
// served.
func (s *Story) HasCause() bool {
	_, isCause := s.conclude()
	return isCause
}

func (s *Story) conclude() (conclusion string, isCause bool) {
	counts := map[string]int{}
	var placed, reset Line
	isRefused := false
	for _, l := range s.lines {
		counts[l.Message]++
		isRefused = isRefused || l.Fields["opens"] == true && (l.Message == messageNoneLeft || l.Message == messageNoTarget)
		switch l.Message {
		case messagePlaced:
			placed = l
		case messageReset, messageNoneLeft:
			reset = l
		}
	}
	isOwn := func(l Line) bool { return !l.IsBackground }
	f := s.findFaults(placed)
	switch {
	case !slices.ContainsFunc(s.lines, isOwn):
		return describe("no process logged the flow", f.any(), "its packets reached no live balancer, or its lines were left out")
	case text(reset, "reason") != "":
		return "the flow was reset by " + reset.Process + ": " + text(reset, "reason"), true
	case counts[messagePlaced] == 0 && isRefused:
		return "no target took the flow: all were full, draining or did not answer", true
	case counts[messagePlaced] == 0 && reset.Fields["reset"] == true:
		// A caller that has given up ends a flow that never opened.
		return describe("the flow was reset by "+reset.Process+" and no line places it", f.any(), "no target held it")
	case reset.Fields["reset"] == true:
		return describe("the flow was reset by "+reset.Process, f.ofReset(), "no target held it any more")
	case counts[messagePlaced] > 1 && f.any() == "":
		return "the flow was placed more than once, last by " + placed.Process + ": earlier targets did not answer its opening packets", true
	case counts[messagePlaced] > 0:
		return describe("the flow was placed by "+placed.Process, f.any(), "what happened then lies in the caller, the target or the network")
	case counts[messageNoneLeft]+counts[messageNoTarget] > 0:
		return "no target took the flow: all were full, draining or did not answer", true
	case counts[messageForwarded] > 0:
		return "a balancer forwarded the flow, but no agent received it: " + cmp.Or(f.any(), "the agent or the path was down"), true
	}
	return "the flow's end is not in these logs", false
}

// describe returns a conclusion with its cause, or with what is known instead.
func describe(what, cause, otherwise string) (string, bool) {
	return what + "; " + cmp.Or(cause, otherwise), cause != ""
}

// faults are what background lines tell, each as a clause or empty.
type faults struct {
	target    string // at the backend server that held the flow
	holder    string // at the process that placed it
	isolation string // at its host, as others saw it
	elsewhere string // at balancers that its packets may have passed
	pause     string // a process of the flow did not run
}

// any returns the most telling fault.
func (f faults) any() string { return cmp.Or(f.holder, f.target, f.isolation, f.pause, f.elsewhere) }

// ofReset returns the fault that explains why no target held a flow. A process
// that was lost does not: the target keeps the flow. Packets that waited at a
// process may come after their flow has ended.
func (f faults) ofReset() string { return cmp.Or(f.target, f.pause) }

func (s *Story) findFaults(placed Line) faults {
	var f faults
	processes := make(map[string]bool)
	for _, l := range s.lines {
		processes[l.Process] = processes[l.Process] || !l.IsBackground
	}
	for _, l := range s.lines {
		switch {
		case !l.IsBackground:
		case l.Message == messagePaused:
			// The line follows the pause, and packets that waited follow the line.
			if f.pause == "" || processes[l.Process] {
				f.pause = l.Process + " did not run for a while, so packets waited there"
			}
		case !placed.Time.IsZero() && l.Time.Before(placed.Time):
		default:
			f.add(s, l, l.Process == placed.Process)
		}
	}
	return f
}

// add takes a line after the flow was placed.
func (f *faults) add(s *Story, l Line, isHolder bool) {
	switch {
	case isHolder && l.Message == messageStarts:
		f.holder = l.Process + " started again afterwards"
	case isHolder && l.Message == messageLeaves:
		f.holder = cmp.Or(f.holder, l.Process+" left afterwards")
	case isHolder && l.Message == messageSilent:
		f.target = cmp.Or(f.target, "its target did not answer afterwards")
	case isHolder && l.Message == messageSuspicion && l.Fields["suspect"] == true:
		f.target = cmp.Or(f.target, "its target answered much sooner or later than usual, or lost flows")
	case l.Message == messageTarget && !s.targets[changedTarget(l)]:
		f.target = cmp.Or(f.target, "another target took the address of its target")
	case l.Message == messageTarget && text(l, "state") != "serving":
		f.target = cmp.Or(f.target, "its target was "+text(l, "state")+" afterwards")
	case l.Message == messageLost:
		f.isolation = cmp.Or(f.isolation, "its agent did not answer "+l.Process)
	case l.Message == messageStarts:
		f.elsewhere = cmp.Or(f.elsewhere, l.Process+" started again at that time, so packets were lost there")
	}
}
