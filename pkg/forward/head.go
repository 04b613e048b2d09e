package forward

import (
	"bytes"
	"net/http"
	"slices"

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
// request share.
func (f *Forwarder) requestHead(r *http.Request, head callerHead) []byte {
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
	for name, values := range r.Header {
		if hopByHopHeaders[name] || name == f.headers.RequestID || name == f.headers.Deadline || name == f.headers.TargetReplica {
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
