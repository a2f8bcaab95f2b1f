package marker_test

import (
	"fmt"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/marker"
)

// A connection ID carries the target of its connection; a modified one is not
// accepted.
func Example() {
	secret, err := deriver.NewSecret(1, make([]byte, deriver.MinSecretSize))
	if err != nil {
		panic(err)
	}
	ring, err := deriver.NewKeyRing(secret)
	if err != nil {
		panic(err)
	}
	m, err := marker.NewMarker(ring)
	if err != nil {
		panic(err)
	}
	id := m.Encode(nil, marker.NewMark(101, 1, 7, 42))
	mark, ok := m.Decode(id)
	fmt.Println(len(id), ok, mark.Target(), mark.Service())
	id[5]++
	_, ok = m.Decode(id)
	fmt.Println(ok)
	// Output:
	// 20 true 101 7
	// false
}
