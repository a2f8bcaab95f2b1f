package journaler

// Sizes of the window. serialsPerRange is the number of bits of a uint64.
const (
	serialsPerRange = 64
	rangeCount      = 1 << 14
)

// WindowSerials is the number of the latest serials whose state is kept after
// their record is deleted. At 1,000 tickets per second it covers 17 minutes,
// which is several times the lifetime of a ticket.
const WindowSerials = serialsPerRange * rangeCount

// serialRange holds the state of serialsPerRange consecutive serials: bit i of each
// bitmap belongs to the serial index*serialsPerRange + i.
type serialRange struct {
	index   uint64
	started uint64
	closed  uint64
}

// window records which of the latest serials were started or closed. It is a
// ring buffer of ranges. No ticket with a serial below the first range starts.
type window struct {
	ranges     []serialRange // allocated on first use
	firstRange uint64        // index of the lowest range in the window
}

// advanceTo moves the window up, if necessary, so that it contains a serial. Begin
// calls it when a request starts, so that the serial is in the window from then on.
func (w *window) advanceTo(serial uint64) {
	if index := serial / serialsPerRange; index >= w.firstRange+rangeCount {
		w.firstRange = index - rangeCount + 1
	}
}

// isBelow reports whether a serial has left the window, so that its state is lost.
func (w *window) isBelow(serial uint64) bool { return serial/serialsPerRange < w.firstRange }

func (w *window) isStarted(serial uint64) bool {
	r := w.findRange(serial)
	return r != nil && r.started&(1<<(serial%serialsPerRange)) != 0
}

func (w *window) isClosed(serial uint64) bool {
	r := w.findRange(serial)
	return r != nil && r.closed&(1<<(serial%serialsPerRange)) != 0
}

// start records that the request of a serial was started.
func (w *window) start(serial uint64) {
	if r := w.ensureRange(serial); r != nil {
		r.started |= 1 << (serial % serialsPerRange)
	}
}

// close records that a serial never starts.
func (w *window) close(serial uint64) {
	if r := w.ensureRange(serial); r != nil {
		r.closed |= 1 << (serial % serialsPerRange)
	}
}

// findRange returns the range of a serial, or nil when nothing is recorded for it.
func (w *window) findRange(serial uint64) *serialRange {
	index := serial / serialsPerRange
	if w.ranges == nil || index < w.firstRange {
		return nil
	}
	if r := &w.ranges[index%rangeCount]; r.index == index {
		return r
	}
	return nil
}

// ensureRange returns the range of a serial and creates it if necessary. It
// returns nil for a serial below the window, which never starts in any case.
func (w *window) ensureRange(serial uint64) *serialRange {
	w.advanceTo(serial)
	index := serial / serialsPerRange
	if index < w.firstRange {
		return nil
	}
	if w.ranges == nil {
		w.ranges = make([]serialRange, rangeCount)
	}
	r := &w.ranges[index%rangeCount]
	if r.index != index {
		*r = serialRange{index: index}
	}
	return r
}
