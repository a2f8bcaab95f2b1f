package backend

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func post(is *is.I, url, id, body string) *http.Response {
	is.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/amendments", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set(HeaderRequestID, id)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	return response
}

func TestServeWork(t *testing.T) {
	server := NewServer(Options{Service: "cutlist-svc", Name: "cutlist-1"})
	handler, err := server.Handler()
	if err != nil {
		t.Fatal(err)
	}
	h := httptest.NewServer(handler)
	defer h.Close()

	t.Run("the response body matches the request and the execution is recorded", func(t *testing.T) {
		is := is.New(t)
		response := post(is, h.URL, "a1", "plan")
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(body, ResponseBody("a1", []byte("plan"), 64))
		is.Equal(len(server.Records()), 1)
		is.True(server.Records()[0].Completed)
	})
	t.Run("a refused request is not recorded", func(t *testing.T) {
		is := is.New(t)
		server.SetControls(Controls{HealthState: "serving", Draining: true})
		response := post(is, h.URL, "a2", "plan")
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.Equal(response.Header.Get(HeaderOutcome), "not_run")
		is.Equal(len(server.Records()), 1)
	})
}
