package logger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// maxFaults is the number of faults whose rates are limited separately. Fault
// names are constants in the code; the limit bounds memory if a name is built
// from input.
const maxFaults = 256

// otherFaultsName is the name under which faults beyond maxFaults share one limit.
const otherFaultsName = "other"

// faultState holds the counts of lines of one fault: those written in the current
// period, and those left out since the last one written.
type faultState struct {
	windowStart time.Time
	written     int
	leftOut     int64
}

// FaultLog limits the rate of log lines of each fault and counts the lines that
// it leaves out. It is safe for concurrent use.
type FaultLog struct {
	log   zerolog.Logger
	burst int
	// infoBurst limits the lines of each message at level info in a period; 0
	// means no limit.
	infoBurst int
	period    time.Duration
	mutex     sync.Mutex
	faults    map[string]*faultState
}

// NewFaultLog returns a FaultLog that writes at most burst lines of each fault
// in each period.
func NewFaultLog(log zerolog.Logger, burst int, period time.Duration) *FaultLog {
	return &FaultLog{log: log, burst: burst, period: period, faults: make(map[string]*faultState)}
}

// LimitInfo limits the lines of each message at level info to burst in each
// period. It must be called before the logger is used.
func (f *FaultLog) LimitInfo(burst int) { f.infoBurst = burst }

// admit reports whether a line of the fault may be written, and if so, how many
// lines were left out since the last one.
func (f *FaultLog) admit(fault string, burst int, now time.Time) (ok bool, omitted int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s := f.faults[fault]
	if s == nil && len(f.faults) >= maxFaults {
		fault = otherFaultsName
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
	omitted, s.leftOut = s.leftOut, 0
	return true, omitted
}

// Logger returns a logger that limits the lines of level warn and above by their
// message. Messages are constants, so each message identifies one fault.
func (f *FaultLog) Logger() zerolog.Logger { return f.log.Hook(zerolog.HookFunc(f.limit)) }

func (f *FaultLog) limit(e *zerolog.Event, level zerolog.Level, message string) {
	burst := f.burst
	if level == zerolog.InfoLevel && f.infoBurst > 0 {
		burst = f.infoBurst
	} else if level < zerolog.WarnLevel {
		return
	}
	ok, omitted := f.admit(message, burst, time.Now())
	if !ok {
		leftOut.Inc()
		e.Discard()
		return
	}
	if omitted > 0 {
		e.Int64("left_out", omitted)
	}
}

// Run calls Flush once in each period, and a last time when ctx ends.
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
// last line, and forgets the other faults whose period has ended. It is called
// periodically and before the process exits.
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
