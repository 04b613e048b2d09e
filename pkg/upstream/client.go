// Package upstream is the client of one upstream: it runs requests, cancels
// them and asks for the status, and tells truthfully whether a request that
// failed can have run. It never repeats a request.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Limits and times of the client.
const (
	// MaxReplyBytes is the largest reply in bytes; one row set must fit into a
	// traffic frame between VMs.
	MaxReplyBytes = 4 << 20
	// DefaultSpareConns is the number of connections opened ahead of need.
	DefaultSpareConns = 2
	// minConns is one connection for work and one for control.
	minConns = 2
	// idleTimeout closes connections that were not used for so long.
	idleTimeout = 90 * time.Second
	// drainTimeout bounds how long the reply to an abandoned request is
	// awaited to keep its connection. A cancelled run answers in milliseconds.
	drainTimeout = time.Second
)

// Config configures a Client.
type Config struct {
	Replica model.ReplicaID
	Addr    string
	// MaxConns bounds all connections to the replica, the control connection
	// included; values below 2 are raised to 2.
	MaxConns int
	// SpareConns is the number of connections opened ahead of need; 0 means
	// DefaultSpare and a negative value none.
	SpareConns int
	// Dial opens a connection; nil means a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// RunRequest is one request to an upstream.
type RunRequest struct {
	RequestID string
	Service   model.ServiceID
	Operation string
	Snapshot  model.Snapshot
	Shards    []model.ShardID
	// Deadline must be set.
	Deadline time.Time
	// Payload is a JSON value; empty stands for null.
	Payload []byte
	// RowLimit is the largest number of rows in the reply.
	RowLimit int
	// ProgressTimeout is the longest wait for the first response byte; 0 means
	// until the deadline.
	ProgressTimeout time.Duration
}

// RunResponse is the reply to a RunRequest, as the upstream sent it.
type RunResponse struct {
	Instance string
	Snapshot model.Snapshot
	Shards   []model.ShardID
	Rows     []Row
	// Result is a JSON value, or empty.
	Result []byte
}

// Row is one result row. Numbers in Key are float64. Data is a JSON value.
type Row struct {
	Key  []any
	Data []byte
}

// Status is what an upstream reports of itself.
type Status struct {
	Instance  string
	State     string
	Slots     int
	Snapshots []model.Snapshot
}

// Client talks to one upstream. It may be used concurrently.
type Client struct {
	config  Config
	ctx     context.Context
	stop    context.CancelFunc
	spares  *connector
	work    *http.Transport
	control *http.Transport
	cancels chan string
	dropped atomic.Uint64
}

// New returns a client and starts to open connections ahead of need.
func New(c Config) *Client {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.SpareConns == 0 {
		c.SpareConns = DefaultSpareConns
	}
	c.SpareConns = max(0, c.SpareConns)
	c.MaxConns = max(minConns, c.MaxConns)
	ctx, stop := context.WithCancel(context.Background())
	spares := newConnector(ctx, c.Dial, c.Addr, c.MaxConns-1, c.SpareConns)
	control := newConnector(ctx, c.Dial, c.Addr, 1, 0)
	client := &Client{
		config:  c,
		ctx:     ctx,
		stop:    stop,
		spares:  spares,
		work:    newTransport(spares, c.MaxConns-1),
		control: newTransport(control, 1),
		cancels: make(chan string, cancelQueue),
	}
	spares.signal()
	go client.sendCancels()
	return client
}

// newTransport returns a transport whose connections come from k.
func newTransport(k *connector, limit int) *http.Transport {
	return &http.Transport{
		DialContext:         k.take,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: limit,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close ends all requests in progress and closes all connections.
func (c *Client) Close() {
	c.stop()
	c.work.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// retireIdle closes all connections that are not in use. It is called when a
// connection went silent, because whatever lost its state has probably lost
// that of the others as well.
func (c *Client) retireIdle() {
	c.spares.drop()
	c.work.CloseIdleConnections()
	c.control.CloseIdleConnections()
	c.spares.signal()
}

// Run sends one request and returns the upstream's reply. Every error is an
// *errs.Refusal whose run state is DidNotRun only when no byte of the request
// left or the upstream said so. When ctx or the deadline ends first, Run
// returns at once and the reply is drained in the background, which keeps the
// connection; the caller sends Cancel if the run shall stop.
func (c *Client) Run(ctx context.Context, r RunRequest) (*RunResponse, error) {
	if err := ctx.Err(); err != nil {
		return nil, errs.Refuse(endCode(err), "%s: %v", c.config.Replica, err)
	}
	if !time.Now().Before(r.Deadline) {
		return nil, errs.Refuse(errs.DeadlineExceeded, "%s: no time is left", c.config.Replica)
	}
	body, err := encode(r, time.Now())
	if err != nil {
		return nil, err
	}
	a := newAttempt(c, r)
	go a.exchange(body)
	return a.wait(ctx)
}

// endCode returns the code for the end of a context.
func endCode(err error) errs.Code {
	if err == context.DeadlineExceeded {
		return errs.DeadlineExceeded
	}
	return errs.Canceled
}
