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
// the host of its route, its tenant if it has one, the method, the path and the body.
// Attempts come from many callers, and their query strings may differ.
func requestAttempt(method string, target routes.Target, route *routes.Route, tenant *routes.Tenant, caller string, body []byte, id string) RequestAttempt {
	origin, former := route.Host, uint64(0)
	if tenant != nil {
		origin += " " + tenant.Name
	} else {
		former = poison.Fingerprint(model.ServiceID(route.Host+" "+caller), method+" "+target.Path, body)
	}
	from := model.ServiceID(origin)
	return RequestAttempt{
		Fingerprint: poison.Fingerprint(from, method+" "+target.Path, body),
		Exact:       poison.Fingerprint(from, "exact "+method+" "+target.URI, body),
		Former:      former,
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
