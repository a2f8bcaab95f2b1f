package explainer

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const flow = "100.64.0.7:40001"

func line(ms int, process, message, fields string) string {
	return fmt.Sprintf(`{"level":"info","process":%q,"time":"2026-12-04T10:00:00.%03dZ","message":%q%s}`, process, ms, message, fields)
}

func own(ms int, process, message, fields string) string {
	return line(ms, process, message, `,"caller":"`+flow+`"`+fields)
}

func explain(t *testing.T, logs ...string) *Explanation {
	t.Helper()
	return explainAt(t, time.Time{}, logs...)
}

func explainAt(t *testing.T, failedAt time.Time, logs ...string) *Explanation {
	t.Helper()
	var readers []io.Reader
	for _, l := range logs {
		readers = append(readers, strings.NewReader(l))
	}
	e, err := Explain(flow, failedAt, readers)
	is.New(t).NoErr(err)
	return e
}

// TestConclusion guards against conclusions that name the wrong process or cause.
func TestConclusion(t *testing.T) {
	for _, c := range []struct{ name, logs, want string }{
		{"a flow without log lines", line(1, "b", "flow placed", `,"caller":"100.64.0.7:1"`), "reached no live balancer"},
		{"a forwarded flow that no agent received", own(1, "b", "flow forwarded", ""), "no agent received it"},
		{"a flow that no target took", own(1, "a", "no target left for packet", `,"reset":false`), "no target took the flow"},
		{"a placed flow", own(1, "a", "flow placed", ""), "caller, the target or the network"},
		{"a flow whose agent stopped", own(1, "a", "flow placed", "") + "\n" + line(9, "a", "process leaves", ""), "a left afterwards"},
		{"a flow whose target stopped answering", own(1, "a", "flow placed", "") + "\n" + line(9, "a", "own target does not answer", ""), "target did not answer afterwards"},
		{"a flow whose balancer was killed", own(1, "b", "flow forwarded", "") + "\n" + own(1, "a", "flow placed", "") + "\n" +
			line(900, "b", "process starts", ""), "b started again at that time"},
		{"a flow placed twice", own(1, "a", "flow placed", "") + "\n" + own(200, "c", "flow placed", ""), "did not answer its opening packets"},
		{"a flow without a route", own(1, "b", "flow reset", `,"reason":"no route"`), "reset by b: no route"},
		{"a flow that was searched for", own(1, "a", "flow placed", "") + "\n" + own(900, "b", "search for flow was not answered", `,"branches":7`), "did not answer"},
		{"a flow that no target held", own(1, "a", "no target left for packet", `,"reset":true`), "no target held it"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := explain(t, c.logs).Conclusion(); !strings.Contains(got, c.want) {
				t.Errorf("%q lacks %q", got, c.want)
			}
		})
	}
}

// TestFailedRequest guards against missing the cause of a failed request if it is
// only in lines that do not name the flow.
func TestFailedRequest(t *testing.T) {
	failedAt := time.Date(2026, 12, 4, 10, 0, 4, 0, time.UTC)
	placed := own(1, "b", "flow forwarded", `,"address":"10.0.0.9:80","target":"t-9"`) + "\n" + own(2, "a", "flow placed", "")
	later := func(process, message, fields string) string {
		return fmt.Sprintf(`{"process":%q,"time":"2026-12-04T10:00:03Z","message":%q%s}`, process, message, fields)
	}
	for _, c := range []struct {
		name, logs, want string
		isCause          bool
	}{
		{"a flow that reached a killed balancer", later("b2", "process starts", `,"role":"balancer"`), "b2 started again", true},
		{"a flow that reached no process", later("a2", "process starts", `,"role":"agent"`), "reached no live balancer", false},
		{"a paused balancer on the path", placed + "\n" + later("b2", "process did not run", `,"role":"balancer"`), "b2 did not run for a while", true},
		{"an agent that does not answer others", placed + "\n" + later("z", "agent does not answer", `,"address":"10.0.0.9"`), "did not answer z", true},
		{"another agent that does not answer others", placed + "\n" + later("z", "agent does not answer", `,"address":"10.0.0.8"`), "the target or the network", false},
		{"a target whose entry expired", placed + "\n" + later("b", "target changed", `,"key":"x/t-9","state":"unlisted"`), "its target was unlisted", true},
		{"a target that was replaced", placed + "\n" + later("b", "target changed", `,"key":"x/t-10","address":"10.0.0.9:80","state":"serving"`) + "\n" +
			own(900, "c", "no target left for packet", `,"reset":true`), "another target took the address", true},
		// Guards against naming a reset as the cause when it only answers a caller
		// that gave up on a flow that never opened (soak, seeds 515 and 508).
		{"a flow that no target took, reset when its caller gave up", own(100, "a", "no target left for packet", `,"opens":true,"reset":false`) + "\n" +
			own(900, "c", "no target left for packet", `,"opens":false,"reset":true`), "no target took the flow", true},
		{"a flow that reached no balancer, reset when its caller gave up", own(900, "c", "no target left for packet", `,"opens":false,"reset":true`) + "\n" +
			later("b2", "process starts", `,"role":"balancer"`), "b2 started again", true},
		{"a reset for no known reason", own(900, "c", "no target left for packet", `,"reset":true`), "no target held it", false},
		{"a paused agent", placed + "\n" + later("a", "process did not run", ""), "a did not run", true},
		{"a slow target", placed + "\n" + later("a", "suspicion of own target changed", `,"suspect":true`), "later than usual", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := explainAt(t, failedAt, c.logs)
			if !strings.Contains(e.Conclusion(), c.want) {
				t.Errorf("%q lacks %q", e.Conclusion(), c.want)
			}
			is.Equal(e.HasCause(), c.isCause)
		})
	}
}

// TestStory guards against explanations that list lines in the wrong order, fail
// on damaged lines, or include lines of unrelated processes.
func TestStory(t *testing.T) {
	t.Run("lines of several logs are ordered by time, damaged ones are counted", func(t *testing.T) {
		is := is.New(t)
		e := explain(t, own(20, "a", "flow placed", "")+"\n{\"cut", "  12.3 b "+own(10, "b", "flow forwarded", "")+"\nno json\n")
		is.Equal(e.Unreadable(), 2)
		is.Equal(len(e.Lines()), 2)
		is.Equal(e.Lines()[0].Process, "b")
		is.Equal(e.Lines()[0].Detail(), "caller="+flow)
	})
	t.Run("background lines are limited to the flow's processes and time", func(t *testing.T) {
		is := is.New(t)
		e := explain(t, own(1, "a", "flow placed", "")+"\n"+line(5, "z", "process leaves", "")+"\n"+line(6, "a", "platform lost", "")+
			"\n"+line(7, "a", "target changed", `,"key":"t/other"`))
		is.Equal(len(e.Lines()), 2)
		is.True(e.Lines()[1].IsBackground)
	})
}

// FuzzExplain guards against logs that make Explain panic or that give no
// conclusion.
func FuzzExplain(f *testing.F) {
	f.Add([]byte(own(1, "a", "flow placed", "")))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := Explain(flow, time.Time{}, []io.Reader{strings.NewReader(string(b))})
		if err == nil && e.Conclusion() == "" {
			t.Fatal("no conclusion")
		}
	})
}
