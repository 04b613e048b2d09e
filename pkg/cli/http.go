package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// maxAnswerBytes bounds an answer that a command reads.
const maxAnswerBytes = 64 << 20

// answerMargin is how long a command waits for the answer beyond the
// request's deadline.
const answerMargin = 2 * time.Second

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Code         errs.Code `json:"code"`
	RunState     string    `json:"run_state"`
	Detail       string    `json:"detail"`
	RetryAfterMS int64     `json:"retry_after_ms"`
}

// exchange is one HTTP request of a command.
type exchange struct {
	method, base string
	path         []string
	header       map[string]string
	body         []byte
	timeout      time.Duration
}

// send returns the answer's body, or the refusal of the VM. A failure of the
// connection is a refusal too: the request did not run only if no connection
// was made.
func (a *app) send(ctx context.Context, x exchange) ([]byte, error) {
	base, err := url.Parse(x.base)
	if err != nil || base.Host == "" {
		return nil, &UsageError{Problem: "not a URL: " + x.base}
	}
	segments := make([]string, len(x.path))
	for i, s := range x.path {
		segments[i] = url.PathEscape(s)
	}
	ctx, cancel := context.WithTimeout(ctx, x.timeout+answerMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, x.method, base.JoinPath(segments...).String(), bytes.NewReader(x.body))
	if err != nil {
		return nil, &UsageError{Problem: err.Error()}
	}
	for name, value := range x.header {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	// Without this the HTTP client may repeat a request on a new connection.
	req.GetBody = nil
	resp, err := a.HTTP.Do(req)
	if err != nil {
		return nil, connectionRefusal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errs.Ambiguous(errs.PeerLost, "the answer broke off: %v", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refusalOf(resp.Status, body)
	}
	return body, nil
}

func connectionRefusal(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errs.Refuse(errs.PeerUnreachable, "%v", err)
	}
	return errs.Ambiguous(errs.PeerLost, "%v", err)
}

func refusalOf(status string, body []byte) error {
	var r refusalBody
	if json.Unmarshal(body, &r) != nil || r.Code == "" {
		return errs.Ambiguous(errs.ProtocolMismatch, "answer %s without a refusal", status)
	}
	state := errs.MayHaveRun
	if r.RunState == errs.DidNotRun.String() {
		state = errs.DidNotRun
	}
	return &errs.Refusal{Code: r.Code, RunState: state, Detail: r.Detail, RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond}
}
