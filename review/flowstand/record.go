package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what happens, with the time since the start of the run.
type record struct {
	lock  sync.Mutex
	start time.Time
	w     io.Writer
}

func newRecord(w io.Writer) *record { return &record{start: time.Now(), w: w} }

func (r *record) write(format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
