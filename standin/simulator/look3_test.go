package simulator

import (
	"fmt"
	"testing"
	"time"
)

func TestLook3(t *testing.T) {
	loads, err := ReadLoads(path())
	if err != nil {
		t.Fatal(err)
	}
	var n, c0, never [40]int
	var placed [40]int
	for s := range 10 {
		debugFlow = func(w *world, f *flow) {
			i := int((f.firstSeen.Sub(w.result.start)-w.result.faults[0].to)/(200*time.Millisecond)) + 5
			if i < 0 || i >= 40 {
				return
			}
			n[i]++
			if f.firstCopy == 0 {
				c0[i]++
			}
			if !f.isOpen {
				never[i]++
			}
		}
		Play(loads[0], Policy(), uint64(s+1))
	}
	for i := range 20 {
		fmt.Printf("%.1f n %.1f c0 %.1f never %.1f placed %d\n", float64(i-5)*.2, float64(n[i])/10, float64(c0[i])/10, float64(never[i])/10, placed[i])
	}
}
