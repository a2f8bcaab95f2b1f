package logger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func newTestLog(t *testing.T, level string) (*FaultLog, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	log, err := NewLogger(&out, Options{Level: level, Format: FormatJSON, Process: "p", Role: "agent", AvailabilityZone: "tb-a"})
	is.New(t).NoErr(err)
	return NewFaultLog(log, 2, 10*time.Second), &out
}

func warn(f *FaultLog, message string) {
	log := f.Logger()
	log.Warn().Msg(message)
}

func fail(f *FaultLog, message string) {
	log := f.Logger()
	log.Error().Msg(message)
}

func lines(t *testing.T, out *bytes.Buffer) []map[string]any {
	t.Helper()
	var all []map[string]any
	for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if l == "" {
			continue
		}
		m := make(map[string]any)
		is.New(t).NoErr(json.Unmarshal([]byte(l), &m))
		all = append(all, m)
	}
	return all
}

func TestNewLogger(t *testing.T) {
	t.Run("lines contain the process, and lower levels are not written", func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log, err := NewLogger(&out, Options{Level: "warn", Format: FormatJSON, Process: "p"})
		is.NoErr(err)
		log.Info().Msg("left out")
		log.Warn().Msg("kept")
		all := lines(t, &out)
		is.Equal(len(all), 1)
		is.Equal(all[0]["process"], "p")
		is.Equal(all[0]["message"], "kept")
	})
	t.Run("an unknown level or format is an error", func(t *testing.T) {
		is := is.New(t)
		_, err := NewLogger(&bytes.Buffer{}, Options{Level: "loud"})
		is.True(err != nil)
		_, err = NewLogger(&bytes.Buffer{}, Options{Level: "info", Format: "xml"})
		is.True(err != nil)
	})
}

func TestFaultLog(t *testing.T) {
	t.Run("a repeating fault is limited and the rest is counted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, out := newTestLog(t, "info")
			for range 100 {
				warn(f, "refused")
			}
			is.Equal(len(lines(t, out)), 2)
			time.Sleep(10 * time.Second)
			warn(f, "refused")
			all := lines(t, out)
			is.Equal(len(all), 3)
			is.Equal(all[2]["left_out"], float64(98))
		})
	})
	t.Run("warnings are limited by their message, info lines are not", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, out := newTestLog(t, "info")
			log := f.Logger()
			for range 10 {
				log.Warn().Msg("refused")
				log.Info().Msg("served")
			}
			is.Equal(len(lines(t, out)), 2+10)
			time.Sleep(10 * time.Second)
			log.Warn().Msg("refused")
			all := lines(t, out)
			is.Equal(all[len(all)-1]["left_out"], float64(8))
		})
	})
	// Guards against a log volume that grows with the traffic.
	t.Run("info lines are limited when a limit is set", func(t *testing.T) {
		is := is.New(t)
		f, out := newTestLog(t, "info")
		f.LimitInfo(5)
		log := f.Logger()
		for range 100 {
			log.Info().Msg("flow placed")
			log.Warn().Msg("refused")
		}
		f.Flush()
		is.Equal(len(lines(t, out)), 5+2+2)
	})
	t.Run("a limited fault does not suppress another", func(t *testing.T) {
		is := is.New(t)
		f, out := newTestLog(t, "info")
		for range 10 {
			warn(f, "a")
		}
		fail(f, "b")
		is.Equal(len(lines(t, out)), 3)
	})
	t.Run("flush reports a fault that stopped while limited", func(t *testing.T) {
		is := is.New(t)
		f, out := newTestLog(t, "info")
		for range 7 {
			warn(f, "a")
		}
		f.Flush()
		f.Flush()
		all := lines(t, out)
		is.Equal(len(all), 3)
		is.Equal(all[2]["left_out"], float64(5))
	})
	t.Run("names built from input do not grow memory without bound", func(t *testing.T) {
		is := is.New(t)
		f, _ := newTestLog(t, "error")
		for i := range 10_000 {
			fail(f, fmt.Sprint(i))
		}
		is.Equal(len(f.faults), maxFaults+1) // faults beyond the limit share the last entry
	})
}

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestQueue(t *testing.T) {
	// Guards against packet processing that blocks on a full log pipe.
	t.Run("a blocked output drops and counts lines without blocking the logger", func(t *testing.T) {
		is := is.New(t)
		output := blockedWriter{release: make(chan struct{})}
		before := lostLines.Get()
		queue, closeQueue := NewQueue(output)
		log, err := NewLogger(queue, Options{Level: "info"})
		is.NoErr(err)
		for range 3 * queueLines {
			log.Info().Msg("flow placed")
		}
		close(output.release)
		closeQueue()
		is.True(lostLines.Get() > before)
	})
}
