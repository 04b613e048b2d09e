package forward

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// requestAttempt identifies an attempt of a request by what all attempts have in common:
// the host of its route, the method, the path and the body. Attempts come from many callers,
// and their query strings may differ.
func requestAttempt(method string, target routes.Target, route *routes.Route, caller string, body []byte, id string) RequestAttempt {
	host := model.ServiceID(route.Host)
	return RequestAttempt{
		Fingerprint: poison.Fingerprint(host, method+" "+target.Path, body),
		Exact:       poison.Fingerprint(host, "exact "+method+" "+target.URI, body),
		Former:      poison.Fingerprint(model.ServiceID(route.Host+" "+caller), method+" "+target.Path, body),
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
