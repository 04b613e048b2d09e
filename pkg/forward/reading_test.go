package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// sendRaw sends the bytes of one request and returns the status and the body of the
// response.
func (tt *testTier) sendRaw(request string) (int, string) {
	tt.t.Helper()
	c, err := net.Dial("tcp", tt.server.Listener.Addr().String())
	assert.NilError(tt.t, err)
	defer c.Close()
	_, err = io.WriteString(c, request)
	assert.NilError(tt.t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(tt.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(tt.t, err)
	return response.StatusCode, string(body)
}

// Guards against a request that is not idempotent and runs as one of another route, whose
// prefix its path has only when an encoded slash is decoded.
func TestEncodedSlashSelectsNoOtherRoute(t *testing.T) {
	orders, reports := singleRoute(false), singleRoute(true)
	reports.Name, reports.Prefix, reports.Services = "reports", "/p/reports/", []routes.Weighted{{Service: "reports", Weight: 1}}
	tier := newTestTier(t, orders, reports)
	tier.addReplica(tier.addService("s", 9), "order", closeConnection)
	rs := tier.addService("reports", 9)
	tier.addReplica(rs, "report1", closeConnection)
	tier.addReplica(rs, "report2", closeConnection)
	tier.send("POST", "/p/reports%2F17", "1", "")
	assert.DeepEqual(t, tier.received(), []string{"order 1"})
}

// Guards against a head that the tier reads in one way and a replica, or a balancer
// before the tier, in another.
func TestHeadIsReadInOneWay(t *testing.T) {
	tier := newTestTier(t, singleRoute(false))
	tier.addReplica(tier.addService("s", 0), "r1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Receipt", "x")
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		fmt.Fprintf(w, "%s %s ids=%d body=%q length=%d trailers=%d", r.Host, r.RequestURI, len(r.Header.Values("Id")), body, r.ContentLength, len(r.Trailer))
	})
	for name, c := range map[string]struct {
		request string
		status  int
		answer  string
	}{
		"absolute form overrides Host":  {"GET http://h.example/p/a%2Fb?x HTTP/1.1\r\nHost: other\r\nId: 1\r\n\r\n", 200, `h.example /p/a%2Fb?x ids=1 body="" length=0 trailers=0`},
		"absolute form without a path":  {"GET http://h.example HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n\r\n", 404, ""},
		"credentials in the target":     {"GET http://u@h.example/p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n\r\n", 400, ""},
		"authority form":                {"CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n\r\n", 400, ""},
		"asterisk form":                 {"GET * HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n\r\n", 400, ""},
		"fragment":                      {"GET /p/x#y HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n\r\n", 400, ""},
		"dot segments":                  {"GET /p/../x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n\r\n", 400, ""},
		"two hosts":                     {"GET /p/x HTTP/1.1\r\nHost: h.example\r\nHost: other\r\nId: 1\r\n\r\n", 400, ""},
		"no host":                       {"GET /p/x HTTP/1.1\r\nId: 1\r\n\r\n", 400, ""},
		"host with port and final dot":  {"GET /p/x HTTP/1.1\r\nHost: H.example.:80\r\nId: 1\r\n\r\n", 200, `H.example.:80 /p/x ids=1 body="" length=0 trailers=0`},
		"two ids":                       {"GET /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nId: 2\r\n\r\n", 400, ""},
		"the same id twice":             {"GET /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nId: 1\r\n\r\n", 200, `h.example /p/x ids=1 body="" length=0 trailers=0`},
		"two deadlines":                 {"GET /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nLeft: 100\r\nLeft: 5000\r\n\r\n", 400, ""},
		"two lengths":                   {"POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400, ""},
		"the same length twice":         {"POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 200, `h.example /p/x ids=1 body="abc" length=3 trailers=0`},
		"length and chunks":             {"POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, `h.example /p/x ids=1 body="abc" length=3 trailers=0`},
		"trailers":                      {"POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nTrailer: Left\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nLeft: 1\r\n\r\n", 200, `h.example /p/x ids=1 body="abc" length=3 trailers=0`},
		"transfer encoding not chunked": {"POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, ""},
	} {
		status, answer := tier.sendRaw(c.request)
		assert.Check(t, status == c.status, "%s: %d %s", name, status, answer)
		if c.answer != "" {
			assert.Check(t, answer == c.answer, "%s: %s", name, answer)
		}
	}
}

// Guards against a deadline that does not fit into a Duration: its conversion yields the
// past on x86-64 and the far future on arm64.
func TestDeadlineBeyondTheLimitIsTheLimit(t *testing.T) {
	route := &routes.Route{Timeout: 3 * time.Second}
	for _, value := range []string{"", "3000", "3000.1", "9.3e12", "9223372036854775808", "1e300", "+Inf", "NaN", "-1", "x"} {
		assert.Check(t, requestTimeout(value, route) == 3*time.Second, value)
	}
	assert.Equal(t, requestTimeout("2999.5", route), 2999500*time.Microsecond)
	assert.Equal(t, requestTimeout("0", route), time.Duration(0))
	assert.Equal(t, requestTimeout("1e300", &routes.Route{}), defaultTimeout)
}

// FuzzSentTarget guards against a request that is sent with other bytes than those by
// which its route was selected: it selects the route again, from the bytes sent and in
// all ways in which the standard lets a reader compare them.
func FuzzSentTarget(f *testing.F) {
	var list []*routes.Route
	for _, prefix := range []string{"/", "/a/", "/a/b/", "/a/b/c/", "/~u/", "/x y/"} {
		for _, host := range []string{"h", "g"} {
			if host == "g" && prefix == "/" {
				continue
			}
			r := singleRoute(false)
			r.Name, r.Host, r.Prefix = host+prefix, host, prefix
			list = append(list, r)
		}
	}
	table, err := routes.NewTable(1, routes.Limits{}, list, nil)
	assert.NilError(f, err)
	forwarder := newTestForwarder(silentObserver{}, poison.NewLedger(poison.Config{}))
	forwarder.SetView(&View{Table: table})
	for _, target := range []string{"/a/b/x", "/a%2Fb/x", "/a/%62/x", "/a/../x", "/a/%2e%2E/b", "//a/b/", "/%7eu/", "/x%20y/?/a/#", "http://g/a/b/c/d", "http://h", "*", "/a/b/./c/..", "/a/..;/b/"} {
		f.Add(target, "h")
		f.Add(target, "G.:80")
	}
	f.Fuzz(func(t *testing.T, target, host string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nId: 1\r\n\r\n")))
		if err != nil {
			return
		}
		head, refusal := forwarder.readHead(r)
		if refusal != nil {
			return
		}
		match, refusal := forwarder.matchRoute(head.target)
		if refusal != nil {
			return
		}
		lines := strings.Split(string(forwarder.requestHead(r, head, match.view.Table)), "\r\n")
		line := strings.Split(lines[0], " ")
		sentHost, found := strings.CutPrefix(lines[1], "Host: ")
		if !found || len(line) != 3 || strings.Contains(lines[0]+sentHost, "\n") {
			t.Fatalf("sent %q", lines)
		}
		sentPath, _, _ := strings.Cut(line[1], "?")
		for _, dots := range []bool{false, true} {
			if got := routeOfSent(list, sentHost, sentPath, dots); got != match.Name {
				t.Fatalf("%q at %q: routed to %s, sent to %s without dot segments: %v", target, host, match.Name, got, dots)
			}
		}
	})
}

// routeOfSent returns the name of the route that the bytes of a sent request select,
// with or without its dot segments.
func routeOfSent(list []*routes.Route, host, path string, removeDots bool) string {
	host, _, _ = strings.Cut(host, ":")
	host = strings.TrimSuffix(strings.ToLower(host), ".")
	var segments []string
	for _, s := range strings.Split(path, "/")[1:] {
		s = decodeSegment(s)
		if removeDots && s == ".." && len(segments) > 0 {
			segments = segments[:len(segments)-1]
		}
		if !removeDots || (s != "." && s != "..") {
			segments = append(segments, s)
		}
	}
	// A removed last segment leaves the slash before it.
	if last := decodeSegment(path[strings.LastIndexByte(path, '/')+1:]); removeDots && (last == "." || last == "..") {
		segments = append(segments, "")
	}
	best, longest := "", -1
	for _, r := range list {
		prefix := strings.Split(strings.Trim(r.Prefix, "/"), "/")
		if r.Prefix == "/" {
			prefix = nil
		}
		if r.Host != host || len(segments) <= len(prefix) || len(prefix) <= longest {
			continue
		}
		if strings.Join(segments[:len(prefix)], "\x00") == strings.Join(prefix, "\x00") {
			best, longest = r.Name, len(prefix)
		}
	}
	return best
}

// decodeSegment decodes the percent-encoding of a segment, which is valid.
func decodeSegment(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' {
			n, err := strconv.ParseUint(s[i+1:i+3], 16, 8)
			if err != nil {
				return s
			}
			b.WriteByte(byte(n))
			i += 2
			continue
		}
		b.WriteByte(s[i])
	}
	return b.String()
}
