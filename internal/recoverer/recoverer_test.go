package recoverer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

func TestHandle(t *testing.T) {
	// Guards against a process that ends because of one message.
	t.Run("a panic ends only its own message, and is logged and counted", func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		r := NewRecoverer(zerolog.New(&log), "test")
		before := r.panics.Get()
		is.True(!r.Handle(func() { panic("index out of range") }))
		is.True(r.Handle(func() {}))
		is.Equal(r.panics.Get(), before+1)
		is.True(strings.Contains(log.String(), "index out of range"))
		is.True(strings.Contains(log.String(), "recoverer_test.go"))
	})
	// Guards against a log that a sender of faulty messages fills.
	t.Run("repeated panics are all counted, and few are logged", func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		r := NewRecoverer(zerolog.New(&log), "test")
		before := r.panics.Get()
		for range 10_000 {
			r.Handle(func() { panic("again") })
		}
		is.Equal(r.panics.Get(), before+10_000)
		is.True(strings.Count(log.String(), "message dropped") < 100)
	})
}
