package keeper

// Accepted returns the head in force with its sections in the order of the
// head, or the zero Head when no revision is in force.
func (k *Keeper) Accepted() (Head, []Section) {
	sections, _ := k.collectSections(k.acceptedHead)
	return k.acceptedHead, sections
}

// Head returns the head in force, or the zero Head when no revision is.
func (k *Keeper) Head() Head { return k.acceptedHead }

// Source returns the source that first offered the head in force.
func (k *Keeper) Source() string { return k.acceptedSource }

// Refused returns the highest refused head above the one in force and the error
// of its validation, or the zero Head. Its sections are kept, so that other
// processes can fetch them and refuse the head as well.
func (k *Keeper) Refused() (Head, error) {
	if k.refused.head.revision == 0 {
		return Head{}, nil
	}
	err, _ := k.refusals.Peek(k.refused.head.digest)
	return k.refused.head, err
}

// RefusedSource returns the source that first offered the head of Refused.
func (k *Keeper) RefusedSource() string { return k.refused.source }

// Conflicting returns the latest offered head that has the revision number in
// force and other content, or the zero Head.
func (k *Keeper) Conflicting() Head { return k.conflictingHead }

// Content returns the content of a section by its hash, if it is kept. The
// caller must not change it.
func (k *Keeper) Content(hash Hash) ([]byte, bool) {
	content, ok := k.contents[hash]
	return content, ok
}

// HighestCandidate returns the candidate with the highest revision, or the zero
// Head.
func (k *Keeper) HighestCandidate() Head {
	if len(k.candidates) == 0 {
		return Head{}
	}
	return k.candidates[0].head
}
