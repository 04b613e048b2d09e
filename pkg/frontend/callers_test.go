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
	searchHead = "POST /v1/search/assist HTTP/1.1\r\nHost: tier\r\n"
	bookHead   = "POST /v1/call/trips/book HTTP/1.1\r\nHost: tier\r\n"
)

// withBody returns a raw HTTP request with the Content-Length of its body.
func withBody(head, headers, body string) string {
	return head + headers + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// TestGoldenCallers guards the callers' interface against unnoticed changes: a
// changed field, status, default or refusal differs from the golden file.
func TestGoldenCallers(t *testing.T) {
	refuse := func(err *errs.Refusal) *scriptedGateway {
		return &scriptedGateway{
			search: func(context.Context, SearchRequest) (*SearchAnswer, error) { return nil, err },
			call:   func(context.Context, CallRequest) (*CallAnswer, error) { return nil, err },
		}
	}
	notJSON := &scriptedGateway{search: func(context.Context, SearchRequest) (*SearchAnswer, error) {
		return &SearchAnswer{Rows: []wire.Row{{Data: []byte("{")}}}, nil
	}}
	panicking := &scriptedGateway{call: func(context.Context, CallRequest) (*CallAnswer, error) { panic("fault") }}
	ok := &scriptedGateway{}
	key := "Idempotency-Key: k-1\r\n"
	cases := []struct {
		name, request string
		gateway       *scriptedGateway
	}{
		{"search with defaults", withBody(searchHead, "", `{"query":{"gate":"A4"}}`), ok},
		{"search with every field", withBody(searchHead, "Nutmeghitch-Deadline-Ms: 150\r\nNutmeghitch-Caller: gate\r\nNutmeghitch-Request-Id: r1\r\n", `{"operation":"holds","query":null,"limit":5}`), ok},
		{"search without answer", withBody(searchHead, "", `{"query":1}`), refuse(errs.Refuse(errs.Overloaded, "queue is full").WithRetryAfter(1500 * time.Millisecond))},
		{"search with a row that is not JSON", withBody(searchHead, "", `{"query":1}`), notJSON},
		{"unknown service", withBody("POST /v1/search/none HTTP/1.1\r\nHost: tier\r\n", "", `{"query":1}`), ok},
		{"search of a lookup service", withBody("POST /v1/search/trips HTTP/1.1\r\nHost: tier\r\n", "", `{"query":1}`), ok},
		{"unknown search operation", withBody(searchHead, "", `{"query":1,"operation":"none"}`), ok},
		{"search operation that is not idempotent", withBody(searchHead, "", `{"query":1,"operation":"book"}`), ok},
		{"misspelt field", withBody(searchHead, "", `{"query":1,"limt":5}`), ok},
		{"no query", withBody(searchHead, "", `{"limit":5}`), ok},
		{"limit too high", withBody(searchHead, "", `{"query":1,"limit":21}`), ok},
		{"two objects", withBody(searchHead, "", `{"query":1}{}`), ok},
		{"body too large", withBody(searchHead, "", `{"query":"`+strings.Repeat("x", 256)+`"}`), ok},
		{"deadline too long", withBody(searchHead, "Nutmeghitch-Deadline-Ms: 2001\r\n", `{"query":1}`), ok},
		{"deadline zero", withBody(searchHead, "Nutmeghitch-Deadline-Ms: 0\r\n", `{"query":1}`), ok},
		{"two deadlines", withBody(searchHead, "Nutmeghitch-Deadline-Ms: 5\r\nNutmeghitch-Deadline-Ms: 6\r\n", `{"query":1}`), ok},
		{"caller name too long", withBody(searchHead, "Nutmeghitch-Caller: "+strings.Repeat("c", 201)+"\r\n", `{"query":1}`), ok},
		{"wrong method", "GET /v1/search/assist HTTP/1.1\r\nHost: tier\r\n\r\n", ok},
		{"unknown path", "GET /v2/search HTTP/1.1\r\nHost: tier\r\n\r\n", ok},
		{"call with key", withBody(bookHead, key, `{"trip":1}`), ok},
		{"call without result", withBody(bookHead, key, `{}`), &scriptedGateway{call: func(context.Context, CallRequest) (*CallAnswer, error) { return &CallAnswer{}, nil }}},
		{"idempotent call without key", withBody("POST /v1/call/trips/read HTTP/1.1\r\nHost: tier\r\n", "", `{}`), ok},
		{"call without the required key", withBody(bookHead, "", `{}`), ok},
		{"call with an empty key", withBody(bookHead, "Idempotency-Key:\r\n", `{}`), ok},
		{"call with two keys", withBody(bookHead, key+key, `{}`), ok},
		{"call with a key too long", withBody(bookHead, "Idempotency-Key: "+strings.Repeat("k", 201)+"\r\n", `{}`), ok},
		{"call with an array", withBody(bookHead, key, `[1]`), ok},
		{"unknown call operation", withBody("POST /v1/call/trips/none HTTP/1.1\r\nHost: tier\r\n", key, `{}`), ok},
		{"call with unknown outcome", withBody(bookHead, key, `{}`), refuse(errs.Ambiguous(errs.OutcomeUnknown, "no outcome by the deadline"))},
		{"call that panics", withBody(bookHead, key, `{}`), panicking},
	}
	var out strings.Builder
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			c.gateway.lastRequest = ""
			server, l := startServer(t, c.gateway, testView(), 0)
			conn, err := l.dial()
			assert.NilError(t, err)
			response, body, err := roundTrip(conn, c.request)
			assert.NilError(t, err)
			fmt.Fprintf(&out, "=== %s\n%s\n--- gateway: %s--- %s\n", c.name, strings.ReplaceAll(c.request, "\r\n", "\n"), c.gateway.lastRequest, response.Status)
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

// TestNoConfiguration guards against a handler that uses a nil configuration
// before the first one is known. Such requests are refused as not ready.
func TestNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, l := startServer(t, &scriptedGateway{}, &model.View{}, 0)
		conn, err := l.dial()
		assert.NilError(t, err)
		response, body, err := roundTrip(conn, withBody(searchHead, "", `{"query":1}`))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 503)
		assert.Assert(t, strings.Contains(body, `"code":"not_ready","run_state":"did_not_run"`), body)
		assert.NilError(t, conn.Close())
		assert.NilError(t, server.Stop(t.Context()))
	})
}

// TestSlowBody guards against a caller that holds a connection because it stops
// sending its body. It is refused at its deadline, and the refusal arrives.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, l := startServer(t, &scriptedGateway{}, testView(), 0)
		conn, err := l.dial()
		assert.NilError(t, err)
		begin := time.Now()
		_, body, err := roundTrip(conn, searchHead+"Content-Length: 10\r\n\r\n{")
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begin), 380*time.Millisecond)
		assert.Assert(t, strings.Contains(body, `"code":"deadline_exceeded","run_state":"did_not_run"`), body)
		assert.NilError(t, conn.Close())
		assert.NilError(t, server.Stop(t.Context()))
	})
}

// TestHeaderTooLarge guards against headers of unlimited size.
func TestHeaderTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, l := startServer(t, &scriptedGateway{}, testView(), 0)
		conn, err := l.dial()
		assert.NilError(t, err)
		large := "X-Large: " + strings.Repeat("x", 2*DefaultMaxHeaderBytes) + "\r\n"
		response, _, err := roundTrip(conn, withBody(searchHead, large, `{"query":1}`))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 431)
		assert.Assert(t, response.Close)
		assert.NilError(t, conn.Close())
		assert.NilError(t, server.Stop(t.Context()))
	})
}
