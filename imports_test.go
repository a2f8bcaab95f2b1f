// Package kingcupvalve_test checks rules that hold across packages.
package kingcupvalve_test

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const module = "kingcupvalve.example/kingcupvalve/"

// decisionPackages are the embeddable packages without sockets and clocks.
var decisionPackages = []string{
	"deriver", "marker", "selector", "detector", "picker", "estimator", "limiter",
	"retrier", "ejector", "minter", "journaler", "keeper", "ranker",
}

type listedPackage struct {
	ImportPath string
	Dir        string
	Imports    []string
	Deps       []string
	GoFiles    []string
}

func listPackages(is *is.I, patterns ...string) []listedPackage {
	is.Helper()
	out, err := exec.Command("go", append([]string{"list", "-json=ImportPath,Dir,Imports,Deps,GoFiles"}, patterns...)...).Output()
	is.NoErr(err)
	var packages []listedPackage
	decoder := json.NewDecoder(strings.NewReader(string(out)))
	for decoder.More() {
		var p listedPackage
		is.NoErr(decoder.Decode(&p))
		packages = append(packages, p)
	}
	return packages
}

func listDecisionPackages(is *is.I) []listedPackage {
	is.Helper()
	var packages []listedPackage
	for _, p := range listPackages(is, "./...") {
		if slices.Contains(decisionPackages, strings.TrimPrefix(p.ImportPath, module)) {
			packages = append(packages, p)
		}
	}
	return packages
}

func TestImportDirection(t *testing.T) {
	t.Run("decision packages import no sockets and nothing internal", func(t *testing.T) {
		is := is.New(t)
		for _, p := range listDecisionPackages(is) {
			for _, path := range p.Imports {
				forbidden := path == "net" || path == "os" || path == "syscall" || strings.HasPrefix(path, "net/http") ||
					strings.HasPrefix(path, module+"internal/") || strings.HasPrefix(path, module+"standin/")
				if forbidden {
					t.Errorf("%s imports %s", p.ImportPath, path)
				}
			}
		}
	})
	t.Run("the product never imports a stand-in", func(t *testing.T) {
		is := is.New(t)
		for _, p := range listPackages(is, "./cmd/...") {
			for _, path := range p.Deps {
				if strings.HasPrefix(path, module+"standin/") {
					t.Errorf("%s depends on %s", p.ImportPath, path)
				}
			}
		}
	})
	t.Run("the caller package can be imported by other modules", func(t *testing.T) {
		is := is.New(t)
		for _, p := range listPackages(is, "./...") {
			if p.ImportPath != module+"caller" {
				continue
			}
			for _, path := range p.Deps {
				if strings.HasPrefix(path, module+"internal/") {
					t.Errorf("%s depends on %s", p.ImportPath, path)
				}
			}
		}
	})
}

// flowDecisionPackages are the packages under internal that decide about packet
// flows. They use no sockets and take the time as a parameter.
var flowDecisionPackages = []string{
	"framer", "router", "registrar", "chooser", "assessor", "admitter", "forecaster", "pacer", "tracker", "placer", "searcher", "deferrer", "checker",
}

func TestInternalDecisionsUseNoSockets(t *testing.T) {
	is := is.New(t)
	for _, p := range listPackages(is, "./internal/...") {
		if !slices.Contains(flowDecisionPackages, strings.TrimPrefix(p.ImportPath, module+"internal/")) {
			continue
		}
		for _, path := range p.Imports {
			if path == "net" || path == "os" || path == "syscall" || strings.HasPrefix(path, "net/http") {
				t.Errorf("%s imports %s", p.ImportPath, path)
			}
		}
	}
}

var (
	clockFunctions  = []string{"Now", "Since", "Until", "After", "AfterFunc", "Sleep", "Tick", "NewTimer", "NewTicker"}
	seededFunctions = []string{"New", "NewPCG", "NewChaCha8", "NewZipf", "Rand", "Source"}
)

func TestDecisionPackagesAreDeterministic(t *testing.T) {
	is := is.New(t)
	for _, p := range listDecisionPackages(is) {
		for _, name := range p.GoFiles {
			path := filepath.Join(p.Dir, name)
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			is.NoErr(err)
			ast.Inspect(file, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					t.Errorf("%s starts a goroutine", path)
				case *ast.SelectorExpr:
					if x, ok := n.X.(*ast.Ident); ok && isNondeterministic(x.Name, n.Sel.Name) {
						t.Errorf("%s uses %s.%s", path, x.Name, n.Sel.Name)
					}
				}
				return true
			})
		}
	}
}

func isNondeterministic(pkg, name string) bool {
	return pkg == "time" && slices.Contains(clockFunctions, name) ||
		pkg == "rand" && !slices.Contains(seededFunctions, name)
}

var testName = regexp.MustCompile("`(Test[A-Za-z0-9_]+|Fuzz[A-Za-z0-9_]+)`")

func TestPromisesNameExistingTests(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("docs/promises.md")
	is.NoErr(err)
	declared := map[string]bool{}
	for _, p := range listPackages(is, "./...") {
		files, err := filepath.Glob(filepath.Join(p.Dir, "*_test.go"))
		is.NoErr(err)
		for _, path := range append(files, "imports_test.go") {
			content, err := os.ReadFile(path)
			is.NoErr(err)
			for _, m := range regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`).FindAllStringSubmatch(string(content), -1) {
				declared[m[1]] = true
			}
		}
	}
	for _, m := range testName.FindAllStringSubmatch(string(page), -1) {
		if !declared[m[1]] {
			t.Errorf("docs/promises.md names %s, which does not exist", m[1])
		}
	}
}

// platformNames are names of the platform's protocols that only its adapter
// and the adapter's stand-in may know.
var platformNames = regexp.MustCompile(`kv-key|kv-range|kv-watch|op/config|datagramAddr|coldLeftMs|isStale|atRev|hasMore|BOUNCED|` +
	`heartbeatMs|KINGCUPVALVE_NODE_FILE|servers/|/kingcupvalve/ready|coldStartS|coldPerS`)

// Guards against decisions that depend on the platform's names or layout.
func TestPlatformNames(t *testing.T) {
	is := is.New(t)
	out, err := exec.Command("git", "ls-files", "*.go").Output()
	is.NoErr(err)
	for _, path := range strings.Fields(string(out)) {
		if strings.HasPrefix(path, "platform/") || path == "imports_test.go" {
			continue
		}
		content, err := os.ReadFile(path)
		is.NoErr(err)
		if name := platformNames.Find(content); name != nil {
			t.Errorf("%s names %q of the platform", path, name)
		}
	}
	for _, p := range listPackages(is, "./...") {
		for _, imported := range p.Imports {
			isAdapter := strings.HasPrefix(imported, module+"platform")
			mayImport := strings.HasPrefix(p.ImportPath, module+"platform") || strings.HasPrefix(p.ImportPath, module+"standin/") ||
				p.ImportPath == module+"cmd/kingcupvalved" || p.ImportPath == module+"cmd/kingcupvalvectl"
			if isAdapter && !mayImport {
				t.Errorf("%s imports %s", p.ImportPath, imported)
			}
		}
	}
}
