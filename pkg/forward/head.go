package forward

import (
	"bytes"
	"net/http"
)

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// requestHead returns the request line and the header fields that all sends of a
// request share.
func (f *Forwarder) requestHead(r *http.Request) []byte {
	target := r.RequestURI
	if len(target) == 0 || target[0] != '/' {
		target = r.URL.RequestURI()
	}
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(target)
	b.WriteString(" HTTP/1.1\r\n")
	writeHeader(&b, "Host", r.Host)
	for name, values := range r.Header {
		if hopByHopHeaders[name] || name == f.headers.Deadline || name == f.headers.TargetReplica {
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
