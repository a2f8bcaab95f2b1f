// Package logger builds the logger of the process from its settings and limits
// the rate of log lines about recurring faults.
//
// A log line has a constant message and typed snake-case fields; the shared
// field names are listed in docs/OPERATIONS.md. Every line carries the fields
// process, role and availability_zone.
//
// # Usage
//
//	log, err := logger.NewLogger(os.Stderr, logger.Options{Level: settings.LogLevel(), Format: settings.LogFormat()})
//	faults := logger.NewFaultLog(log, 20, 10*time.Second)
//	go faults.Run(ctx)
//	faults.Logger().Warn().Str("reason", "bad mac").Msg("datagram refused")
package logger

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
)

// timeFormat includes milliseconds because a flow passes through several
// processes within a second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// Formats of log lines.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

// Levels returns the accepted levels, from the most to the least verbose.
func Levels() []string { return []string{"debug", "info", "warn", "error"} }

// Options configures a logger. Process, Role and AvailabilityZone are fields of
// every log line; empty ones are omitted.
type Options struct {
	Level            string
	Format           string
	Process          string
	Role             string
	AvailabilityZone string
}

// NewLogger returns a logger that writes to w. It fails on an unknown level or
// format. The logger is safe for concurrent use if w is, as os.Stderr is.
func NewLogger(w io.Writer, o Options) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(o.Level)
	if err != nil {
		return zerolog.Nop(), merry.Prepend(err, "build logger")
	}
	switch o.Format {
	case FormatJSON, "":
	case FormatConsole:
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.RFC3339, NoColor: true}
	default:
		return zerolog.Nop(), merry.Errorf("build logger: unknown format %q", o.Format)
	}
	fields := zerolog.New(w).Level(level).Hook(zerolog.HookFunc(countLine)).With().Timestamp()
	for _, f := range []struct{ name, value string }{
		{"process", o.Process}, {"role", o.Role}, {"availability_zone", o.AvailabilityZone},
	} {
		if f.value != "" {
			fields = fields.Str(f.name, f.value)
		}
	}
	return fields.Logger(), nil
}

var (
	warnLines  = metrics.GetOrCreateCounter(`kingcupvalve_log_lines_total{level="warn"}`)
	errorLines = metrics.GetOrCreateCounter(`kingcupvalve_log_lines_total{level="error"}`)
	leftOut    = metrics.GetOrCreateCounter("kingcupvalve_log_lines_left_out_total")
)

func countLine(_ *zerolog.Event, level zerolog.Level, _ string) {
	switch level {
	case zerolog.WarnLevel:
		warnLines.Inc()
	case zerolog.ErrorLevel:
		errorLines.Inc()
	}
}
