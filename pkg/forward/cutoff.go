package forward

import (
	"context"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

const (
	// cutoffMarginShare is the share of the target that is left for the network
	// between the caller and this VM if its round-trip time is not known.
	cutoffMarginShare = 0.14
	// minCutoffMargin is the least such time: a caller some milliseconds away
	// needs it even if the target is short.
	minCutoffMargin = 9 * time.Millisecond
	// cutoffProcessingShare is the share of the target, but at least
	// minCutoffProcessing, that is left to merge and write a response after the
	// cutoff, and for the time before this VM has read the request.
	cutoffProcessingShare = 0.06
	minCutoffProcessing   = 4 * time.Millisecond
	// maxRoundTripShare bounds the share of the target that one round trip is
	// taken to last: a measurement during packet loss can be far too high.
	maxRoundTripShare = 0.2
)

// nextRequestRoundTrips returns the time that a request spends on the network
// between the caller and this VM: a round trip, and another one for the handshake
// if the request is the first of its connection. It returns 0 if that is not known.
func nextRequestRoundTrips(ctx context.Context) time.Duration {
	c := callerConnOf(ctx)
	if c == nil {
		return 0
	}
	if c.requests.Add(1) == 1 {
		return 2 * c.RoundTrip
	}
	return c.RoundTrip
}

// cutoffAfter returns the time from the arrival of a query within which a response
// must be sent to reach the caller within the target. networkTime is the time that
// the request and the response spend on the network, 0 if it is not known.
func cutoffAfter(r *routes.Route, networkTime time.Duration) time.Duration {
	target := float64(r.Target)
	margin := max(time.Duration(cutoffMarginShare*target), minCutoffMargin)
	if networkTime > 0 {
		networkTime = min(networkTime, time.Duration(2*maxRoundTripShare*target))
		margin = networkTime + max(time.Duration(cutoffProcessingShare*target), minCutoffProcessing)
	}
	return max(r.Target-margin, r.Target/2)
}
