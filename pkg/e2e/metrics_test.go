package e2e

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func (p *process) scrape() string {
	p.site.t.Helper()
	req, err := http.NewRequest(http.MethodGet, p.site.scheme+"://"+p.operators+"/metrics", nil)
	assert.NilError(p.site.t, err)
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := p.site.client.Do(req)
	assert.NilError(p.site.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(p.site.t, err)
	return string(body)
}

// documented returns the names of the table of metrics.
func documented(t *testing.T) []string {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, table, found := strings.Cut(string(page), "\n## Metrics\n")
	assert.Assert(t, found)
	var names []string
	for line := range strings.Lines(table) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			for _, m := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(cells[1], -1) {
				names = append(names, m[1])
			}
		}
	}
	assert.Assert(t, len(names) > 20, "%v", names)
	return names
}

// Guards against a metric that the operators' page names and /metrics does not
// have, against a metric that no page names, and against counters that do not
// count.
func TestDocumentedMetricsExist(t *testing.T) {
	s := newSite(t)
	a, b := s.start("a-1", "a"), s.start("b-1", "b")
	s.await("coverage through both VMs", func() bool { return a.covered() && b.covered() })
	for range 2 {
		assert.Equal(t, a.book("k1").status, http.StatusOK)
	}
	known := map[string]bool{}
	labels := `{domain="a",`
	want := []string{
		"nutmeghitch_config_version" + labels + `vm="a-1"} 1`,
		"nutmeghitch_vms_alive" + labels + `vm="a-1"} 2`,
		"nutmeghitch_claims" + labels + `verdict="granted",vm="a-1"} 1`,
		"nutmeghitch_claims" + labels + `verdict="repeated",vm="a-1"} 1`,
		"nutmeghitch_platform_calls" + labels + `kind="watch",vm="a-1"} `,
	}
	for _, name := range documented(t) {
		known[name] = true
		want = append(want, "# TYPE nutmeghitch_"+name+" ")
	}
	for _, w := range want {
		s.await(w+" in /metrics", func() bool { return strings.Contains(a.scrape(), w) })
	}
	for _, m := range regexp.MustCompile(`# TYPE nutmeghitch_([a-z_]+) `).FindAllStringSubmatch(a.scrape(), -1) {
		assert.Check(t, known[m[1]], "%s is not in docs/OPERATIONS.md", m[1])
	}
}
