package forward

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// requestAttempt identifies an attempt of a request by what all attempts have in common:
// the host of its route, the caller's address, the method, the path and the body. The
// query string may differ between attempts.
func requestAttempt(r *http.Request, route *routes.Route, caller string, body []byte, id string) RequestAttempt {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	from := model.ServiceID(route.Host + " " + caller)
	return RequestAttempt{
		Fingerprint: poison.Fingerprint(from, r.Method+" "+path, body),
		Exact:       poison.Fingerprint(from, "exact "+r.Method+" "+r.RequestURI, body),
		ID:          newAttemptID(),
		RequestID:   id,
	}
}

// newAttemptID returns an ID that no other attempt has, on any VM.
func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// callerAddr returns the address of a caller without its port.
func callerAddr(remoteAddr string) string {
	host, _, err := net.SplitHostPort(remoteAddr)
	if err != nil {
		return remoteAddr
	}
	return host
}
