package watcher

import (
	"maps"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/keeper"
)

// fetch is the state of fetching one missing section.
type fetch struct {
	source string // link id, sourcePlatform, or empty between attempts
	since  time.Time
	size   uint64 // as stated by the head
	// failed lists the link ids that could not provide the section.
	failed []string
	retry  time.Time
}

// maxRequestedSections limits the sections of one request, so that the replies
// do not fill the queue of a link.
const maxRequestedSections = 32

// tickSections requests missing sections from peers that announced them or, if
// this process may read sections there, from the platform.
func (l *logic) tickSections(now time.Time) {
	missing := l.keeper.Missing()
	if len(missing) == 0 {
		if len(l.fetches) > 0 {
			clear(l.fetches)
			l.platformFetches = 0
		}
		return
	}
	requested := make(map[string][]keeper.SectionRef)
	for _, ref := range missing {
		f := l.fetches[ref.Hash()]
		if f == nil {
			f = &fetch{size: ref.Size()}
			l.fetches[ref.Hash()] = f
		}
		if f.source != "" {
			if now.Sub(f.since) < fetchTimeout {
				continue
			}
			l.failFetch(now, f)
		}
		source, ok := l.chooseSource(now, ref, f, requested)
		if !ok {
			continue
		}
		f.source, f.since = source, now
		if source == sourcePlatform {
			l.platformFetches++
			l.effects.readSection(ref)
			continue
		}
		requested[source] = append(requested[source], ref)
	}
	for _, id := range slices.Sorted(maps.Keys(requested)) {
		l.effects.send(id, sectionRequest(requested[id]))
	}
}

// chooseSource picks a random peer that announced the section, or the platform.
// It returns false if no source may be used now.
func (l *logic) chooseSource(now time.Time, ref keeper.SectionRef, f *fetch, requested map[string][]keeper.SectionRef) (string, bool) {
	var candidates []string
	for id, k := range l.links {
		if k.hasAnnounced(ref) && !slices.Contains(f.failed, id) && len(requested[id]) < maxRequestedSections {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) > 0 {
		slices.Sort(candidates)
		return candidates[int(l.random()*float64(len(candidates)))%len(candidates)], true
	}
	if now.Before(f.retry) || !l.mayFetchFromPlatform(now) || l.platformFetches >= maxPlatformFetches {
		return "", false
	}
	if !l.sectionLimiter.AllowN(now, 1) {
		return "", false
	}
	return sourcePlatform, true
}

// mayFetchFromPlatform reports whether the process may read sections from the
// platform: it is a watching process, or no parent provides a missing section.
func (l *logic) mayFetchFromPlatform(now time.Time) bool {
	if l.isWatching() {
		return true
	}
	return now.After(l.startGraceEnd) && (l.orphaned || now.Sub(l.candidateSince) > parentTimeout)
}

// failFetch records that the current source did not provide the section.
func (l *logic) failFetch(now time.Time, f *fetch) {
	if f.source == sourcePlatform {
		l.platformFetches = max(l.platformFetches-1, 0)
		f.failed = nil // retry the peers as well
		f.retry = now.Add(time.Second/2 + l.randomDelay(time.Second/2))
	} else if f.source != "" {
		f.failed = append(f.failed, f.source)
	}
	f.source = ""
}

// sectionRead handles the result of readSection.
func (l *logic) sectionRead(now time.Time, ref keeper.SectionRef, content []byte, err error) {
	f := l.fetches[ref.Hash()]
	if f == nil || f.source != sourcePlatform {
		return
	}
	if err != nil || keeper.ComputeRef(ref.Name(), content).Hash() != ref.Hash() {
		l.failFetch(now, f)
		return
	}
	l.platformFetches = max(l.platformFetches-1, 0)
	l.storeSection(now, ref.Hash(), content)
}

func (l *logic) storeSection(now time.Time, hash keeper.Hash, content []byte) {
	fromPlatform := l.fetches[hash] != nil && l.fetches[hash].source == sourcePlatform
	delete(l.fetches, hash)
	verdict := l.keeper.Store(content)
	if verdict != keeper.Unchanged {
		l.handleVerdict(now, verdict, keeper.Head{}, "")
		return
	}
	for _, f := range l.fetches {
		if f.source != "" && !fromPlatform {
			return // other sections are still being fetched
		}
	}
	l.tickSections(now)
}
