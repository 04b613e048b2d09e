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
	// maxQueuedCancels is the number of cancellations that may wait. Further ones are
	// dropped, since a cancellation only saves work of the upstream.
	maxQueuedCancels = 256
	// maxCancelSends is the number of times that a queued cancellation is sent if it
	// fails. The second time uses a new connection.
	maxCancelSends = 2
	// cancelRetryPause is the pause between two cancellations by CancelAndWait.
	cancelRetryPause = 50 * time.Millisecond
	// controlTimeout is the longest time of one exchange, so that a silent control
	// connection is replaced.
	controlTimeout = time.Second
	// maxControlReplyBytes is the number of bytes that are read of a reply on the
	// control connection.
	maxControlReplyBytes = 1 << 20
)

// Cancel asks the upstream to stop the runs of a request. It returns at once;
// the cancellation is sent on the control connection and may be lost.
func (c *Client) Cancel(requestID string) {
	select {
	case c.cancelQueue <- requestID:
	default:
		c.droppedCancels.Add(1)
	}
}

// CancelAndWait asks the upstream to stop the runs of a request. It repeats this until
// the upstream has acknowledged it, or ctx or the client ends.
func (c *Client) CancelAndWait(ctx context.Context, requestID string) error {
	body, err := json.Marshal(map[string]string{"request_id": requestID})
	if err != nil {
		return errs.Refuse(errs.InvalidRequest, "request id: %v", err)
	}
	for {
		_, err := c.controlExchange(ctx, http.MethodPost, "/cancel", body)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(cancelRetryPause):
		case <-ctx.Done():
			return err
		case <-c.ctx.Done():
			return err
		}
	}
}

// DroppedCancels returns the number of cancellations that were not sent because the
// queue was full, or that failed.
func (c *Client) DroppedCancels() uint64 { return c.droppedCancels.Load() }

// sendCancels sends queued cancellations one after the other.
func (c *Client) sendCancels() {
	for {
		select {
		case id := <-c.cancelQueue:
			c.sendCancel(id)
		case <-c.ctx.Done():
			return
		}
	}
}

// sendCancel sends one cancellation, and again if that fails: a cancellation that
// arrives twice has no further effect.
func (c *Client) sendCancel(id string) {
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil {
		return
	}
	for range maxCancelSends {
		if _, err := c.controlExchange(c.ctx, http.MethodPost, "/cancel", body); err == nil {
			return
		}
	}
	c.droppedCancels.Add(1)
}

// Status requests the status of the upstream. It can be out of date or wrong. Errors
// are *errs.Refusal with run state DidNotRun.
func (c *Client) Status(ctx context.Context) (Status, error) {
	data, err := c.controlExchange(ctx, http.MethodGet, "/status", nil)
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

// controlExchange sends a request on the control connection and returns the body of
// the reply.
func (c *Client) controlExchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	limited, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	request, err := http.NewRequestWithContext(limited, method, "http://"+c.config.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Refuse(errs.InvalidRequest, "%s: %v", path, err)
	}
	response, err := c.controlTransport.RoundTrip(request)
	if err != nil {
		return nil, c.controlFailure(ctx, limited, path, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxControlReplyBytes))
	if err != nil {
		return nil, c.controlFailure(ctx, limited, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errs.Refuse(errs.UpstreamFailed, "%s %s: status %d", c.config.Replica, path, response.StatusCode)
	}
	return data, nil
}

// controlFailure returns the refusal for a failed exchange. Its code tells whether the
// caller's context ended, the connection was silent or it was lost.
func (c *Client) controlFailure(ctx, limited context.Context, path string, err error) *errs.Refusal {
	code := errs.UpstreamLost
	switch {
	case ctx.Err() != nil:
		code = contextErrorCode(ctx.Err())
	case limited.Err() == context.DeadlineExceeded:
		code = errs.ConnectionSilent
	}
	return errs.Refuse(code, "%s %s: %v", c.config.Replica, path, err)
}
