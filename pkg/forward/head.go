package forward

import (
	"bytes"
	"net/http"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// callerHead is the one reading of the head of a caller's request.
type callerHead struct {
	// id identifies the attempt, "" if the caller sent none.
	id string
	// deadline is the value of the deadline header.
	deadline string
	target   routes.Target
	// credentials are set once the route is known.
	credentials
}

// readHead reads the head of a caller's request. The id is set also if it refuses the
// request.
func (f *Forwarder) readHead(r *http.Request) (callerHead, *errs.Refusal) {
	head := callerHead{id: r.Header.Get(f.headers.RequestID), deadline: r.Header.Get(f.headers.Deadline)}
	for _, name := range []string{f.headers.RequestID, f.headers.Deadline} {
		if values := r.Header.Values(name); slices.ContainsFunc(values, func(v string) bool { return v != values[0] }) {
			return head, errs.Refuse(errs.InvalidRequest, "header %s is given with different values", name)
		}
	}
	var refusal *errs.Refusal
	head.target, refusal = routes.ParseTarget(r.Host, r.RequestURI)
	return head, refusal
}

// requestHead returns the request line and the header fields that all sends of a
// request share, by the configuration of table.
func (f *Forwarder) requestHead(r *http.Request, head callerHead, table *routes.Table) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(head.target.URI)
	b.WriteString(" HTTP/1.1\r\n")
	writeHeader(&b, "Host", head.target.Host)
	if head.id != "" {
		writeHeader(&b, f.headers.RequestID, head.id)
	}
	if head.tenant != nil {
		writeHeader(&b, f.headers.Tenant, head.tenant.Name)
	}
	for name, values := range r.Header {
		if f.omitsHeader(name, table) {
			continue
		}
		for _, v := range values {
			writeHeader(&b, name, v)
		}
	}
	return b.Bytes()
}

func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// requestHeadBytes returns the length of the request line and the header fields as
// they are sent, with a colon, a space and a line end for each field.
func requestHeadBytes(r *http.Request) int {
	const fieldSeparators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host") + len(r.Host) + 2*fieldSeparators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + fieldSeparators
		}
	}
	return n
}

// matchRoute returns the route of a request.
func (f *Forwarder) matchRoute(target routes.Target) (routeMatch, *errs.Refusal) {
	view := f.view.Load()
	if view == nil || view.Table == nil {
		return routeMatch{}, errs.Refuse(errs.NotReady, "no configuration is known yet").WithRetryAfter(notReadyRetryAfter)
	}
	route, refusal := view.Table.Match(target)
	if refusal != nil {
		return routeMatch{}, refusal
	}
	if route == nil {
		return routeMatch{}, f.tenants.noRouteRefusal(time.Now(), target, view.Table)
	}
	return routeMatch{Route: route, view: view}, nil
}

// routeMatch is the route of a request with the view that contains it. A request keeps
// the route from its first send on, even if the view is replaced: all parts of an answer
// come from the shards of one version. Its replicas are those of the view in force at
// each send.
type routeMatch struct {
	*routes.Route
	view *View
}

// name returns the name of the route, "" if there is none.
func (m routeMatch) name() string {
	if m.Route == nil {
		return ""
	}
	return m.Name
}
