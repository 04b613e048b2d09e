package frontend

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// TestRefusalsShowNoAddresses guards against refusals that show callers the
// addresses in the details of failed connections inside the site.
func TestRefusalsShowNoAddresses(t *testing.T) {
	for _, code := range []errs.Code{
		errs.UpstreamLost, errs.ConnectionSilent, errs.PeerLost, errs.PeerUnreachable, errs.ClaimUnavailable,
	} {
		w := httptest.NewRecorder()
		writeRefusal(w, "id", errs.Ambiguous(code, "read tcp 10.1.2.3:4000: reset"), 0)
		body := w.Body.String()
		assert.Assert(t, !strings.Contains(body, "10.1.2.3"), body)
		assert.Assert(t, strings.Contains(body, string(code)), body)
	}
}
