package routes

import (
	"net/url"
	"slices"
	"strings"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Target is what a request asks for. It is the only reading of its target and its host:
// the request is routed, recognized, logged and sent by it.
type Target struct {
	// Host is the host as the caller sent it, which may have a port.
	Host string
	// URI is the path and the query as the caller sent them, and Path the path of URI,
	// with its percent-encoding.
	URI, Path string
}

// ParseTarget returns the target of a request with a Host field and a request target as
// they were received. host is that of the request target where this names one, as
// RFC 9112, 3.2.2 demands. It refuses what no URI of HTTP is, and what readers of HTTP
// read in different ways.
func ParseTarget(host, requestTarget string) (Target, *errs.Refusal) {
	uri := requestTarget
	if scheme, rest, found := strings.Cut(uri, "://"); found && !strings.HasPrefix(uri, "/") {
		if !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
			return Target{}, errs.Refuse(errs.InvalidRequest, "scheme %.40q of the request target is neither http nor https", scheme)
		}
		end := strings.IndexAny(rest, "/?")
		if end < 0 {
			end = len(rest)
		}
		if authority := rest[:end]; authority == "" || authority != host {
			// Credentials, for instance, which a reader may take for the host.
			return Target{}, errs.Refuse(errs.InvalidRequest, "authority %.100q of the request target is not a host with an optional port", authority)
		}
		uri = rest[end:]
		if !strings.HasPrefix(uri, "/") {
			uri = "/" + uri // RFC 9112, 3.2.1: an empty path is sent as "/"
		}
	}
	if !strings.HasPrefix(uri, "/") {
		return Target{}, errs.Refuse(errs.InvalidRequest, "request target %.100q has no path", uri)
	}
	if strings.Contains(uri, "#") {
		return Target{}, errs.Refuse(errs.InvalidRequest, "request target %.100q has a fragment", uri)
	}
	if _, ok := hostname(host); !ok {
		return Target{}, errs.Refuse(errs.InvalidRequest, "host %.100q has a port that is not a number", host)
	}
	path, _, _ := strings.Cut(uri, "?")
	return Target{Host: host, URI: uri, Path: path}, nil
}

// hostname returns the host without its port and without the dot that ends a complete
// domain name (RFC 3986, 3.2.2). It reports false if the port is not a number.
func hostname(host string) (string, bool) {
	name, port := host, ""
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		name, port = host[:i], host[i+1:]
	}
	return strings.TrimSuffix(name, "."), strings.Trim(port, "0123456789") == ""
}

// hostRoutes holds the routes of one host, the longest prefix first.
type hostRoutes struct {
	routes []*Route
	// segments holds the decoded segments of each route's prefix, without the empty one
	// after the last slash.
	segments [][]string
	// encoded is set if a prefix is percent-encoded.
	encoded bool
}

func newHostRoutes(list []*Route) *hostRoutes {
	h := &hostRoutes{routes: list}
	for _, r := range list {
		segments := decodedSegments(r.Prefix)
		h.segments = append(h.segments, segments[:len(segments)-1])
		h.encoded = h.encoded || strings.Contains(r.Prefix, "%")
	}
	return h
}

// Match returns the route of a request, nil if there is none. If several prefixes match
// the path, the longest is used. The path is compared segment by segment, and each
// segment is decoded for it: an encoded slash is data and ends no segment (RFC 3986,
// 2.2). Match refuses a path for which a comparison of bytes, or the removal of dot
// segments, selects another route: the tier and a replica must not disagree on it.
func (t *Table) Match(target Target) (*Route, *errs.Refusal) {
	name, _ := hostname(target.Host)
	h, ok := t.hosts[name]
	if !ok {
		h = t.hosts[strings.ToLower(name)]
	}
	if h == nil {
		return nil, nil
	}
	bytewise := h.matchBytes(target.Path)
	if !h.encoded && !strings.Contains(target.Path, "%") && !strings.Contains(target.Path, "/.") {
		return bytewise, nil
	}
	segments := decodedSegments(target.Path)
	route := h.matchSegments(segments)
	if bytewise != nil && bytewise != route {
		return nil, errs.Refuse(errs.InvalidRequest, "path %.100q selects another route when its percent-encoding is decoded", target.Path)
	}
	if h.matchSegments(withoutDotSegments(segments)) != route {
		return nil, errs.Refuse(errs.InvalidRequest, "path %.100q selects another route when its dot segments are removed", target.Path)
	}
	return route, nil
}

func (h *hostRoutes) matchBytes(path string) *Route {
	for _, r := range h.routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func (h *hostRoutes) matchSegments(path []string) *Route {
	var longest *Route
	length := 0
	for i, prefix := range h.segments {
		if len(prefix) > length && len(path) > len(prefix) && slices.Equal(path[:len(prefix)], prefix) {
			longest, length = h.routes[i], len(prefix)
		}
	}
	return longest
}

// decodedSegments splits a path at its slashes and decodes each segment. One that is not
// valid percent-encoding is left as it is.
func decodedSegments(path string) []string {
	segments := strings.Split(path, "/")
	for i, s := range segments {
		if decoded, err := url.PathUnescape(s); err == nil {
			segments[i] = decoded
		}
	}
	return segments
}

// withoutDotSegments removes dot segments as RFC 3986, 5.2.4 does.
func withoutDotSegments(segments []string) []string {
	kept := make([]string, 0, len(segments))
	for i, s := range segments {
		if s != "." && s != ".." {
			kept = append(kept, s)
			continue
		}
		if s == ".." && len(kept) > 1 {
			kept = kept[:len(kept)-1]
		}
		if i == len(segments)-1 {
			kept = append(kept, "") // the path still ends with a slash
		}
	}
	return kept
}
