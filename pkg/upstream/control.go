package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Limits of the control connection.
const (
	// cancelQueue bounds the cancellations that wait; a cancellation only
	// saves work, so further ones are dropped.
	cancelQueue = 256
	// cancelAttempts is the number of times a cancellation is sent; the second
	// one uses a new connection.
	cancelAttempts = 2
	// stopRetry is the wait between two cancellations that Stop sends.
	stopRetry = 50 * time.Millisecond
	// controlTimeout bounds one exchange, so that a silent control connection
	// is replaced.
	controlTimeout = time.Second
	// maxControlReply bounds replies on the control connection in bytes.
	maxControlReply = 1 << 20
)

// Cancel asks the upstream to stop the runs of a request. It returns at once;
// the cancellation is sent on the control connection and may be lost.
func (c *Client) Cancel(requestID string) {
	select {
	case c.cancels <- requestID:
	default:
		c.dropped.Add(1)
	}
}

// CancelAndWait cancels the runs of a request and returns once the upstream has
// acknowledged it, or when ctx or the client ends.
func (c *Client) CancelAndWait(ctx context.Context, requestID string) error {
	body, err := json.Marshal(map[string]string{"request_id": requestID})
	if err != nil {
		return errs.Refuse(errs.InvalidRequest, "request id: %v", err)
	}
	for {
		_, err := c.exchange(ctx, http.MethodPost, "/cancel", body)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(stopRetry):
		case <-ctx.Done():
			return err
		case <-c.ctx.Done():
			return err
		}
	}
}

// DroppedCancels returns the number of cancellations that were not sent.
func (c *Client) DroppedCancels() uint64 { return c.dropped.Load() }

// sendCancels sends queued cancellations one after the other.
func (c *Client) sendCancels() {
	for {
		select {
		case id := <-c.cancels:
			c.sendCancel(id)
		case <-c.ctx.Done():
			return
		}
	}
}

// sendCancel sends one cancellation. It may be repeated because a second one
// has no effect.
func (c *Client) sendCancel(id string) {
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil {
		return
	}
	for range cancelAttempts {
		if _, err := c.exchange(c.ctx, http.MethodPost, "/cancel", body); err == nil {
			return
		}
	}
	c.dropped.Add(1)
}

// Status asks the upstream for its state. What it reports can be stale or
// wrong. Errors are *errs.Refusal with run state DidNotRun.
func (c *Client) Status(ctx context.Context) (Status, error) {
	data, err := c.exchange(ctx, http.MethodGet, "/status", nil)
	if err != nil {
		return Status{}, err
	}
	var body struct {
		Instance string           `json:"instance"`
		State    string           `json:"state"`
		Slots    int              `json:"slots"`
		Versions []model.Snapshot `json:"versions"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return Status{}, errs.Refuse(errs.ResponseMismatch, "%s: malformed status: %v", c.config.Replica, err)
	}
	return Status{Instance: body.Instance, State: body.State, Slots: body.Slots, Snapshots: body.Versions}, nil
}

// exchange makes one exchange on the control connection.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	limited, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	request, err := http.NewRequestWithContext(limited, method, "http://"+c.config.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Refuse(errs.InvalidRequest, "%s: %v", path, err)
	}
	response, err := c.control.RoundTrip(request)
	if err != nil {
		return nil, c.controlFailure(ctx, limited, path, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxControlReply))
	if err != nil {
		return nil, c.controlFailure(ctx, limited, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errs.Refuse(errs.UpstreamFailed, "%s %s: status %d", c.config.Replica, path, response.StatusCode)
	}
	return data, nil
}

// controlFailure classifies the failure of an exchange: the caller's context,
// a silent connection or a lost one.
func (c *Client) controlFailure(ctx, limited context.Context, path string, err error) *errs.Refusal {
	code := errs.UpstreamLost
	switch {
	case ctx.Err() != nil:
		code = endCode(ctx.Err())
	case limited.Err() == context.DeadlineExceeded:
		code = errs.ConnectionSilent
	}
	return errs.Refuse(code, "%s %s: %v", c.config.Replica, path, err)
}
