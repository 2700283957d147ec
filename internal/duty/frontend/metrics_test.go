package frontend

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
)

const (
	root        = "../../.."
	modulePath  = "github.com/silvermount/silvermount/"
	metricsPage = root + "/docs/METRICS.md"
)

// rootPackages are the packages that import, directly or indirectly, all code that a gateway runs.
var rootPackages = []string{
	"internal/duty/frontend", "internal/duty/gatewaydeps", "internal/duty/peersync", "internal/duty/storesync", "internal/eventlog",
	"internal/kernel", "platform",
}

var (
	// metricText matches a metric in the text of a string expression. Its labels follow in braces.
	metricText = regexp.MustCompile(`(silvermount_[a-z_]+)(\{[^}]*\}?)?`)
	labelText  = regexp.MustCompile(`([a-z_]+)=`)
	// metricRow matches the first cells of a metric's table row: name with labels, type, unit.
	metricRow = regexp.MustCompile("^\\| `(silvermount_[a-z_]+)(?:\\{([a-z_,]+)\\})?` \\| ([a-z]+) \\| ([^|]+) \\|")
)

// metricSpec holds the properties of a metric that must be the same in the page and the source.
type metricSpec struct {
	// labels are sorted and joined by commas.
	labels string
	// kind is "counter", "gauge" or "histogram".
	kind string
}

func TestMetricsPageMatchesSource(t *testing.T) {
	g := NewWithT(t)
	source := sourceMetrics(g)
	g.Expect(source).To(HaveKey("silvermount_requests_total"), "metrics of the source are found")
	g.Expect(pageMetrics(g)).To(Equal(source))
}

func TestFileMetrics(t *testing.T) {
	cases := map[string]struct {
		text string
		want map[string]metricSpec
	}{
		"counter":             {`var _ = f("silvermount_a_total")`, map[string]metricSpec{"silvermount_a_total": {kind: "counter"}}},
		"histogram":           {`var _ = f("silvermount_a_seconds")`, map[string]metricSpec{"silvermount_a_seconds": {kind: "histogram"}}},
		"gauge":               {`const c = "silvermount_a_bytes"`, map[string]metricSpec{"silvermount_a_bytes": {kind: "gauge"}}},
		"labels of a literal": {"var _ = f(`silvermount_a_total{b=\"c\"}`)", map[string]metricSpec{"silvermount_a_total": {labels: "b", kind: "counter"}}},
		"labels of a concatenation": {
			"var _ = f(`silvermount_a_total{c=\"` + x + `\",b=\"` + y + `\"}`)",
			map[string]metricSpec{"silvermount_a_total": {labels: "b,c", kind: "counter"}},
		},
		"other text": {`var _ = f("silvermount")`, map[string]metricSpec{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			file, err := parser.ParseFile(token.NewFileSet(), "a.go", "package a\n"+tc.text, 0)
			g.Expect(err).NotTo(HaveOccurred())
			found := map[string]metricSpec{}
			fileMetrics(file, found)
			g.Expect(found).To(Equal(tc.want))
		})
	}
}

func TestMetricsEndpointServesSetAndProcessMetrics(t *testing.T) {
	g := NewWithT(t)
	ms := metrics.NewSet()
	ms.GetOrCreateCounter("silvermount_store_calls_total").Inc()
	w := httptest.NewRecorder()
	operatorHandler(&gatewaydeps.Components{Metrics: ms}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	g.Expect(w.Code).To(Equal(http.StatusOK))
	g.Expect(w.Body.String()).To(And(
		ContainSubstring("silvermount_store_calls_total 1\n"), ContainSubstring("process_resident_memory_bytes"),
		ContainSubstring("go_goroutines"),
	))
}

// sourceMetrics returns the metrics that are named in the source of a gateway.
func sourceMetrics(g Gomega) map[string]metricSpec {
	found := map[string]metricSpec{}
	seen := map[string]bool{}
	queue := slices.Clone(rootPackages)
	for len(queue) > 0 {
		dir := queue[0]
		queue = queue[1:]
		if seen[dir] {
			continue
		}
		seen[dir] = true
		for _, file := range packageFiles(g, dir) {
			fileMetrics(file, found)
			queue = append(queue, moduleImports(g, file)...)
		}
	}
	return found
}

// packageFiles parses the files of a package, except its tests.
func packageFiles(g Gomega, dir string) []*ast.File {
	names, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names).NotTo(BeEmpty(), dir)
	var files []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		g.Expect(err).NotTo(HaveOccurred())
		files = append(files, file)
	}
	return files
}

// moduleImports returns the packages of this module that a file imports.
func moduleImports(g Gomega, file *ast.File) []string {
	var dirs []string
	for _, im := range file.Imports {
		path, err := strconv.Unquote(im.Path.Value)
		g.Expect(err).NotTo(HaveOccurred())
		if dir, ok := strings.CutPrefix(path, modulePath); ok {
			dirs = append(dirs, dir)
		}
	}
	return dirs
}

// fileMetrics adds the metrics that are named in a file to found.
func fileMetrics(file *ast.File, found map[string]metricSpec) {
	ast.Inspect(file, func(nd ast.Node) bool {
		switch nd.(type) {
		case *ast.BinaryExpr, *ast.BasicLit:
			textMetrics(joinLiterals(nd), found)
			// The operands of a concatenation are already included; do not visit them.
			return false
		}
		return true
	})
}

// joinLiterals concatenates the string literals of an expression.
func joinLiterals(nd ast.Node) string {
	var sb strings.Builder
	ast.Inspect(nd, func(part ast.Node) bool {
		if lit, ok := part.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if text, err := strconv.Unquote(lit.Value); err == nil {
				sb.WriteString(text)
			}
		}
		return true
	})
	return sb.String()
}

func textMetrics(text string, found map[string]metricSpec) {
	for _, m := range metricText.FindAllStringSubmatch(text, -1) {
		var labels []string
		for _, lb := range labelText.FindAllStringSubmatch(m[2], -1) {
			labels = append(labels, lb[1])
		}
		slices.Sort(labels)
		found[m[1]] = metricSpec{labels: strings.Join(labels, ","), kind: kindFromName(m[1])}
	}
}

// kindFromName returns the kind of a metric by the naming convention: counters end in total, histograms in their unit of time or in ratio.
func kindFromName(name string) string {
	switch {
	case strings.HasSuffix(name, "_total"):
		return "counter"
	case strings.HasSuffix(name, "_seconds"), strings.HasSuffix(name, "_ratio"):
		return "histogram"
	default:
		return "gauge"
	}
}

// pageMetrics returns the metrics that the page lists. It requires that each is listed once and with a unit.
func pageMetrics(g Gomega) map[string]metricSpec {
	text, err := os.ReadFile(metricsPage)
	g.Expect(err).NotTo(HaveOccurred())
	listed := map[string]metricSpec{}
	for line := range strings.Lines(string(text)) {
		m := metricRow.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		g.Expect(listed).NotTo(HaveKey(m[1]), "listed twice")
		g.Expect(strings.TrimSpace(m[4])).NotTo(BeEmpty(), "unit of "+m[1])
		labels := strings.Split(m[2], ",")
		slices.Sort(labels)
		listed[m[1]] = metricSpec{labels: strings.Join(labels, ","), kind: m[3]}
	}
	return listed
}
