package cataloger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// SectionCount is the number of service sections of a published fleet. In a fleet
// of the size that the system is designed for, a section is about 35 KB of 2.4
// MB, and a change to one service sends one compressed section instead of the
// whole fleet.
const SectionCount = 64

// PolicySectionName is the name of the section with defaults and exceptions.
const PolicySectionName = "policy"

// Section is a part of a fleet document that is published separately.
type Section struct {
	name    string
	content []byte
}

// NewSection returns a section with the given JSON content, which is not copied.
func NewSection(name string, content []byte) Section {
	return Section{name: name, content: content}
}

// Name returns the name of the section.
func (s Section) Name() string { return s.name }

// Content returns the JSON content. The caller must not change it.
func (s Section) Content() []byte { return s.content }

// sectionDocument is the JSON form of a section.
type sectionDocument struct {
	Defaults   *PolicySpec     `json:"defaults,omitempty"`
	Exceptions []ExceptionSpec `json:"exceptions,omitempty"`
	Services   []ServiceSpec   `json:"services,omitempty"`
}

// ServiceSectionName returns the name of the section that holds a service.
func ServiceSectionName(service string) string {
	return fmt.Sprintf("services-%02d", xxhash.Sum64String(service)%SectionCount)
}

// SplitFleet divides a fleet document into sections, sorted by name. It omits
// sections without services. The revision is not part of any section.
func SplitFleet(fleet FleetSpec) ([]Section, error) {
	documents := map[string]*sectionDocument{
		PolicySectionName: {Defaults: &fleet.Defaults, Exceptions: fleet.Exceptions},
	}
	for _, service := range fleet.Services {
		name := ServiceSectionName(service.Name)
		if documents[name] == nil {
			documents[name] = &sectionDocument{}
		}
		documents[name].Services = append(documents[name].Services, service)
	}
	sections := make([]Section, 0, len(documents))
	for name, document := range documents {
		content, err := json.Marshal(document)
		if err != nil {
			return nil, merry.Prependf(err, "encode section %s", name)
		}
		sections = append(sections, NewSection(name, content))
	}
	slices.SortFunc(sections, func(a, b Section) int { return cmp.Compare(a.name, b.name) })
	return sections, nil
}

// JoinFleet assembles the fleet document of a revision from its sections, with
// the services sorted by name.
func JoinFleet(revision uint64, sections []Section) (FleetSpec, error) {
	fleet := FleetSpec{Revision: revision}
	for _, section := range sections {
		var document sectionDocument
		if err := json.Unmarshal(section.content, &document); err != nil {
			return FleetSpec{}, merry.Prependf(err, "decode section %s", section.name)
		}
		if document.Defaults != nil {
			fleet.Defaults = *document.Defaults
		}
		fleet.Exceptions = append(fleet.Exceptions, document.Exceptions...)
		fleet.Services = append(fleet.Services, document.Services...)
	}
	slices.SortFunc(fleet.Services, func(a, b ServiceSpec) int { return cmp.Compare(a.Name, b.Name) })
	return fleet, nil
}
