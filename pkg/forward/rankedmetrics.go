package forward

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/overload"
)

// countedPriorities is the number of priorities with a metric of their own; the lower
// ones share one, because the configuration does not bound them.
const countedPriorities = 4

// admissionRefusals counts requests that were not admitted, by priority and reason.
type admissionRefusals [countedPriorities + 1]map[overload.Reason]tally.Counter

func newAdmissionRefusals(scope tally.Scope) admissionRefusals {
	var c admissionRefusals
	for i := range c {
		label := strconv.Itoa(i)
		if i == countedPriorities {
			label = "lower"
		}
		c[i] = map[overload.Reason]tally.Counter{}
		for _, reason := range overload.Reasons {
			c[i][reason] = scope.Tagged(map[string]string{"priority": label, "reason": string(reason)}).Counter("admission_refusals")
		}
	}
	return c
}

func (c *admissionRefusals) count(priority int, reason overload.Reason) {
	c[min(max(0, priority), countedPriorities)][reason].Inc(1)
}
