package drainer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestWait(t *testing.T) {
	t.Run("a drain waits for the last request and cancels none before its deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := NewDrainer()
			for _, seconds := range []int{1, 9} {
				task := d.Begin(t.Context(), "r")
				time.AfterFunc(time.Duration(seconds)*time.Second, task.End)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			begin := time.Now()
			is.NoErr(d.Wait(ctx))
			is.Equal(time.Since(begin), 9*time.Second)
			is.Equal(len(d.CancelAll()), 0)
		})
	})
	t.Run("requests in flight at the deadline are cancelled with a cause and named", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := NewDrainer()
			task := d.Begin(t.Context(), "GET /feed")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			is.True(errors.Is(d.Wait(ctx), context.DeadlineExceeded))
			is.Equal(d.CancelAll(), []string{"GET /feed"})
			is.True(errors.Is(context.Cause(task.Context()), ErrDrainDeadline))
			task.End()
			task.End()
			is.Equal(d.InFlight(), 0)
		})
	})
}

func TestAnnounce(t *testing.T) {
	t.Run("a waiting caller gets its response when the drain starts, not before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := NewDrainer()
			w := httptest.NewRecorder()
			w.Code = 0
			answered := make(chan struct{})
			go func() {
				d.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path, nil))
				close(answered)
			}()
			synctest.Wait()
			is.Equal(w.Code, 0)
			is.True(d.Announce())
			is.True(!d.Announce())
			<-answered
			is.Equal(w.Code, http.StatusOK)
		})
	})
	t.Run("a withdrawn drain can be announced again", func(t *testing.T) {
		is := is.New(t)
		d := NewDrainer()
		is.True(d.Announce())
		is.True(d.Withdraw())
		is.True(!d.IsDraining())
		select {
		case <-d.Announced():
			t.Fatal("the drain is still announced after its withdrawal")
		default:
		}
		is.True(d.Announce())
	})
}
