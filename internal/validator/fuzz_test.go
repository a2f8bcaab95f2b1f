package validator

import (
	"strings"
	"testing"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// FuzzSettings guards against settings files that make the process panic, and
// against problems without a position.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("role: &a [*a]\n? {a: b}\n: !!binary x\n"))
	f.Add([]byte(strings.Repeat("{a: ", 200)))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := parser.ParseSettingsContent("settings.yaml", content)
		if err != nil {
			return
		}
		for _, p := range ValidateSettings(s) {
			if p.Line() < 1 || p.Key() == "" && p.Accepted() == "" {
				t.Fatalf("problem without position: %+v", p)
			}
		}
	})
}

// FuzzFleet guards against valid documents from which no snapshot can be built,
// which would leave a process without a routing table, and against documents
// that are valid as written and rejected as published.
func FuzzFleet(f *testing.F) {
	f.Add([]byte("revision: 1\nservices:\n- name: a\n  number: 1\n  names: [a.example]\n  addresses: ['192.0.2.1:443']\n  targets:\n  - {name: t, number: 1, host: h, availability_zone: z, tunnel_address: '10.0.0.1:1', control_address: '10.0.0.1:2'}\nexceptions:\n- {scope: a/t, key: slots, value: 7, reason: old host}\n"))
	f.Add([]byte("revision: 0x10\ndefaults: {slots: 1_000}\n"))
	f.Add([]byte("revision: 1\ndefaults: {slots: 0b11, weight: 0o17}\nservices: null\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		fleet, positions, err := parser.ParseFleetContent("fleet.yaml", content)
		if err != nil || len(ValidateFleetDocument(fleet, positions)) > 0 {
			return
		}
		if _, err := cataloger.NewSnapshot(fleet, nil); err != nil {
			t.Fatalf("valid document gives no snapshot: %v", err)
		}
		sections, err := cataloger.SplitFleet(fleet)
		if err != nil {
			t.Fatal(err)
		}
		joined, err := cataloger.JoinFleet(fleet.Revision, sections)
		if err != nil {
			t.Fatal(err)
		}
		if problems := ValidateFleet(joined); len(problems) > 0 {
			t.Fatalf("valid as written, refused as published: %v", problems)
		}
	})
}
