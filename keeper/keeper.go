package keeper

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// ErrMalformed reports a head that is not in the expected format, that exceeds
// a limit, or whose sections have other sizes than it states.
var ErrMalformed = merry.New("malformed head")

const (
	// maxCandidates bounds the number of incomplete heads held at once. Together
	// with MaxTotalBytes it bounds the memory of the keeper.
	maxCandidates = 4
	// candidateLifetime is the time after which a new head may replace an
	// incomplete one that no source has offered again.
	candidateLifetime = time.Minute
	// maxRefusals bounds the number of refused heads that are remembered.
	maxRefusals = 64
)

// Verdict is the result of Offer or Store.
type Verdict int

// Verdicts of Offer and Store.
const (
	// Unchanged means that the section did not complete a head.
	Unchanged Verdict = iota
	// Accepted means that a new revision was put in force.
	Accepted
	// Older means that the head was refused because a higher revision is in force.
	Older
	// Same means that this head is already in force.
	Same
	// Conflict means that the revision in force has the same number and other
	// content.
	Conflict
	// Incomplete means that sections are missing; see Missing. It is also
	// returned for a head that is dropped because the table of candidates is full.
	Incomplete
	// Invalid means that the revision failed validation and was refused.
	Invalid
)

// String returns the verdict in lower case, or "unknown".
func (v Verdict) String() string {
	names := [...]string{"unchanged", "accepted", "older", "same", "conflict", "incomplete", "invalid"}
	if v < 0 || int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Section is the content of one section of a head.
type Section struct {
	ref     SectionRef
	content []byte
}

// Ref returns the reference of the section.
func (s Section) Ref() SectionRef { return s.ref }

// Content returns the content. The caller must not change it.
func (s Section) Content() []byte { return s.content }

// Options are the settings of a Keeper.
type Options struct {
	// Check validates a complete revision. Its result must depend on its
	// arguments only, so that every process reaches the same one. A nil Check
	// accepts every revision.
	Check func(revision uint64, sections []Section) error
}

// candidate is a head that waits for sections.
type candidate struct {
	head        Head
	source      string // the source that offered it first
	lastOffered time.Time
}

// Keeper holds the revision in force and the candidates for the next one.
type Keeper struct {
	options         Options
	acceptedHead    Head
	acceptedSource  string
	candidates      []candidate // by descending revision
	contents        map[Hash][]byte
	refusals        *simplelru.LRU[Hash, error]
	refused         candidate // the highest refused head above the accepted one, of equal revisions the latest
	conflictingHead Head      // the latest head in conflict with the accepted one, or zero
}

// NewKeeper returns a keeper without a revision in force.
func NewKeeper(options Options) *Keeper {
	refusals, err := simplelru.NewLRU[Hash, error](maxRefusals, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &Keeper{options: options, contents: make(map[Hash][]byte), refusals: refusals}
}

// Offer considers a head that a source announces at time now. The source is a
// name for reports; it does not affect the verdict.
func (k *Keeper) Offer(head Head, source string, now time.Time) Verdict {
	switch {
	case head.revision < k.acceptedHead.revision:
		return Older
	case head.digest == k.acceptedHead.digest:
		return Same
	case head.revision == k.acceptedHead.revision:
		k.conflictingHead = head
		return Conflict
	}
	if _, ok := k.refusals.Get(head.digest); ok {
		return Invalid
	}
	if !k.addCandidate(candidate{head: head, source: source, lastOffered: now}) {
		return Incomplete
	}
	if verdict := k.evaluate(head.digest); verdict != Unchanged {
		return verdict
	}
	return Incomplete
}

// addCandidate inserts a candidate or refreshes the time of an equal one. In a
// full table it replaces a candidate that was not offered for
// candidateLifetime, or else the lowest one if its revision is below that of c.
// It reports false when neither exists.
func (k *Keeper) addCandidate(c candidate) bool {
	same := func(o candidate) bool { return o.head.digest == c.head.digest }
	if i := slices.IndexFunc(k.candidates, same); i >= 0 {
		k.candidates[i].lastOffered = c.lastOffered
		return true
	}
	if len(k.candidates) >= maxCandidates {
		stale := func(o candidate) bool { return c.lastOffered.Sub(o.lastOffered) > candidateLifetime }
		i := slices.IndexFunc(k.candidates, stale)
		if i < 0 {
			i = len(k.candidates) - 1
			if k.candidates[i].head.revision >= c.head.revision {
				return false
			}
		}
		k.candidates = slices.Delete(k.candidates, i, i+1)
	}
	lower := func(o candidate) bool { return o.head.revision < c.head.revision }
	i := slices.IndexFunc(k.candidates, lower)
	if i < 0 {
		i = len(k.candidates)
	}
	k.candidates = slices.Insert(k.candidates, i, c)
	k.dropUnreferencedContents()
	return true
}

// Missing returns the sections that are still to be fetched for the candidates,
// those of the highest revision first and each hash once.
func (k *Keeper) Missing() []SectionRef {
	var missing []SectionRef
	seen := make(map[Hash]bool)
	for _, c := range k.candidates {
		for _, r := range c.head.sections {
			if k.contents[r.hash] == nil && !seen[r.hash] {
				seen[r.hash] = true
				missing = append(missing, r)
			}
		}
	}
	return missing
}

// IsCandidate reports whether a head is kept while its sections are fetched.
func (k *Keeper) IsCandidate(head Head) bool {
	return slices.ContainsFunc(k.candidates, func(c candidate) bool { return c.head.digest == head.digest })
}

// Store adds the content of a section, from any source; the hash identifies the
// section. Content that no candidate is missing is ignored. The verdict is
// Accepted when the section completed a valid head, Invalid when it completed
// invalid heads only, and otherwise Unchanged. The keeper retains content, so
// the caller must not change it.
func (k *Keeper) Store(content []byte) Verdict {
	ref := ComputeRef("", content)
	wanted := func(r SectionRef) bool { return r.hash == ref.hash }
	if !slices.ContainsFunc(k.Missing(), wanted) {
		return Unchanged
	}
	if content == nil {
		content = []byte{}
	}
	k.contents[ref.hash] = content
	verdict := Unchanged
	for _, c := range slices.Clone(k.candidates) {
		if v := k.evaluate(c.head.digest); v == Accepted || verdict == Unchanged {
			verdict = v
		}
	}
	return verdict
}

// evaluate validates a candidate once all its sections are stored, and puts it
// in force or refuses it. It returns Unchanged for an incomplete candidate.
func (k *Keeper) evaluate(digest Hash) Verdict {
	i := slices.IndexFunc(k.candidates, func(c candidate) bool { return c.head.digest == digest })
	if i < 0 {
		return Unchanged
	}
	c := k.candidates[i]
	sections, ok := k.collectSections(c.head)
	if !ok {
		return Unchanged
	}
	k.candidates = slices.Delete(k.candidates, i, i+1)
	if err := k.checkSections(c.head, sections); err != nil {
		k.refusals.Add(digest, err)
		if c.head.revision >= k.refused.head.revision {
			k.refused = c
		}
		k.dropUnreferencedContents()
		return Invalid
	}
	k.acceptedHead, k.acceptedSource, k.conflictingHead = c.head, c.source, Head{}
	if k.refused.head.revision <= c.head.revision {
		k.refused = candidate{}
	}
	k.candidates = slices.DeleteFunc(k.candidates, func(o candidate) bool {
		if o.head.revision == c.head.revision {
			k.conflictingHead = o.head
		}
		return o.head.revision <= c.head.revision
	})
	k.dropUnreferencedContents()
	return Accepted
}

// checkSections validates a complete revision, the sizes of its sections first.
func (k *Keeper) checkSections(head Head, sections []Section) error {
	for _, s := range sections {
		if uint64(len(s.content)) != s.ref.size {
			return merry.Prependf(ErrMalformed, "check section %s: content has %d bytes, head states %d", s.ref.name, len(s.content), s.ref.size)
		}
	}
	if k.options.Check == nil {
		return nil
	}
	return k.options.Check(head.revision, sections)
}

// collectSections returns the sections of a head, or false when one is missing.
func (k *Keeper) collectSections(head Head) ([]Section, bool) {
	sections := make([]Section, len(head.sections))
	for i, r := range head.sections {
		content, ok := k.contents[r.hash]
		if !ok {
			return nil, false
		}
		sections[i] = Section{ref: r, content: content}
	}
	return sections, true
}

// dropUnreferencedContents deletes the contents that neither the accepted head,
// the refused one nor a candidate refers to.
func (k *Keeper) dropUnreferencedContents() {
	needed := make(map[Hash]bool, len(k.contents))
	heads := []Head{k.acceptedHead, k.refused.head}
	for _, c := range k.candidates {
		heads = append(heads, c.head)
	}
	for _, h := range heads {
		for _, r := range h.sections {
			needed[r.hash] = true
		}
	}
	for hash := range k.contents {
		if !needed[hash] {
			delete(k.contents, hash)
		}
	}
}
