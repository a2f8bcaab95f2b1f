package operator

import (
	"context"
	"errors"
	"log"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
)

// handler implements the generated api.Handler with the functions of Options.
type handler struct {
	options Options
}

var errDrainUnsupported = merry.New("start drain: not supported by this process", merry.WithHTTPCode(http.StatusNotImplemented))

// GetStatus returns the state of the process.
func (h *handler) GetStatus(context.Context) (*api.Status, error) {
	status := h.options.Status()
	if status.Counters == nil {
		status.Counters = api.StatusCounters{}
	}
	return &status, nil
}

// ListTargets returns the targets of a service, or of all services.
func (h *handler) ListTargets(_ context.Context, params api.ListTargetsParams) ([]api.TargetState, error) {
	if h.options.Targets == nil {
		return []api.TargetState{}, nil
	}
	return append([]api.TargetState{}, h.options.Targets(params.Service.Or(""))...), nil
}

// ListRefusedEntries returns the entries of the platform that name no target to use.
func (h *handler) ListRefusedEntries(context.Context) ([]api.RefusedEntry, error) {
	if h.options.RefusedEntries == nil {
		return []api.RefusedEntry{}, nil
	}
	return append([]api.RefusedEntry{}, h.options.RefusedEntries()...), nil
}

// ListFlows returns the flows that the process holds.
func (h *handler) ListFlows(_ context.Context, params api.ListFlowsParams) ([]api.Flow, error) {
	if h.options.Flows == nil {
		return []api.Flow{}, nil
	}
	limit := params.Limit.Or(100)
	flows := append([]api.Flow{}, h.options.Flows(limit)...)
	return flows[:min(len(flows), limit)], nil
}

// StartDrain starts a graceful shutdown.
func (h *handler) StartDrain(context.Context) error {
	if h.options.Drain == nil {
		return errDrainUnsupported
	}
	drainRequests.Inc()
	h.options.Logger.Info().Msg("drain requested over the operator API")
	h.options.Drain()
	return nil
}

// GetBurn returns the outcome buckets and events for the burn report.
func (h *handler) GetBurn(_ context.Context, params api.GetBurnParams) (*api.Burn, error) {
	var burn api.Burn
	if h.options.Burn != nil {
		burn = h.options.Burn(time.Unix(params.SinceUnixSeconds.Or(0), 0))
	} else {
		status := h.options.Status()
		burn.Process, burn.StartedAt = status.Process, status.StartedAt
	}
	burn.Buckets = append([]api.BurnBucket{}, burn.Buckets...)
	burn.Events = append([]api.BurnEvent{}, burn.Events...)
	return &burn, nil
}

// NewError converts an error to a problem response.
func (h *handler) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	failures.Inc()
	var problem *api.ProblemStatusCode
	if errors.As(err, &problem) {
		return problem
	}
	return &api.ProblemStatusCode{StatusCode: merry.HTTPCode(err), Response: api.Problem{Message: err.Error()}}
}

// BurnSource returns a function for Options.Burn that reads a recorder. Target is
// the name of the agent's own target, or empty for a balancer.
func BurnSource(r *recorder.Recorder, process, target string, startedAt time.Time) func(time.Time) api.Burn {
	return func(since time.Time) api.Burn {
		burn := api.Burn{Process: process, StartedAt: startedAt}
		if target != "" {
			burn.Target = api.NewOptString(target)
		}
		for _, b := range r.Buckets(since, time.Now()) {
			burn.Buckets = append(burn.Buckets, api.BurnBucket{
				Service: b.Service(), Target: b.Target(), StartUnixSeconds: b.Start().Unix(), WidthSeconds: int32(b.Width() / time.Second),
				Good: b.Count(recorder.OutcomeGood), Refused: b.Count(recorder.OutcomeRefused), Broken: b.Count(recorder.OutcomeBroken),
				Late: b.Count(recorder.OutcomeLate), Unknown: b.Count(recorder.OutcomeUnknown),
			})
		}
		for _, e := range r.Events(since) {
			event := api.BurnEvent{AtUnixSeconds: e.At().Unix(), Kind: api.BurnEventKind(e.Kind().String()), Message: e.Message()}
			if e.Service() != "" {
				event.Service = api.NewOptString(e.Service())
			}
			if e.Target() != "" {
				event.Target = api.NewOptString(e.Target())
			}
			burn.Events = append(burn.Events, event)
		}
		return burn
	}
}

// newErrorLog returns a log for net/http that writes its messages, such as failed
// handshakes, at level debug, so that a port scanner cannot flood the log.
func newErrorLog(l zerolog.Logger) *log.Logger {
	return log.New(logWriter{logger: l}, "", 0)
}

type logWriter struct {
	logger zerolog.Logger
}

// Write logs one line.
func (w logWriter) Write(b []byte) (int, error) {
	w.logger.Debug().Str("error", strings.TrimSpace(string(b))).Msg("operator connection failed")
	return len(b), nil
}
