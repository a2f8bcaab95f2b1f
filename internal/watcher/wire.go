package watcher

import (
	"bytes"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/keeper"
)

func headMessage(h keeper.Head) *wirepb.Envelope {
	message := &wirepb.Head{Revision: h.Revision(), Sections: refMessages(h.Sections())}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Head{Head: message}}
}

func refMessages(refs []keeper.SectionRef) []*wirepb.SectionRef {
	messages := make([]*wirepb.SectionRef, len(refs))
	for i, r := range refs {
		hash := r.Hash()
		messages[i] = &wirepb.SectionRef{Name: r.Name(), Hash: hash[:], SizeBytes: r.Size()}
	}
	return messages
}

func sectionRequest(refs []keeper.SectionRef) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_SectionRequest{
		SectionRequest: &wirepb.SectionRequest{Sections: refMessages(refs)},
	}}
}

func hostRequest(after hostPosition) *wirepb.Envelope {
	request := &wirepb.HostRequest{AfterEpoch: after.epoch, AfterVersion: after.version}
	return &wirepb.Envelope{Body: &wirepb.Envelope_HostRequest{HostRequest: request}}
}

func helloMessage(name string, revision uint64) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: &wirepb.Hello{Process: name, Revision: revision}}}
}

// sectionReply returns a reply with the compressed content, or with the plain
// content if packed is nil.
func sectionReply(ref *wirepb.SectionRef, content, packed []byte, found bool) *wirepb.Envelope {
	reply := &wirepb.SectionReply{Section: ref, Content: content, Found: found}
	if packed != nil {
		reply.Content, reply.Packed = nil, packed
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_SectionReply{SectionReply: reply}}
}

// headDelta encodes a head as the difference from an earlier one.
func headDelta(base, head keeper.Head) *wirepb.Envelope {
	before, digest := base.Digest(), head.Digest()
	message := &wirepb.HeadDelta{Revision: head.Revision(), Base: before[:], Digest: digest[:]}
	old := make(map[string]keeper.SectionRef)
	for _, r := range base.Sections() {
		old[r.Name()] = r
	}
	var changed []keeper.SectionRef
	for _, r := range head.Sections() {
		if old[r.Name()] != r {
			changed = append(changed, r)
		}
		delete(old, r.Name())
	}
	message.Sections, message.Removed = refMessages(changed), slices.Sorted(maps.Keys(old))
	return &wirepb.Envelope{Body: &wirepb.Envelope_HeadDelta{HeadDelta: message}}
}

// applyDelta returns the head that results from applying a delta to its base.
func applyDelta(base keeper.Head, message *wirepb.HeadDelta) (keeper.Head, error) {
	refs := make(map[string]*wirepb.SectionRef)
	for _, r := range refMessages(base.Sections()) {
		refs[r.GetName()] = r
	}
	for _, name := range message.GetRemoved() {
		delete(refs, name)
	}
	for _, r := range message.GetSections() {
		refs[r.GetName()] = r
	}
	head, err := parseHead(&wirepb.Head{Revision: message.GetRevision(), Sections: slices.Collect(maps.Values(refs))})
	if err != nil {
		return keeper.Head{}, err
	}
	if digest := head.Digest(); !bytes.Equal(digest[:], message.GetDigest()) {
		return keeper.Head{}, merry.Prependf(keeper.ErrMalformed, "apply head delta: digest of revision %d does not match", head.Revision())
	}
	return head, nil
}

// parseHash returns the hash of a section reference from a peer.
func parseHash(ref *wirepb.SectionRef) (keeper.Hash, error) {
	if len(ref.GetHash()) != len(keeper.Hash{}) {
		return keeper.Hash{}, merry.Prependf(keeper.ErrMalformed, "parse section reference: hash has %d bytes", len(ref.GetHash()))
	}
	return keeper.Hash(ref.GetHash()), nil
}

// parseHead decodes a head from a peer and checks it by the same rules as a
// published one.
func parseHead(message *wirepb.Head) (keeper.Head, error) {
	if len(message.GetSections()) > keeper.MaxSections {
		return keeper.Head{}, merry.Prependf(keeper.ErrMalformed, "parse head: %d sections exceed the limit", len(message.GetSections()))
	}
	refs := make([]keeper.SectionRef, len(message.GetSections()))
	for i, r := range message.GetSections() {
		hash, err := parseHash(r)
		if err != nil {
			return keeper.Head{}, err
		}
		refs[i] = keeper.NewSectionRef(r.GetName(), hash, r.GetSizeBytes())
	}
	return keeper.NewHead(message.GetRevision(), refs)
}
