package selector_test

import (
	"fmt"

	"kingcupvalve.example/kingcupvalve/selector"
)

// Two balancers with the same table select the same target, and a target that is
// not accepted loses only its own keys.
func Example() {
	entries := []selector.Entry{selector.NewEntry(101, 100), selector.NewEntry(102, 100), selector.NewEntry(103, 50)}
	here, there := selector.NewTable(7, entries), selector.NewTable(7, entries)
	key := []byte("connection")
	a, _ := here.Select(key)
	b, _ := there.Select(key)
	fmt.Println(a == b)
	other, ok := here.SelectWhere(key, func(target uint32) bool { return target != a })
	fmt.Println(ok, other != a)
	// Output:
	// true
	// true true
}
