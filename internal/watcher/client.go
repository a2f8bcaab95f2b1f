package watcher

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"

	api "kingcupvalve.example/kingcupvalve/internal/api/platform"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/keeper"
)

// maxResponseBytes limits the size of one response. The host list at the target
// size takes about 2.5 MB.
const maxResponseBytes = 16 << 20

// refusedHosts counts entries of the host list that can't be decoded. The others hold.
var refusedHosts = metrics.GetOrCreateCounter("kingcupvalve_watcher_hosts_refused_total")

// platformClient reads the platform through its published API.
type platformClient struct {
	api *api.Client
}

// limitedTransport limits the size of response bodies, which the generated
// client reads as a whole.
type limitedTransport struct{ base http.RoundTripper }

type limitedBody struct {
	io.Reader
	io.Closer
}

// RoundTrip forwards the request and limits the response body to
// maxResponseBytes.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = limitedBody{io.LimitReader(response.Body, maxResponseBytes), response.Body}
	return response, nil
}

func newPlatformClient(url string, transport http.RoundTripper) (*platformClient, error) {
	client, err := api.NewClient(url, api.WithClient(&http.Client{Transport: limitedTransport{base: transport}}))
	if err != nil {
		return nil, merry.Prepend(err, "create platform client")
	}
	return &platformClient{api: client}, nil
}

// callContext returns a context that ends before the logic fails the call, which
// happens callTimeout after the wait.
func callContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+callTimeout*9/10)
}

func optWait(wait time.Duration) api.OptInt64 {
	if wait == 0 {
		return api.OptInt64{}
	}
	return api.NewOptInt64(wait.Milliseconds())
}

func (c *platformClient) readHead(ctx context.Context, after int64, wait time.Duration) headResult {
	ctx, cancel := callContext(ctx, wait)
	defer cancel()
	params := api.ReadValueParams{Key: keeper.HeadKey, WaitMs: optWait(wait)}
	if after > 0 {
		params.AfterVersion = api.NewOptInt64(after)
	}
	response, err := c.api.ReadValue(ctx, params)
	if err != nil {
		return headResult{err: merry.Prepend(err, "read head")}
	}
	switch r := response.(type) {
	case *api.ReadValueOKHeaders:
		content, err := io.ReadAll(io.LimitReader(r.Response.Data, keeper.MaxHeadBytes+1))
		if err != nil {
			return headResult{err: merry.Prepend(err, "read head")}
		}
		head, err := keeper.ParseHead(content)
		return headResult{head: head, version: r.ValueVersion, malformed: err}
	case *api.ReadValueNotModified:
		return headResult{notModified: true, version: after}
	case *api.ReadValueNotFound:
		return headResult{missing: true}
	case *api.ReadValueServiceUnavailable:
		return headResult{err: merry.Errorf("read head: %s", r.Message)}
	}
	return headResult{err: merry.Errorf("read head: unexpected response %T", response)}
}

func (c *platformClient) readSection(ctx context.Context, ref keeper.SectionRef) ([]byte, error) {
	ctx, cancel := callContext(ctx, 0)
	defer cancel()
	response, err := c.api.ReadValue(ctx, api.ReadValueParams{Key: ref.Key()})
	if err != nil {
		return nil, merry.Prependf(err, "read section %s", ref.Name())
	}
	r, ok := response.(*api.ReadValueOKHeaders)
	if !ok {
		return nil, merry.Errorf("read section %s: unexpected response %T", ref.Name(), response)
	}
	content, err := io.ReadAll(io.LimitReader(r.Response.Data, keeper.MaxSectionBytes+1))
	if err != nil {
		return nil, merry.Prependf(err, "read section %s", ref.Name())
	}
	return content, nil
}

func (c *platformClient) readHosts(ctx context.Context, after hostPosition, wait time.Duration) hostsResult {
	ctx, cancel := callContext(ctx, wait)
	defer cancel()
	response, err := c.api.ListHosts(ctx, api.ListHostsParams{
		AfterEpoch: api.NewOptInt64(int64(after.epoch)), AfterVersion: api.NewOptInt64(int64(after.version)), WaitMs: optWait(wait),
	})
	if err != nil {
		return hostsResult{err: merry.Prepend(err, "list hosts")}
	}
	switch r := response.(type) {
	case *api.HostChanges:
		changes := hostChanges{
			epoch: uint64(max(r.Epoch.Or(0), 0)), from: after.version, to: uint64(max(r.Version, 0)), entries: make([]hostEntry, 0, len(r.Hosts)),
		}
		if changes.epoch != after.epoch {
			changes.from = 0 // the answer is the whole list
		}
		for _, h := range r.Hosts {
			spec, version, err := cataloger.DecodeHost(h)
			if err != nil {
				refusedHosts.Inc()
				continue
			}
			changes.entries = append(changes.entries, hostEntry{spec: spec, version: uint64(version)})
		}
		return hostsResult{changes: changes}
	case *api.ListHostsNotModified:
		return hostsResult{notModified: true}
	case *api.Problem:
		return hostsResult{err: merry.Errorf("list hosts: %s", r.Message)}
	}
	return hostsResult{err: merry.Errorf("list hosts: unexpected response %T", response)}
}
