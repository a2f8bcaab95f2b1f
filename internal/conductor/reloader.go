package conductor

import (
	"bytes"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/validator"
)

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal. Nothing that a reload changes is urgent.
const reloadInterval = 2 * time.Second

// reloader takes over changed settings: seeds, drain deadline and the address
// of the platform. Addresses of the process itself take a restart.
type reloader struct {
	current atomic.Pointer[parser.Settings]
	content []byte
	setURL  func(url string)
	logger  zerolog.Logger
}

func newReloader(settings *parser.Settings, setURL func(url string), logger zerolog.Logger) *reloader {
	r := &reloader{setURL: setURL, logger: logger, content: settings.Content()}
	r.current.Store(settings)
	return r
}

// settings returns the settings in force.
func (r *reloader) settings() *parser.Settings { return r.current.Load() }

// check reads the file and takes over its content if it changed and is valid.
func (r *reloader) check() {
	path := r.settings().Path()
	content, err := os.ReadFile(path)
	if err != nil {
		r.logger.Warn().Err(err).Msg("settings not read")
		return
	}
	if bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	settings, err := parser.ParseSettingsContent(path, content)
	if err != nil {
		r.logger.Error().Err(err).Msg("changed settings not taken")
		return
	}
	if problems := validator.ValidateSettings(settings); len(problems) > 0 {
		r.logger.Error().Stringer("problem", problems[0]).Int("problems", len(problems)).Msg("changed settings not taken")
		return
	}
	before := r.settings()
	r.current.Store(settings)
	if r.setURL != nil && settings.PlatformURL() != before.PlatformURL() {
		r.setURL(settings.PlatformURL())
	}
	r.logger.Info().Bool("restart_needed", settings.Packets() != before.Packets() || settings.ControlAddress() != before.ControlAddress()).
		Msg("settings reloaded")
}
