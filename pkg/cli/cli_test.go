package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
)

// vm answers as a VM does and records what it was sent.
func vm(session *bytes.Buffer) http.Handler {
	answers := map[string]string{
		"GET /admin/status":              `{"self":"a1","site":"msaada","config_version":2,"in_flight":1,"domains_out":["nbo-b"],"vms":[{"id":"a1","addr":"127.0.0.1:1","domain":"nbo-a","state":"alive"}],"owners":{"r1":"a1"},"excluded":{"r2":"domain out"},"suspect_fingerprints":1,"blocked_fingerprints":0}`,
		"GET /admin/poison":              `[{"fingerprint":"00000000075bcd15","losses":2,"blocked":true,"ttl_ms":600000}]`,
		"DELETE /admin/poison/75bcd15":   `{"lifted":true}`,
		"POST /v1/search/rostering":      `{"request_id":"1","snapshot":{"version":7,"epoch":1},"coverage":{"covered":1,"total":2,"missing":[{"shard":"s2","group":"g2","reason":"no_replica"}]},"results":[{"id":3}]}`,
		"POST /v1/call/billing/invoice":  `{"request_id":"1","result":{"due":5}}`,
		"POST /v1/call/bi%2Fling/x":      `{"request_id":"1","result":null}`,
		"POST /v1/call/billing/overload": "",
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		call := r.Method + " " + r.URL.EscapedPath()
		fmt.Fprintf(session, "-> %s %s key=%q deadline=%q auth=%q\n", call, body, r.Header.Get("Idempotency-Key"), r.Header.Get("Nutmeghitch-Deadline-Ms"), r.Header.Get("Authorization"))
		answer, ok := answers[call]
		switch {
		case !ok:
			http.Error(w, "not found", http.StatusNotFound)
		case answer == "":
			w.WriteHeader(http.StatusServiceUnavailable)
			answer = `{"code":"overloaded","run_state":"did_not_run","detail":"queue full","retry_after_ms":50}`
		}
		_, _ = io.WriteString(w, answer)
	})
}

// Guards against a command without an example in its help.
func TestEveryCommandHasAnExample(t *testing.T) {
	var walk func(c *cli.Command)
	walk = func(c *cli.Command) {
		assert.Assert(t, len(c.Commands) > 0 || strings.Contains(c.Description, "Example:\n"), c.FullName())
		for _, sub := range c.Commands {
			walk(sub)
		}
	}
	walk((&app{}).root())
}

// Guards against a changed command line, output or exit code, and against a
// request that differs from the callers' and operators' interfaces.
func TestSession(t *testing.T) {
	t.Setenv(PlatformTokenEnv, "platform-token")
	t.Setenv(OperatorTokenEnv, "operator-token")
	p := fake.NewPlatform(fake.PlatformConfig{Token: "platform-token"})
	defer p.Close()
	var session bytes.Buffer
	server := httptest.NewServer(vm(&session))
	defer server.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	t.Setenv("NUTMEGHITCH_PLATFORM", p.URL())
	t.Setenv("NUTMEGHITCH_OPERATORS", server.URL)
	t.Setenv("NUTMEGHITCH_VM", server.URL)
	lines, err := os.ReadFile("testdata/commands.txt")
	assert.NilError(t, err)
	for _, line := range strings.Split(strings.TrimSpace(string(lines)), "\n") {
		fmt.Fprintf(&session, "$ nutmeghitch %s\n", line)
		line = strings.ReplaceAll(line, "CLOSED", closed.URL)
		out := &bytes.Buffer{}
		code := Run(context.Background(), append([]string{"nutmeghitch"}, strings.Fields(line)...), Options{
			Stdin: strings.NewReader(`{"from":"stdin"}`), Stdout: out, Stderr: out, OpenStore: OpenPlatform,
		})
		text := strings.ReplaceAll(out.String(), strings.TrimPrefix(closed.URL, "http://"), "CLOSED")
		fmt.Fprintf(&session, "%s[%d]\n", text, code)
	}
	golden.Assert(t, session.String(), "session.golden")
}
