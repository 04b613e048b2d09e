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
// the host of its route, its tenant if it has one, the caller's address, the method, the
// path and the body. The query string may differ between attempts.
func requestAttempt(method string, target routes.Target, route *routes.Route, tenant *routes.Tenant, caller string, body []byte, id string) RequestAttempt {
	origin := route.Host
	if tenant != nil { // without one the fingerprint is that of VMs of older builds
		origin += " " + tenant.Name
	}
	from := model.ServiceID(origin + " " + caller)
	return RequestAttempt{
		Fingerprint: poison.Fingerprint(from, method+" "+target.Path, body),
		Exact:       poison.Fingerprint(from, "exact "+method+" "+target.URI, body),
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
