package frontend

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	searchLine = "POST /v1/search/assist HTTP/1.1\r\nHost: tier\r\n"
	bookLine   = "POST /v1/call/trips/book HTTP/1.1\r\nHost: tier\r\n"
)

func with(head, headers, body string) string {
	return head + headers + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// TestGoldenCallers guards the whole callers' interface: a changed field,
// status, default or refusal shows as a difference in the golden file.
func TestGoldenCallers(t *testing.T) {
	refuse := func(err *errs.Refusal) *scripted {
		return &scripted{
			search: func(context.Context, SearchRequest) (*SearchAnswer, error) { return nil, err },
			call:   func(context.Context, CallRequest) (*CallAnswer, error) { return nil, err },
		}
	}
	notJSON := &scripted{search: func(context.Context, SearchRequest) (*SearchAnswer, error) {
		return &SearchAnswer{Rows: []wire.Row{{Data: []byte("{")}}}, nil
	}}
	panics := &scripted{call: func(context.Context, CallRequest) (*CallAnswer, error) { panic("fault") }}
	ok := &scripted{}
	key := "Idempotency-Key: k-1\r\n"
	scripts := []struct {
		name, request string
		gateway       *scripted
	}{
		{"search with defaults", with(searchLine, "", `{"query":{"gate":"A4"}}`), ok},
		{"search with every field", with(searchLine, "Nutmeghitch-Deadline-Ms: 150\r\nNutmeghitch-Caller: gate\r\nNutmeghitch-Request-Id: r1\r\n", `{"operation":"holds","query":null,"limit":5}`), ok},
		{"search without answer", with(searchLine, "", `{"query":1}`), refuse(errs.Refuse(errs.Overloaded, "queue is full").WithRetryAfter(1500 * time.Millisecond))},
		{"search with a row that is not JSON", with(searchLine, "", `{"query":1}`), notJSON},
		{"unknown service", with("POST /v1/search/none HTTP/1.1\r\nHost: tier\r\n", "", `{"query":1}`), ok},
		{"search of a lookup service", with("POST /v1/search/trips HTTP/1.1\r\nHost: tier\r\n", "", `{"query":1}`), ok},
		{"unknown search operation", with(searchLine, "", `{"query":1,"operation":"none"}`), ok},
		{"search operation that is not idempotent", with(searchLine, "", `{"query":1,"operation":"book"}`), ok},
		{"misspelt field", with(searchLine, "", `{"query":1,"limt":5}`), ok},
		{"no query", with(searchLine, "", `{"limit":5}`), ok},
		{"limit too high", with(searchLine, "", `{"query":1,"limit":21}`), ok},
		{"two objects", with(searchLine, "", `{"query":1}{}`), ok},
		{"body too large", with(searchLine, "", `{"query":"`+strings.Repeat("x", 256)+`"}`), ok},
		{"deadline too long", with(searchLine, "Nutmeghitch-Deadline-Ms: 2001\r\n", `{"query":1}`), ok},
		{"deadline zero", with(searchLine, "Nutmeghitch-Deadline-Ms: 0\r\n", `{"query":1}`), ok},
		{"two deadlines", with(searchLine, "Nutmeghitch-Deadline-Ms: 5\r\nNutmeghitch-Deadline-Ms: 6\r\n", `{"query":1}`), ok},
		{"caller name too long", with(searchLine, "Nutmeghitch-Caller: "+strings.Repeat("c", 201)+"\r\n", `{"query":1}`), ok},
		{"wrong method", "GET /v1/search/assist HTTP/1.1\r\nHost: tier\r\n\r\n", ok},
		{"unknown path", "GET /v2/search HTTP/1.1\r\nHost: tier\r\n\r\n", ok},
		{"call with key", with(bookLine, key, `{"trip":1}`), ok},
		{"call without result", with(bookLine, key, `{}`), &scripted{call: func(context.Context, CallRequest) (*CallAnswer, error) { return &CallAnswer{}, nil }}},
		{"idempotent call without key", with("POST /v1/call/trips/read HTTP/1.1\r\nHost: tier\r\n", "", `{}`), ok},
		{"call without the required key", with(bookLine, "", `{}`), ok},
		{"call with an empty key", with(bookLine, "Idempotency-Key:\r\n", `{}`), ok},
		{"call with two keys", with(bookLine, key+key, `{}`), ok},
		{"call with a key too long", with(bookLine, "Idempotency-Key: "+strings.Repeat("k", 201)+"\r\n", `{}`), ok},
		{"call with an array", with(bookLine, key, `[1]`), ok},
		{"unknown call operation", with("POST /v1/call/trips/none HTTP/1.1\r\nHost: tier\r\n", key, `{}`), ok},
		{"call with unknown outcome", with(bookLine, key, `{}`), refuse(errs.Ambiguous(errs.OutcomeUnknown, "no outcome by the deadline"))},
		{"call that panics", with(bookLine, key, `{}`), panics},
	}
	var out strings.Builder
	for _, s := range scripts {
		synctest.Test(t, func(t *testing.T) {
			s.gateway.seen = ""
			server, l := start(t, s.gateway, testView(), 0)
			conn, err := l.dial()
			assert.NilError(t, err)
			response, body, err := exchangeRaw(conn, s.request)
			assert.NilError(t, err)
			fmt.Fprintf(&out, "=== %s\n%s\n--- gateway: %s--- %s\n", s.name, strings.ReplaceAll(s.request, "\r\n", "\n"), s.gateway.seen, response.Status)
			response.Header.Del("Date")
			var headers []string
			for k, v := range response.Header {
				headers = append(headers, fmt.Sprintf("%s: %s\n", k, strings.Join(v, ",")))
			}
			slices.Sort(headers)
			fmt.Fprintf(&out, "%s\n%s\n\n", strings.Join(headers, ""), body)
			assert.NilError(t, conn.Close())
			assert.NilError(t, server.Stop(t.Context()))
		})
	}
	golden.Assert(t, out.String(), "callers.golden")
}

// TestNoConfiguration guards against a nil configuration reaching a handler.
func TestNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, l := start(t, &scripted{}, &model.View{}, 0)
		conn, err := l.dial()
		assert.NilError(t, err)
		response, body, err := exchangeRaw(conn, with(searchLine, "", `{"query":1}`))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 503)
		assert.Assert(t, strings.Contains(body, `"code":"not_ready","run_state":"did_not_run"`), body)
		assert.NilError(t, conn.Close())
		assert.NilError(t, server.Stop(t.Context()))
	})
}

// TestSlowBody guards against a caller that stops sending its body and holds
// a connection, and against its refusal being lost.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, l := start(t, &scripted{}, testView(), 0)
		conn, err := l.dial()
		assert.NilError(t, err)
		begin := time.Now()
		_, body, err := exchangeRaw(conn, searchLine+"Content-Length: 10\r\n\r\n{")
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begin), 380*time.Millisecond)
		assert.Assert(t, strings.Contains(body, `"code":"deadline_exceeded","run_state":"did_not_run"`), body)
		assert.NilError(t, conn.Close())
		assert.NilError(t, server.Stop(t.Context()))
	})
}

// TestHeaderTooLarge guards against headers without a bound.
func TestHeaderTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, l := start(t, &scripted{}, testView(), 0)
		conn, err := l.dial()
		assert.NilError(t, err)
		large := "X-Large: " + strings.Repeat("x", 2*DefaultMaxHeaderBytes) + "\r\n"
		response, _, err := exchangeRaw(conn, with(searchLine, large, `{"query":1}`))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 431)
		assert.Assert(t, response.Close)
		assert.NilError(t, conn.Close())
		assert.NilError(t, server.Stop(t.Context()))
	})
}
