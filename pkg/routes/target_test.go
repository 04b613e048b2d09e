package routes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Guards against a request that is routed by another reading of its path than the one
// that a replica or an operator has: an encoded slash that ends a segment, and paths that
// select one route as bytes and another one decoded or without dot segments.
func TestPathIsReadInOneWay(t *testing.T) {
	built := newTable(t,
		singleServiceRoute("orders", "h", "/orders/"), singleServiceRoute("reports", "h", "/orders/reports/"),
		singleServiceRoute("tilde", "h", "/~user/"), singleServiceRoute("space", "h", "/a b/"),
		singleServiceRoute("umlaut", "h", "/\u00e4/"), singleServiceRoute("encoded", "h", "/e%20f/"),
		singleServiceRoute("all", "any", "/"), singleServiceRoute("part", "any", "/part/"))
	const refused = "refused"
	for _, c := range []struct{ host, path, want string }{
		{"h", "/orders/17", "orders"},
		{"h", "/orders/reports/17", "reports"},
		{"h", "/orders/reports%2F17", "orders"},
		{"h", "/orders/reports%2f17", "orders"},
		{"h", "/orders%2Freports/17", ""},
		{"h", "/orders//reports/17", "orders"},
		{"h", "//orders/17", ""},
		{"h", "/orders/%72eports/17", refused},
		{"h", "/orders/a/../reports/17", refused},
		{"h", "/orders/a/%2e%2E/reports/17", refused},
		{"h", "/orders/./reports/17", refused},
		{"h", "/orders/../x", refused},
		{"h", "/orders/..", refused},
		{"h", "/x/../orders/1", refused},
		{"h", "/../orders/1", refused},
		{"h", "/orders/a/../b", "orders"},
		{"h", "/orders/a/.", "orders"},
		{"h", "/orders/.well-known/..x", "orders"},
		{"h", "/orders/..%2Freports/17", "orders"},
		{"h", "/%6Frders/17", "orders"},
		{"h", "/%7Euser/1", "tilde"},
		{"h", "/a%20b/1", "space"},
		{"h", "/%C3%A4/1", "umlaut"},
		{"h", "/%c3%a4/1", "umlaut"},
		{"h", "/\u00e4/1", "umlaut"},
		{"h", "/e%20f/1", "encoded"},
		{"h", "/orders/100%", "orders"},
		{"any", "/%70art/1", refused},
		{"any", "/part/%2E%2E", refused},
		{"any", "/x%2Fy", "all"},
		{"any", "/", "all"},
		{"any", "/..", "all"},
	} {
		r, refusal := built.Match(Target{Host: c.host, Path: c.path})
		got := ""
		switch {
		case refusal != nil:
			assert.Equal(t, refusal.Code, errs.InvalidRequest)
			got = refused
		case r != nil:
			got = r.Name
		}
		assert.Check(t, got == c.want, "%s: %q, want %q", c.path, got, c.want)
	}
}

// Guards against a host that is read in another way than the standard reads it.
func TestHostIsReadInOneWay(t *testing.T) {
	built := newTable(t, singleServiceRoute("r", "h.example", "/x/"), singleServiceRoute("dot", "dot.example.", "/x/"))
	for _, c := range []struct {
		host string
		want bool
	}{
		{"h.example", true}, {"H.Example", true}, {"h.example:80", true}, {"h.example:", true},
		{"h.example.", true}, {"H.EXAMPLE.:8080", true}, {"dot.example", true}, {"dot.example.", true},
		{"h.example..", false}, {"h.example:1:2", false}, {"user@h.example", false}, {"", false}, {"[::1]:80", false},
	} {
		r, refusal := built.Match(Target{Host: c.host, Path: "/x/"})
		assert.Check(t, refusal == nil && (r != nil) == c.want, c.host)
	}
}

// Guards against a request target that is sent in another form, or to another host, than
// the one that it was routed by.
func TestRequestTargetIsReadInOneWay(t *testing.T) {
	for _, c := range []struct{ host, target, uri, path string }{
		{"h", "/a%2Fb?x=%20", "/a%2Fb?x=%20", "/a%2Fb"},
		{"h", "//a/b", "//a/b", "//a/b"},
		{"h", "/a://b", "/a://b", "/a://b"},
		{"h", "/?/a/", "/?/a/", "/"},
		{"h:80", "http://h:80/a%2f?x", "/a%2f?x", "/a%2f"},
		{"h", "HTTPS://h", "/", "/"},
		{"h", "http://h?x", "/?x", "/"},
	} {
		got, refusal := ParseTarget(c.host, c.target)
		assert.Check(t, refusal == nil, c.target)
		assert.Check(t, got == Target{Host: c.host, URI: c.uri, Path: c.path}, "%s: %+v", c.target, got)
	}
	for _, c := range []struct{ host, target string }{
		{"h", ""}, {"h", "*"}, {"h:443", "h:443"}, {"h", "a/b"}, {"h", "/a#b"}, {"h", "/a?b#c"}, {"h:x", "/a"},
		{"h", "ftp://h/a"}, {"h", "http:///a"}, {"h", "http://user@h/a"}, {"other", "http://h/a"},
	} {
		_, refusal := ParseTarget(c.host, c.target)
		assert.Check(t, refusal != nil && refusal.Code == errs.InvalidRequest, "%s %s", c.host, c.target)
	}
}
