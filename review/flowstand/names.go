package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"text/template"
)

// names has the names of the platform's interfaces, which names.json lists.
type names struct {
	RangePath     string            `json:"range_path"`
	WatchPath     string            `json:"watch_path"`
	ReadyPath     string            `json:"ready_path"`
	ConfigKey     string            `json:"config_key"`
	EntryPrefix   string            `json:"entry_prefix"`
	RevisionField string            `json:"revision_field"`
	MoreField     string            `json:"more_field"`
	Entry         string            `json:"entry"`
	Config        string            `json:"config"`
	Settings      map[string]string `json:"settings"`
}

func readNames(root string) (names, error) {
	var n names
	content, err := os.ReadFile(filepath.Join(root, "review", "flowstand", "names.json"))
	if err != nil {
		return n, err
	}
	return n, json.Unmarshal(content, &n)
}

// entry is what a target says of itself in the store.
type entry struct {
	Service, Address, Zone, State string
	Slots, ColdLeft, Sequence     int
	Born                          int64
}

// route maps a published address to a service.
type route struct {
	Name, Host, Kind, Service string
	Port                      uint16
}

// config is a version of the configuration.
type config struct {
	Version   int
	Routes    []route
	Services  []string
	ColdStart float64
	ColdRate  float64
}

// fill fills in a text of the names.
func fill(text string, value any) []byte {
	var b bytes.Buffer
	if err := template.Must(template.New("").Parse(text)).Execute(&b, value); err != nil {
		panic(err)
	}
	return b.Bytes()
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}\n?(.*?)\{\{/([\w.]+)\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in a template of settings. A section of a list is repeated for each of
// its values, and any other section is kept if it has a value.
func render(text string, values map[string]string, lists map[string][]string) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if list, ok := lists[m[1]]; ok {
			var parts []string
			for _, value := range list {
				parts = append(parts, strings.NewReplacer("{{.}}", value, "{{,}}", "").Replace(m[2]))
			}
			return strings.Join(parts, ",")
		}
		if values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string { return values[placeholder.FindStringSubmatch(s)[1]] })
}
