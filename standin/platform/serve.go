package platform

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/jx"

	api "kingcupvalve.example/kingcupvalve/internal/api/platform"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// readAttempt is the result of one attempt of a call to read the platform. A nil
// store means that the call is finished: successfully if failure is empty.
// Otherwise the call may try again once changed is closed.
type readAttempt struct {
	store   *store
	failure string
	changed <-chan struct{}
}

// startCall counts a call and waits for the delay of SetDelay.
func (p *Platform) startCall(ctx context.Context, key string) error {
	p.lock.Lock()
	p.count(key)
	delay := p.delay
	p.lock.Unlock()
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// allowCall reports whether the limit of calls per second admits another one.
func (p *Platform) allowCall() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.limiter == nil || p.limiter.Allow()
}

// wait calls read after every change until it returns true, the platform is down
// or the wait ends. Read must not retain the store. It returns the message of a
// failure, or an empty string.
func (p *Platform) wait(ctx context.Context, waitMs int64, read func(*store) bool) string {
	if !p.allowCall() {
		return "too many calls"
	}
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		a := p.tryRead(read)
		if a.store == nil {
			return a.failure
		}
		select {
		case <-a.changed:
		case <-timer.C:
			return ""
		case <-ctx.Done():
			return "server is stopping"
		}
	}
}

// tryRead calls read once with the state that readers may see.
func (p *Platform) tryRead(read func(*store) bool) readAttempt {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.down {
		return readAttempt{failure: "platform is down"}
	}
	visible := p.live
	if p.frozen != nil {
		visible = p.frozen
	}
	if read(visible) {
		return readAttempt{}
	}
	return readAttempt{store: visible, changed: p.changed}
}

// ReadValue implements the operation readValue.
func (p *Platform) ReadValue(ctx context.Context, params api.ReadValueParams) (api.ReadValueRes, error) {
	if err := p.startCall(ctx, params.Key); err != nil {
		return nil, err
	}
	var result api.ReadValueRes
	failure := p.wait(ctx, params.WaitMs.Or(0), func(s *store) bool {
		v, ok := s.values[params.Key]
		after, isWatch := params.AfterVersion.Get()
		switch {
		case !ok && params.WaitMs.Or(0) > 0:
			result = &api.ReadValueNotFound{Message: "no such key"}
			return false
		case !ok:
			result = &api.ReadValueNotFound{Message: "no such key"}
			return true
		case isWatch && v.version <= after:
			result = &api.ReadValueNotModified{}
			return false
		}
		result = &api.ReadValueOKHeaders{ValueVersion: v.version, Response: api.ReadValueOK{Data: bytes.NewReader(v.content)}}
		return true
	})
	if failure != "" {
		return &api.ReadValueServiceUnavailable{Message: failure}, nil
	}
	return result, nil
}

// ListHosts implements the operation listHosts.
func (p *Platform) ListHosts(ctx context.Context, params api.ListHostsParams) (api.ListHostsRes, error) {
	if err := p.startCall(ctx, "hosts"); err != nil {
		return nil, err
	}
	var result api.ListHostsRes = &api.ListHostsNotModified{}
	failure := p.wait(ctx, params.WaitMs.Or(0), func(s *store) bool {
		after := params.AfterVersion.Or(0)
		if params.AfterEpoch.Or(0) != s.epoch {
			after = 0
		}
		if after > 0 && s.hostVersion <= after {
			return false
		}
		changes := &api.HostChanges{Epoch: api.NewOptInt64(s.epoch), Version: s.hostVersion, Hosts: []jx.Raw{}}
		for _, h := range s.hostsAfter(after) {
			changes.Hosts = append(changes.Hosts, h.encode())
		}
		result = changes
		return true
	})
	if failure != "" {
		return &api.Problem{Message: failure}, nil
	}
	return result, nil
}

// encode returns the entry as JSON. It panics if the entry can't be encoded, which
// its type rules out.
func (h host) encode() []byte {
	b, err := cataloger.EncodeHost(h.spec, h.version)
	if err != nil {
		panic(err)
	}
	return b
}
