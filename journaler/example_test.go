package journaler_test

import (
	"fmt"
	"time"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/journaler"
	"kingcupvalve.example/kingcupvalve/minter"
)

// A ticket starts its request once; a duplicate gets the stored response.
func Example() {
	secret, err := deriver.NewSecret(1, make([]byte, deriver.MinSecretSize))
	if err != nil {
		panic(err)
	}
	ring, err := deriver.NewKeyRing(secret)
	if err != nil {
		panic(err)
	}
	m, err := minter.NewMinter(minter.Options{Ring: ring, Target: 101, Incarnation: 1, Service: 7, Lifetime: time.Minute})
	if err != nil {
		panic(err)
	}
	j := journaler.NewJournal(journaler.Options{Target: 101, Incarnation: 1})
	now := time.Unix(0, 0)
	text, err := m.Mint(now)
	if err != nil {
		panic(err)
	}
	ticket, err := m.Parse(text)
	if err != nil {
		panic(err)
	}
	const fingerprint = 17
	fmt.Println(j.Begin(ticket, fingerprint, now).Action() == journaler.Start)
	j.Finish(ticket.Serial(), journaler.Done, journaler.NewResponse(200, nil, []byte("cut")), now)
	again := j.Begin(ticket, fingerprint, now)
	fmt.Println(again.Action() == journaler.Start, string(again.Response().Body()))
	// Output:
	// true
	// false cut
}
