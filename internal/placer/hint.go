package placer

import (
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// maxHints is the capacity of the hint cache; an entry takes about 150 bytes.
	maxHints = 65_536
	// doubtLimit is the number of doubts from which a hint has to be confirmed.
	doubtLimit = 2
)

// hint is the target that holds a flow or that its opening packet was sent to.
type hint struct {
	target uint32
	// address is that of the target, if it is known. A target that has started again
	// has a new number; its agent serves the same address.
	address netip.AddrPort
	// sequence is the sequence number of the opening packet, if hasSequence. It
	// tells the flow from an earlier one with the same addresses and ports.
	sequence    uint32
	hasSequence bool
	// doubts counts the repeated packets since an agent confirmed the hint. A hint
	// that no agent has confirmed begins with one: the opening packet may have been
	// passed on, or answered by the target of an earlier copy.
	doubts uint8
	last   packetID
}

// packetID tells a repeated packet of a flow from a new one.
type packetID struct {
	sequence, ackNumber uint32
	length              int
}

// hintCache holds the hints of the flows that were used last. It is safe for
// concurrent use.
type hintCache struct {
	lock  sync.Mutex
	hints *simplelru.LRU[uint64, *hint]
}

func newHintCache() (*hintCache, error) {
	hints, err := simplelru.NewLRU[uint64, *hint](maxHints, nil)
	if err != nil {
		return nil, merry.Prepend(err, "create hint cache")
	}
	return &hintCache{hints: hints}, nil
}

// open stores the target that the opening packet of a flow was sent to.
func (c *hintCache) open(flow uint64, target uint32, address netip.AddrPort, sequence uint32) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.hints.Add(flow, &hint{target: target, address: address, sequence: sequence, hasSequence: true, doubts: 1})
}

// confirm stores the target whose agent reports that it holds a flow.
func (c *hintCache) confirm(flow uint64, target uint32) {
	c.lock.Lock()
	defer c.lock.Unlock()
	h, ok := c.hints.Peek(flow)
	if !ok {
		h = &hint{}
		c.hints.Add(flow, h)
	}
	if h.target != target {
		h.address = netip.AddrPort{}
	}
	h.target, h.doubts = target, 0
}

// find returns the target that the hint for a packet of an open flow names, by its
// number or by its address. The hint is doubtful if the packet is repeated: the target
// may not have got it, and need not be the one that holds the flow.
func (c *hintCache) find(flow uint64, table *router.Table, p framer.Packet) (number uint32, target *router.Target, isDoubtful, ok bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	h, ok := c.hints.Get(flow)
	if !ok {
		return 0, nil, false, false
	}
	number = h.target
	if target, ok = table.FindTarget(number); ok {
		h.address = target.Address
	} else if number, target, ok = table.FindTargetAt(h.address); !ok {
		return 0, nil, false, false
	}
	id := packetID{sequence: p.Sequence, ackNumber: p.AckNumber, length: p.Length}
	if id != h.last {
		h.last = id
		return number, target, false, true
	}
	h.doubts = min(h.doubts+1, doubtLimit)
	return number, target, h.doubts == doubtLimit, true
}

// findOpened returns the target that the opening packet with a sequence number was
// sent to.
func (c *hintCache) findOpened(flow uint64, sequence uint32) (uint32, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	h, ok := c.hints.Get(flow)
	if !ok || !h.hasSequence || h.sequence != sequence {
		return 0, false
	}
	return h.target, true
}

func (c *hintCache) remove(flow uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.hints.Remove(flow)
}
