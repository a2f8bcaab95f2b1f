package journaler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/minter"
)

var start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func newTicket(serial uint64) minter.Ticket {
	return minter.NewTicket(7, 1, serial, 3, start.Add(time.Minute))
}

func newJournal() *Journal {
	return NewJournal(Options{Target: 7, Incarnation: 1, Capacity: 2, ResponseBytes: 8, StoredBytes: 12})
}

func checkReplay(is *is.I, d Decision, outcome Outcome, reason Reason) {
	is.Helper()
	is.Equal(d.Action(), Replay)
	is.Equal(d.Outcome(), outcome)
	is.Equal(d.Reason(), reason)
}

func begin(is *is.I, j *Journal, serial uint64) {
	is.Helper()
	is.Equal(j.Begin(newTicket(serial), 5, start).Action(), Start)
}

func TestBegin(t *testing.T) {
	t.Run("a copy waits while the first runs and then gets its response", func(t *testing.T) {
		is := is.New(t)
		j := newJournal()
		begin(is, j, 1)
		is.Equal(j.Begin(newTicket(1), 5, start).Action(), Wait)
		is.True(j.Finish(1, Done, NewResponse(201, nil, []byte("cut")), start))
		d := j.Begin(newTicket(1), 5, start)
		checkReplay(is, d, Done, Recorded)
		is.Equal(string(d.Response().Body()), "cut")
	})
	t.Run("a ticket answered as not run never starts", func(t *testing.T) {
		is := is.New(t)
		j := newJournal()
		begin(is, j, 1)
		is.True(j.Finish(1, NotRun, nil, start))
		is.Equal(j.Len(), 0)
		checkReplay(is, j.Begin(newTicket(1), 5, start), NotRun, Recorded)
	})
	t.Run("a ticket refused by a full journal never starts, even with room again", func(t *testing.T) {
		is := is.New(t)
		j := newJournal()
		begin(is, j, 1)
		begin(is, j, 2)
		checkReplay(is, j.Begin(newTicket(3), 5, start), NotRun, Full)
		is.True(j.Finish(1, NotRun, nil, start))
		checkReplay(is, j.Begin(newTicket(3), 5, start), NotRun, Recorded)
	})
	t.Run("a ticket that is reused for another request neither starts it nor returns a response", func(t *testing.T) {
		is := is.New(t)
		j := newJournal()
		begin(is, j, 1)
		is.Equal(j.Begin(newTicket(1), 6, start).Action(), Mismatch)
		is.True(j.Finish(1, Done, NewResponse(200, nil, nil), start))
		is.Equal(j.Begin(newTicket(1), 6, start).Action(), Mismatch)
	})
	t.Run("a ticket of another incarnation is foreign", func(t *testing.T) {
		is := is.New(t)
		d := newJournal().Begin(minter.NewTicket(7, 2, 1, 3, start.Add(time.Minute)), 5, start)
		is.Equal(d.Action(), Foreign)
	})
}

func TestExpiry(t *testing.T) {
	late := start.Add(time.Hour)
	t.Run("an expired ticket that never started was not run, also when the clock steps back", func(t *testing.T) {
		is := is.New(t)
		j := newJournal()
		checkReplay(is, j.Begin(newTicket(1), 5, late), NotRun, Expired)
		checkReplay(is, j.Begin(newTicket(1), 5, start), NotRun, Recorded)
	})
	t.Run("an expired ticket whose record is gone has an unknown outcome", func(t *testing.T) {
		is := is.New(t)
		j := newJournal()
		begin(is, j, 1)
		is.True(j.Finish(1, Done, nil, start))
		j.Tick(late)
		is.Equal(j.Len(), 0)
		checkReplay(is, j.Begin(newTicket(1), 5, late), Unknown, Forgotten)
		checkReplay(is, j.Begin(newTicket(1), 5, start), Unknown, Forgotten)
	})
	t.Run("the record of a running request outlives its ticket", func(t *testing.T) {
		is := is.New(t)
		j := newJournal()
		begin(is, j, 1)
		j.Tick(late)
		is.Equal(j.Begin(newTicket(1), 5, late).Action(), Wait)
		is.True(j.Finish(1, Unknown, nil, late))
		is.Equal(j.Len(), 0)
	})
	t.Run("a ticket below the window never starts", func(t *testing.T) {
		is := is.New(t)
		j := newJournal()
		begin(is, j, 3*WindowSerials)
		checkReplay(is, j.Begin(newTicket(1), 5, start), Unknown, Forgotten)
	})
}

func TestFinish(t *testing.T) {
	t.Run("a second outcome does not replace the first", func(t *testing.T) {
		is := is.New(t)
		j := newJournal()
		begin(is, j, 1)
		is.True(j.Finish(1, Unknown, nil, start))
		is.True(!j.Finish(1, NotRun, nil, start))
		checkReplay(is, j.Begin(newTicket(1), 5, start), Unknown, Recorded)
	})
	t.Run("bodies above the limits are not kept and expiry frees their room", func(t *testing.T) {
		is := is.New(t)
		j := newJournal()
		begin(is, j, 1)
		begin(is, j, 2)
		is.True(j.Finish(1, Done, NewResponse(200, nil, make([]byte, 8)), start))
		is.True(j.Finish(2, Done, NewResponse(200, nil, make([]byte, 5)), start))
		is.Equal(j.StoredBytes(), 8)
		is.True(j.Begin(newTicket(2), 5, start).Response() == nil)
		j.Tick(start.Add(time.Hour))
		is.Equal(j.StoredBytes(), 0)
	})
}
