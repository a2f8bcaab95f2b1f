package retrier_test

import (
	"fmt"
	"time"

	"kingcupvalve.example/kingcupvalve/retrier"
)

// Retries stay in proportion to successful requests, so that they do not multiply
// a demand peak.
func Example() {
	b := retrier.NewBudget(retrier.Options{})
	now := time.Unix(0, 0)
	allowed := 0
	for range 1000 {
		if b.TryRetry(now) {
			allowed++
		}
	}
	fmt.Println(allowed < 100)
	// Output:
	// true
}
