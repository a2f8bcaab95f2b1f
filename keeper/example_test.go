package keeper_test

import (
	"fmt"
	"time"

	"kingcupvalve.example/kingcupvalve/keeper"
)

// A revision is in force once all its sections are stored, and a lower one
// never replaces it.
func Example() {
	k := keeper.NewKeeper(keeper.Options{})
	content := []byte(`{"services":[]}`)
	now := time.Unix(0, 0)
	newer, err := keeper.NewHead(8, []keeper.SectionRef{keeper.ComputeRef("services-00", content)})
	if err != nil {
		panic(err)
	}
	older, err := keeper.NewHead(7, []keeper.SectionRef{keeper.ComputeRef("services-00", content)})
	if err != nil {
		panic(err)
	}
	fmt.Println(k.Offer(newer, "platform", now), len(k.Missing()))
	fmt.Println(k.Store(content))
	fmt.Println(k.Offer(older, "balancer-1", now))
	head, _ := k.Accepted()
	fmt.Println(head.Revision())
	// Output:
	// incomplete 1
	// accepted
	// older
	// 8
}
