package loader

import "time"

// Tally counts the callers' requests and feeds by result.
type Tally struct {
	// Requests is the number of requests of all callers except the plain
	// client.
	Requests int
	// Complete is the number of requests that got their own complete response.
	Complete int
	// NotRun is the number of requests refused as not run.
	NotRun int
	// Unknown is the number of requests whose outcome is unknown.
	Unknown int
	// Truncated is the number of responses that ended early.
	Truncated int
	// Mismatched is the number of complete responses that belong to another
	// request or to none.
	Mismatched int
	// Failed is the number of requests that failed for another reason.
	Failed int
	// Feeds is the number of feeds, Events the total number of their events.
	Feeds  int
	Events int
	// BrokenFeeds is the number of feeds with a missing, repeated or late
	// event.
	BrokenFeeds int
	// LongestGap is the longest time between two events of any feed.
	LongestGap time.Duration
	// PlainRequests and PlainComplete are the numbers of requests and of complete
	// responses of the unmodified HTTP/3 client.
	PlainRequests int
	PlainComplete int
}

// Broken returns the number of broken feeds and of truncated, mismatched and
// failed responses.
func (t Tally) Broken() int { return t.BrokenFeeds + t.Truncated + t.Mismatched + t.Failed }

// Tally returns a copy of the current counts.
func (l *Load) Tally() Tally {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.tally
}

// Faults returns a line for each fault that a caller saw.
func (l *Load) Faults() []string {
	l.lock.Lock()
	defer l.lock.Unlock()
	return append([]string(nil), l.faults...)
}

// NotRunIDs returns the IDs of requests that were refused as not run.
func (l *Load) NotRunIDs() []string {
	l.lock.Lock()
	defer l.lock.Unlock()
	return append([]string(nil), l.notRunIDs...)
}
