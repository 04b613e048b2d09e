package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/overload"
)

// requestLabel names a request in the log. Its fields are empty while they are not known.
type requestLabel struct {
	id, route string
	// reason tells why the request was not admitted by its priority, "" if it was.
	reason   overload.Reason
	priority int
}

// refuse logs and answers a request that was not sent to any replica.
func (f *Forwarder) refuse(w http.ResponseWriter, label requestLabel, start time.Time, refusal *errs.Refusal) {
	fields := logrus.Fields{
		"id": label.id, "route": label.route, "code": refusal.Code, "detail": refusal.Detail, "duration_ms": milliseconds(time.Since(start)),
	}
	if label.reason != "" {
		fields["reason"], fields["priority"], fields["retry_after_ms"] = label.reason, label.priority, milliseconds(refusal.RetryAfter)
	}
	f.log.WithFields(fields).Info("request refused before it was sent to a replica")
	f.writeRefusal(w, label.id, refusal)
}

func (f *Forwarder) writeRefusal(w http.ResponseWriter, id string, refusal *errs.Refusal) {
	f.metrics.refusals.Inc(1)
	f.setConnection(w)
	h := w.Header()
	if id != "" {
		h.Set(f.headers.RequestID, id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	content := refusal.Error() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(refusalStatus(refusal))
	// The write fails only if the caller has disconnected; net/http then closes
	// the connection.
	_, _ = w.Write([]byte(content))
}
