package exchange

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Limits on what precedes and follows the body of a response. A faulty replica may
// send heads or trailers without end, which must not fill the memory of the VM.
const (
	// maxHeadBytes bounds the heads of one response, those of its informational
	// responses included.
	maxHeadBytes = 64 << 10
	// maxHeadFields bounds the header fields of one head.
	maxHeadFields = 256
	// maxInformational is the number of informational (1xx) responses that may
	// precede a response.
	maxInformational = 8
	// maxTrailerBytes bounds the trailer of a chunked body.
	maxTrailerBytes = 4 << 10
)

// Field is a header field as it was received.
type Field struct {
	Name, Value string
}

// Header holds the header fields of a response in the order in which they were
// received. It takes two allocations, where http.Header takes several for each field.
type Header []Field

// Get returns the value of the first field with the name, in any case, or "".
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// HTTP returns the fields with canonical names.
func (h Header) HTTP() http.Header {
	header := make(http.Header, len(h))
	for _, f := range h {
		header.Add(f.Name, f.Value)
	}
	return header
}

// hasToken reports whether a field with the name lists the token.
func (h Header) hasToken(name, token string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for value := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(value), token) {
				return true
			}
		}
	}
	return false
}

// responseHead is the parsed head of a response.
type responseHead struct {
	status int
	header Header
	// contentLength is the length of the body, -1 if the head does not tell it.
	contentLength int64
	chunked       bool
	// close is set if the connection ends after the response.
	close bool
}

// invalidResponse returns the refusal for bytes that are not a valid response. The
// request may have run.
func invalidResponse(format string, args ...any) *errs.Refusal {
	return errs.Ambiguous(errs.ResponseInvalid, format, args...)
}

// readHead reads the head of the next response that is not informational. scratch
// is reused for its bytes.
func readHead(r *bufio.Reader, method string, scratch *[]byte) (responseHead, error) {
	left := maxHeadBytes
	for range maxInformational + 1 {
		raw, err := readHeadBytes(r, (*scratch)[:0], left)
		*scratch = raw
		if err != nil {
			return responseHead{}, err
		}
		left -= len(raw)
		head, err := parseHead(string(raw), method)
		if err != nil || head.status >= http.StatusOK {
			return head, err
		}
	}
	return responseHead{}, invalidResponse("more than %d informational responses", maxInformational)
}

// readHeadBytes appends a head, or a trailer, to raw up to the empty line that ends
// it. The connection may not end before that.
func readHeadBytes(r *bufio.Reader, raw []byte, limitBytes int) ([]byte, error) {
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		if len(raw)+len(part) > limitBytes {
			return raw, invalidResponse("the head or trailer exceeds its limit of %d bytes", limitBytes)
		}
		raw = append(raw, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the line goes on
		case errors.Is(err, io.EOF):
			return raw, io.ErrUnexpectedEOF
		case err != nil:
			return raw, err
		}
		if len(trimLineEnd(raw[lineStart:])) == 0 {
			return raw, nil
		}
		lineStart = len(raw)
	}
}

func trimLineEnd(line []byte) []byte {
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line
}

// parseHead parses a head that ends with an empty line.
func parseHead(raw, method string) (responseHead, error) {
	line, rest := cutLine(raw)
	version, status, ok := parseStatusLine(line)
	if !ok {
		return responseHead{}, invalidResponse("malformed status line %.40q", line)
	}
	head := responseHead{status: status, contentLength: -1, header: make(Header, 0, strings.Count(rest, "\n"))}
	for {
		line, rest = cutLine(rest)
		if line == "" {
			break
		}
		field, ok := parseField(line)
		if !ok || len(head.header) == maxHeadFields {
			return responseHead{}, invalidResponse("malformed header line %.40q", line)
		}
		head.header = append(head.header, field)
	}
	return head, head.parseFraming(version, method)
}

// parseField parses a header or trailer line without its end.
func parseField(line string) (Field, bool) {
	name, value, found := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	return Field{Name: name, Value: value}, found && isToken(name) && isFieldValue(value)
}

// isFieldValue reports whether s has no control characters: passed on to a caller,
// they could end the field.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return true
}

// cutLine returns the first line of s without its end, and what follows it.
func cutLine(s string) (line, rest string) {
	line, rest, _ = strings.Cut(s, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

// parseStatusLine returns the minor version of HTTP/1 and the status.
func parseStatusLine(line string) (version byte, status int, ok bool) {
	const prefix = "HTTP/1."
	const codeStart = len(prefix) + 2
	if !strings.HasPrefix(line, prefix) || len(line) < codeStart+3 || line[codeStart-1] != ' ' {
		return 0, 0, false
	}
	if len(line) > codeStart+3 && line[codeStart+3] != ' ' {
		return 0, 0, false
	}
	version = line[len(prefix)]
	for _, c := range []byte(line[codeStart : codeStart+3]) {
		if c < '0' || c > '9' {
			return 0, 0, false
		}
		status = 10*status + int(c-'0')
	}
	return version, status, (version == '0' || version == '1') && status >= 100
}

// isToken reports whether s can be the name of a header field.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// parseFraming derives from the fields how the body is delimited. A head that says
// it in two ways is not valid, or not followed by another response: readers that
// take different ones would disagree on where the next response starts.
func (h *responseHead) parseFraming(version byte, method string) error {
	for i := range h.header {
		f := &h.header[i]
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			n, err := strconv.ParseUint(f.Value, 10, 63)
			if err != nil || (h.contentLength >= 0 && int64(n) != h.contentLength) {
				return invalidResponse("invalid Content-Length %.40q", f.Value)
			}
			h.contentLength = int64(n)
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if h.chunked || version == '0' || !strings.EqualFold(f.Value, "chunked") {
				return invalidResponse("unsupported Transfer-Encoding %.40q", f.Value)
			}
			h.chunked = true
		}
	}
	h.close = h.header.hasToken("Connection", "close") || (version == '0' && !h.header.hasToken("Connection", "keep-alive"))
	switch {
	case h.status < http.StatusOK || h.status == http.StatusNoContent || h.status == http.StatusNotModified || method == http.MethodHead:
		h.contentLength, h.chunked = 0, false
	case h.chunked && h.contentLength >= 0:
		h.contentLength, h.close = -1, true
	case !h.chunked && h.contentLength < 0:
		h.close = true // the body ends with the connection
	}
	return nil
}
