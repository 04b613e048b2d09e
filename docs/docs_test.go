// Package docs tests that the pages agree with the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

func read(t *testing.T, name string) string {
	t.Helper()
	page, err := os.ReadFile(name)
	assert.NilError(t, err)
	return string(page)
}

// codes returns the value of every constant of type errs.Code.
func codes(t *testing.T) []errs.Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../pkg/errs/errs.go", nil, 0)
	assert.NilError(t, err)
	var out []errs.Code
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "Code" {
			value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			out = append(out, errs.Code(value))
		}
		return true
	})
	assert.Assert(t, len(out) > 40)
	return out
}

var quoted = regexp.MustCompile("`([a-z_]+)`")

// tableRows returns the cells of the rows below the first header that begins
// with a text.
func tableRows(t *testing.T, page, header string) [][]string {
	t.Helper()
	_, table, found := strings.Cut(page, "\n"+header)
	assert.Assert(t, found, header)
	var rows [][]string
	for i, line := range strings.Split(table, "\n") {
		if i < 2 {
			continue // the rest of the header, and the line below it
		}
		if !strings.HasPrefix(line, "|") {
			break
		}
		rows = append(rows, strings.Split(line, "|")[1:])
	}
	return rows
}

// notForCallers are codes that end in a log, a coverage entry, an operators'
// command or another refusal, and never in an answer to a caller.
var notForCallers = []errs.Code{
	errs.PlatformDown, errs.PlatformThrottled, errs.PlatformConflict, errs.PlatformNotFound, errs.PlatformWatchGap,
	errs.FrameTooLarge, errs.FrameMalformed, errs.ProtocolMismatch, errs.AuthenticationFailed,
	errs.SettingsInvalid, errs.AddressInUse, errs.Canceled,
}

// Guards against a refusal that the callers' page does not have, or gives
// another status than the code.
func TestCallersTableOfRefusals(t *testing.T) {
	status := map[errs.Code]int{}
	for _, row := range tableRows(t, read(t, "protocol-callers.md"), "| status | code |") {
		want, err := strconv.Atoi(strings.TrimSpace(row[0]))
		assert.NilError(t, err)
		for _, m := range quoted.FindAllStringSubmatch(row[1], -1) {
			code := errs.Code(m[1])
			if code == errs.InvalidRequest && want != 400 {
				continue // an unknown path or a wrong method, see the frontend's golden file
			}
			_, twice := status[code]
			assert.Assert(t, !twice, "%s is given twice", code)
			status[code] = want
		}
	}
	for _, code := range codes(t) {
		want, listed := status[code]
		delete(status, code)
		if slices.Contains(notForCallers, code) {
			assert.Assert(t, !listed, "%s is listed", code)
			continue
		}
		assert.Assert(t, listed, "%s is missing in protocol-callers.md", code)
		assert.Equal(t, errs.Refuse(code, "").HTTPStatus(), want, "%s", code)
	}
	assert.Equal(t, len(status), 0, "unknown codes: %v", status)
}

// Guards against an operators' page that names codes which do not exist, or
// misses one that a caller can report.
func TestOperatorsTableOfRefusals(t *testing.T) {
	known, listed := codes(t), map[errs.Code]bool{}
	for _, row := range tableRows(t, read(t, "OPERATIONS.md"), "| code | run state |") {
		for _, m := range quoted.FindAllStringSubmatch(row[0], -1) {
			code := errs.Code(m[1])
			assert.Assert(t, slices.Contains(known, code), "%s does not exist", code)
			listed[code] = true
		}
	}
	for _, code := range known {
		assert.Assert(t, listed[code] || slices.Contains(notForCallers, code), "%s is missing in OPERATIONS.md", code)
	}
}

// Guards against links to files that do not exist.
func TestLinksResolve(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	assert.NilError(t, err)
	notes, err := filepath.Glob("decisions/*.md")
	assert.NilError(t, err)
	link := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	for _, page := range append(append(pages, notes...), "../README.md", "../CONTRIBUTING.md") {
		for _, m := range link.FindAllStringSubmatch(read(t, page), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			assert.Check(t, err == nil, "%s links to %s", page, m[1])
		}
	}
}

// Guards against a tour of the code that misses a package or names one that
// is gone.
func TestArchitectureNamesEveryPackage(t *testing.T) {
	page := read(t, "architecture.md")
	dirs, err := os.ReadDir("../pkg")
	assert.NilError(t, err)
	for _, d := range dirs {
		if d.IsDir() {
			assert.Check(t, strings.Contains(page, "`pkg/"+d.Name()+"`") || strings.Contains(page, "`"+d.Name()+"`"), "%s is missing", d.Name())
		}
	}
	for _, m := range regexp.MustCompile("`(pkg/[a-z]+|cmd/[a-z]*|examples/|docs/)`").FindAllStringSubmatch(page, -1) {
		_, err := os.Stat(filepath.Join("..", m[1]))
		assert.Check(t, err == nil, "%s does not exist", m[1])
	}
}
