package simulator

import (
	"os"
	"fmt"
	"testing"
	"time"
)

func TestLook2(t *testing.T) {
	loads, err := ReadLoads(path())
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"loss of power", "loss of all processes"} {
		for _, l := range loads {
			if l.Name != name {
				continue
			}
			n := 40
			bins := make([]window, 60)
			for s := range n {
				r := Play(l, Policy(), uint64(s+1))
				f := r.faults[0]
				for _, q := range r.all {
					b := q.bornAt.Sub(r.start) - f.to
					i := int((b+2*time.Second)/(100*time.Millisecond))
					if b < -2*time.Second || i >= len(bins) {
						continue
					}
					c := &bins[i]
					c.requests++
					switch {
					case !q.served:
						c.failed++
					case q.latency > q.kind.target:
						c.late++
						c.connect += q.openedAt.Sub(q.bornAt)
						c.queued += q.startedAt.Sub(q.arrivedAt)
						c.service += q.latency - q.startedAt.Sub(q.bornAt)
						c.other += q.arrivedAt.Sub(q.openedAt)
					}
				}
			}
			fmt.Println(name)
			for i, c := range bins {
				k := time.Duration(max(1, c.late))
				fmt.Printf("%5.1f req %5d late %.2f failed %.3f  connect %v other %v queue %v service %v\n", float64(i)*.1-2, c.requests, float64(c.late)/float64(c.requests), float64(c.failed)/float64(c.requests), (c.connect / k).Round(time.Millisecond), (c.other / k).Round(time.Millisecond), (c.queued / k).Round(time.Millisecond), (c.service / k).Round(time.Millisecond))
			}
		}
	}
}

func path() string {
	if p := os.Getenv("LOADS"); p != "" {
		return p
	}
	return "loads/flows.yaml"
}
