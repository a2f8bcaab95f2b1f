package logger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// maxFaults bounds the faults that are counted apart. Fault names are
// constants in the code, so the bound only guards against a name that is built
// from input.
const maxFaults = 256

// otherFaults is the name under which faults beyond maxFaults share one rate.
const otherFaults = "other"

type faultState struct {
	windowStart time.Time
	written     int
	leftOut     int64
}

// FaultLog limits the rate of lines of each named fault and counts the lines
// that were left out. It is safe for concurrent use.
type FaultLog struct {
	log   zerolog.Logger
	burst int
	// routineBurst bounds the lines of each message at level info; 0 does not.
	routineBurst int
	period       time.Duration
	mutex        sync.Mutex
	faults       map[string]*faultState
}

// NewFaultLog returns a log that writes at most burst lines of each fault in
// each period.
func NewFaultLog(log zerolog.Logger, burst int, period time.Duration) *FaultLog {
	return &FaultLog{log: log, burst: burst, period: period, faults: make(map[string]*faultState)}
}

// LimitRoutine bounds the lines of each message at level info to burst in each
// period. It is called before the logger is used.
func (f *FaultLog) LimitRoutine(burst int) { f.routineBurst = burst }

func (f *FaultLog) admit(fault string, burst int, now time.Time) (ok bool, before int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s := f.faults[fault]
	if s == nil && len(f.faults) >= maxFaults {
		fault = otherFaults
		s = f.faults[fault]
	}
	if s == nil {
		s = &faultState{windowStart: now}
		f.faults[fault] = s
	}
	if now.Sub(s.windowStart) >= f.period {
		s.windowStart, s.written = now, 0
	}
	if s.written >= burst {
		s.leftOut++
		return false, 0
	}
	s.written++
	before, s.leftOut = s.leftOut, 0
	return true, before
}

// Logger returns a logger that limits lines of level warn and above by their
// message. Messages are constants, so each names one fault.
func (f *FaultLog) Logger() zerolog.Logger { return f.log.Hook(zerolog.HookFunc(f.limit)) }

func (f *FaultLog) limit(e *zerolog.Event, level zerolog.Level, message string) {
	burst := f.burst
	if level == zerolog.InfoLevel && f.routineBurst > 0 {
		burst = f.routineBurst
	} else if level < zerolog.WarnLevel {
		return
	}
	ok, before := f.admit(message, burst, time.Now())
	if !ok {
		leftOut.Inc()
		e.Discard()
		return
	}
	if before > 0 {
		e.Int64("left_out", before)
	}
}

// Run calls Flush once in each period and at the end of the context.
func (f *FaultLog) Run(ctx context.Context) {
	ticker := time.NewTicker(f.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.Flush()
			return
		case <-ticker.C:
			f.Flush()
		}
	}
}

// Flush writes one line for each fault of which lines were left out since its
// last line, and forgets faults that were silent for a period. It is called at
// intervals and before the process ends.
func (f *FaultLog) Flush() {
	now := time.Now()
	f.mutex.Lock()
	counts := make(map[string]int64)
	for name, s := range f.faults {
		if s.leftOut > 0 {
			counts[name] = s.leftOut
			s.leftOut = 0
		} else if now.Sub(s.windowStart) >= f.period {
			delete(f.faults, name)
		}
	}
	f.mutex.Unlock()
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		f.log.Warn().Str("fault", name).Int64("left_out", counts[name]).Msg("log lines left out")
	}
}
