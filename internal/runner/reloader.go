package runner

import (
	"bytes"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/validator"
)

// reloadInterval is the time between two checks of the settings file, which may
// change without a signal. No setting that a reload applies is urgent.
const reloadInterval = 2 * time.Second

// reloader applies changed settings without a restart: the seeds, the drain
// deadline and the URL of the platform. The addresses of the process itself
// need a restart.
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

// reloadIfChanged reads the settings file and applies its content if it changed
// and is valid.
func (r *reloader) reloadIfChanged() {
	path := r.settings().Path()
	content, err := os.ReadFile(path)
	if err != nil {
		r.logger.Warn().Err(err).Msg("reading the settings file failed")
		return
	}
	if bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	settings, err := parser.ParseSettingsContent(path, content)
	if err != nil {
		r.logger.Error().Err(err).Msg("changed settings rejected")
		return
	}
	if problems := validator.ValidateSettings(settings); len(problems) > 0 {
		r.logger.Error().Stringer("problem", problems[0]).Int("problems", len(problems)).Msg("changed settings rejected")
		return
	}
	previous := r.settings()
	r.current.Store(settings)
	if r.setURL != nil && settings.PlatformURL() != previous.PlatformURL() {
		r.setURL(settings.PlatformURL())
	}
	r.logger.Info().Bool("restart_needed", settings.Packets() != previous.Packets() || settings.ControlAddress() != previous.ControlAddress()).
		Msg("settings reloaded")
}
