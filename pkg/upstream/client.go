// Package upstream implements the client of one upstream. It sends requests,
// cancellations and status requests, and reports whether a failed request may have
// run. It never sends a request twice.
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

// Limits and timeouts of the client.
const (
	// MaxReplyBytes is the largest reply; the rows of a reply must fit into a frame
	// of a traffic connection between VMs.
	MaxReplyBytes = 4 << 20
	// DefaultSpareConns is the default of Config.SpareConns.
	DefaultSpareConns = 2
	// minConns is one connection for work and one for control.
	minConns = 2
	// idleTimeout is the time without use after which a connection is closed.
	idleTimeout = 90 * time.Second
	// drainTimeout is how long the reply to a request that was given up is awaited to
	// keep its connection. A canceled run is answered in milliseconds.
	drainTimeout = time.Second
)

// Config configures a Client.
type Config struct {
	Replica model.ReplicaID
	Addr    string
	// MaxConns is the largest number of connections to the replica, including the
	// control connection; values below 2 count as 2.
	MaxConns int
	// SpareConns is the number of connections that are opened before they are needed;
	// 0 means DefaultSpareConns and a negative value means none.
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
	// Payload is a JSON value; empty means null.
	Payload []byte
	// RowLimit is the largest number of rows in the reply to a search.
	RowLimit int
	// ProgressTimeout is the longest wait for the first response byte; 0 means
	// until the deadline.
	ProgressTimeout time.Duration
}

// RunResponse is the reply to a RunRequest. CheckResponse compares it with the
// request.
type RunResponse struct {
	Instance string
	Snapshot model.Snapshot
	Shards   []model.ShardID
	Rows     []Row
	// Result is the JSON value that a lookup operation returned, or empty.
	Result []byte
}

// Row is one result row. Numbers in Key are float64. Data is a JSON value.
type Row struct {
	Key  []any
	Data []byte
}

// Status is the status that an upstream reports.
type Status struct {
	Instance  string
	State     string
	Slots     int
	Snapshots []model.Snapshot
}

// Client sends requests to one upstream. It is safe for concurrent use.
type Client struct {
	config           Config
	ctx              context.Context
	stop             context.CancelFunc
	workConns        *connector
	workTransport    *http.Transport
	controlTransport *http.Transport
	cancelQueue      chan string
	droppedCancels   atomic.Uint64
}

// New returns a client and starts to open its spare connections.
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
	workConns := newConnector(ctx, c.Dial, c.Addr, c.MaxConns-1, c.SpareConns)
	controlConns := newConnector(ctx, c.Dial, c.Addr, 1, 0)
	client := &Client{
		config:           c,
		ctx:              ctx,
		stop:             stop,
		workConns:        workConns,
		workTransport:    newTransport(workConns, c.MaxConns-1),
		controlTransport: newTransport(controlConns, 1),
		cancelQueue:      make(chan string, maxQueuedCancels),
	}
	workConns.wakeMaintainer()
	go client.sendCancels()
	return client
}

// newTransport returns a transport whose connections come from k.
func newTransport(k *connector, limit int) *http.Transport {
	return &http.Transport{
		DialContext:         k.get,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: limit,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close ends all requests that are in progress and closes all connections.
func (c *Client) Close() {
	c.stop()
	c.workTransport.CloseIdleConnections()
	c.controlTransport.CloseIdleConnections()
}

// retireIdle closes all connections that are not in use. It is called when a
// connection is silent: whatever lost the state of that connection, such as a network
// device, has probably lost that of the others as well.
func (c *Client) retireIdle() {
	c.workConns.closeSpares()
	c.workTransport.CloseIdleConnections()
	c.controlTransport.CloseIdleConnections()
	c.workConns.wakeMaintainer()
}

// Run sends one request and returns the reply. Every error is an *errs.Refusal, whose
// run state is DidNotRun only if no byte of the request was sent or the upstream
// reported it. When ctx or the deadline ends first, Run returns at once, and the reply
// is read in the background to keep the connection. Run does not cancel the request at
// the upstream; Cancel does.
func (c *Client) Run(ctx context.Context, r RunRequest) (*RunResponse, error) {
	if err := ctx.Err(); err != nil {
		return nil, errs.Refuse(contextErrorCode(err), "%s: %v", c.config.Replica, err)
	}
	if !time.Now().Before(r.Deadline) {
		return nil, errs.Refuse(errs.DeadlineExceeded, "%s: no time is left", c.config.Replica)
	}
	body, err := encodeRequest(r, time.Now())
	if err != nil {
		return nil, err
	}
	a := newAttempt(c, r)
	go a.exchange(body)
	return a.wait(ctx)
}

// contextErrorCode returns the code for the error of an ended context.
func contextErrorCode(err error) errs.Code {
	if err == context.DeadlineExceeded {
		return errs.DeadlineExceeded
	}
	return errs.Canceled
}
