package reporter

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/html"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
)

func renderPage(t *testing.T, r *Report) (string, []*html.Node) {
	t.Helper()
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(WriteHTML(&out, r, time.UTC))
	text := out.String()
	root, err := html.Parse(&out)
	is.NoErr(err)
	var nodes []*html.Node
	for n := range root.Descendants() {
		if n.Type == html.ElementNode {
			nodes = append(nodes, n)
		}
	}
	return text, nodes
}

func TestHTML(t *testing.T) {
	t.Run("the page has no scripts or external resources", func(t *testing.T) {
		is := is.New(t)
		text, nodes := renderPage(t, weekendReport())
		for _, n := range nodes {
			is.True(n.Data != "script" && n.Data != "link" && n.Data != "img" && n.Data != "iframe")
			for _, a := range n.Attr {
				is.True(!strings.HasPrefix(a.Key, "on") && a.Key != "src")
				is.True(a.Key != "href" || strings.HasPrefix(a.Val, "#"))
			}
		}
		is.True(!strings.Contains(text, "ZgotmplZ"))
		is.True(!strings.Contains(text, "url("))
	})
	t.Run("the page names the verdict, the cause, the target, the event and the gaps", func(t *testing.T) {
		is := is.New(t)
		text, _ := renderPage(t, weekendReport())
		for _, want := range []string{
			"poster-live", "missed", "918.1%", "89% of them were refused without being run", "Target depot-2 had 99%",
			"revision 42 in force", "connection refused", "counts since Sun 6 Dec 04:00", "Sun 6 Dec 03:00 to Sun 6 Dec 04:00",
			"<svg", "built-in objectives are assumed",
		} {
			if !strings.Contains(text, want) {
				t.Errorf("no %q in the page", want)
			}
		}
		is.True(strings.Index(text, "poster-live") < strings.Index(text, "poster-pdf"))
	})
	t.Run("text from daemons is escaped", func(t *testing.T) {
		sources := weekendSources()
		sources[0].Burn.Buckets[0].Target = `<script>alert(1)</script>`
		sources[0].Burn.Events = []api.BurnEvent{{Kind: "revision", AtUnixSeconds: at("2026-12-06T02:58:00Z").Unix(), Message: `"><img src=x>`}}
		_, nodes := renderPage(t, NewReport(Options{From: at("2026-12-04T17:00:00Z"), To: at("2026-12-07T08:00:00Z")}, sources))
		for _, n := range nodes {
			is.New(t).True(n.Data != "script" && n.Data != "img")
		}
	})
	t.Run("bars stay within the chart", func(t *testing.T) {
		is := is.New(t)
		c := newChart(weekendReport().Services[0], time.UTC)
		is.Equal(len(c.Bars), 3)
		for _, b := range append(c.Bars, c.Events...) {
			is.True(b.X >= c.Left && b.X+b.Width <= c.Right+0.2)
			is.True(b.Y >= c.Top-0.2 && b.Height >= 0)
		}
	})
	t.Run("a report without data is a valid page", func(t *testing.T) {
		text, _ := renderPage(t, NewReport(Options{From: at("2026-12-04T17:00:00Z"), To: at("2026-12-07T08:00:00Z")}, nil))
		is.New(t).True(strings.Contains(text, "No service was reported."))
	})
}
