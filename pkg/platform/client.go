package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Limits and time-outs of calls.
const (
	// MaxValueBytes is the size of the largest value that the platform stores.
	MaxValueBytes = 1 << 20
	// DefaultCallTimeout bounds a call; the platform answers in milliseconds
	// when it is well.
	DefaultCallTimeout = 2 * time.Second
	// maxListBody bounds the reply to a list: 64 claim objects of 1 MB each
	// are 86 MB in base64.
	maxListBody = 128 << 20
	// maxSmallBody bounds all other replies but values.
	maxSmallBody = 4 << 20
	// maxIdleConns is the number of connections kept open between calls.
	maxIdleConns = 4
	// idleTimeout closes unused connections before a path element forgets them.
	idleTimeout = 30 * time.Second
)

// Config configures a Client.
type Config struct {
	// URL is the base URL of the object API.
	URL string
	// Token is sent as bearer token unless it is empty.
	Token string
	// CallsPerSecond and BurstCalls are the rate and the size of the call
	// budget; a rate of 0 means unlimited calls.
	CallsPerSecond float64
	BurstCalls     int
	// CallTimeout bounds each call; 0 means DefaultCallTimeout. A watch may
	// take that much longer than its own time-out.
	CallTimeout time.Duration
	// Now is the clock of the budget; nil means time.Now.
	Now func() time.Time
	// Dial replaces the default dialler when set.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// CallKind is the API operation that a call uses.
type CallKind string

// Operations of the object API.
const (
	KindGet    CallKind = "get"
	KindPut    CallKind = "put"
	KindDelete CallKind = "delete"
	KindList   CallKind = "list"
	KindWatch  CallKind = "watch"
	KindVMs    CallKind = "vms"
)

// CallCounts counts the calls that a Client has made since it was created.
type CallCounts struct {
	// Sent counts the calls that got a connection, by kind.
	Sent map[CallKind]uint64
	// Failed counts the calls that ended with PlatformDown.
	Failed uint64
	// RefusedByBudget counts the calls that the client's own call budget
	// refused before anything was sent.
	RefusedByBudget uint64
	// RefusedByPlatform counts the calls that the platform refused because
	// they exceeded its rate limits.
	RefusedByPlatform uint64
}

// Client implements Store over the platform's HTTP API. It may be used
// concurrently.
type Client struct {
	config    Config
	budget    *Budget
	transport *http.Transport

	mu    sync.Mutex
	calls CallCounts
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It makes no call yet.
func NewClient(c Config) *Client {
	if c.CallTimeout == 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	c.URL = strings.TrimSuffix(c.URL, "/")
	return &Client{
		config: c,
		budget: NewBudget(c.CallsPerSecond, c.BurstCalls, c.Now),
		transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			DialContext:         c.Dial,
		},
		calls: CallCounts{Sent: map[CallKind]uint64{}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Calls returns a copy of the counters.
func (c *Client) Calls() CallCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := c.calls
	copied.Sent = map[CallKind]uint64{}
	for kind, n := range c.calls.Sent {
		copied.Sent[kind] = n
	}
	return copied
}

// count changes the counters.
func (c *Client) count(change func(*CallCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.calls)
}

// call is one call to the API.
type call struct {
	kind      CallKind
	method    string
	path      string
	header    http.Header
	body      []byte
	maxReply  int
	extraTime time.Duration
}

// writes reports whether the call can have an effect.
func (k call) writes() bool { return k.kind == KindPut || k.kind == KindDelete }

// down returns the failure of a call whose outcome is not known. A write may
// have run once it had a connection; a read has no effect in any case.
func (k call) down(sent bool, format string, args ...any) *errs.Refusal {
	if k.writes() && sent {
		return errs.Ambiguous(errs.PlatformDown, format, args...)
	}
	return errs.Refuse(errs.PlatformDown, format, args...)
}

// reply is the answer to a call.
type reply struct {
	version string
	body    []byte
}

// do makes one call. Every error is an *errs.Refusal.
func (c *Client) do(ctx context.Context, k call) (reply, error) {
	if err := c.budget.Take(); err != nil {
		c.count(func(n *CallCounts) { n.RefusedByBudget++ })
		return reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout+k.extraTime)
	defer cancel()
	answer, err := c.exchange(ctx, k)
	if err == nil {
		return answer, nil
	}
	switch err.Code {
	case errs.PlatformDown:
		c.count(func(n *CallCounts) { n.Failed++ })
	case errs.PlatformThrottled:
		c.count(func(n *CallCounts) { n.RefusedByPlatform++ })
	}
	if ctx.Err() != nil {
		// The call hung; idle connections may have lost their path as well.
		c.transport.CloseIdleConnections()
	}
	return reply{}, err
}

// exchange sends the request and reads the answer.
func (c *Client) exchange(ctx context.Context, k call) (reply, *errs.Refusal) {
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		sent = true
		c.count(func(n *CallCounts) { n.Sent[k.kind]++ })
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, c.config.URL+k.path, bytes.NewReader(k.body))
	if err != nil {
		return reply{}, errs.Refuse(errs.InvalidRequest, "%s %s: %v", k.method, k.path, err)
	}
	request.GetBody = nil // a write must not be repeated by net/http
	for name, values := range k.header {
		request.Header[name] = values
	}
	if c.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return reply{}, k.down(sent, "%s %s: %v", k.method, k.path, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(k.maxReply)+1))
	if err != nil {
		return reply{}, k.down(sent, "%s %s: reading the reply: %v", k.method, k.path, err)
	}
	if refusal := k.classify(response); refusal != nil {
		return reply{}, refusal
	}
	if len(body) > k.maxReply {
		return reply{}, k.down(sent, "%s %s: reply exceeds %d bytes", k.method, k.path, k.maxReply)
	}
	version := strings.Trim(response.Header.Get("ETag"), `"`)
	return reply{version: version, body: body}, nil
}

// classify turns a status code into a refusal, or nil for success. A server
// error of a write is ambiguous, because the platform may have failed after
// the effect.
func (k call) classify(response *http.Response) *errs.Refusal {
	where := k.method + " " + k.path
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return errs.Refuse(errs.PlatformNotFound, "%s", where)
	case http.StatusPreconditionFailed:
		return errs.Refuse(errs.PlatformConflict, "%s", where)
	case http.StatusGone:
		return errs.Refuse(errs.PlatformWatchGap, "%s", where)
	case http.StatusRequestEntityTooLarge:
		return errs.Refuse(errs.TooLarge, "%s", where)
	case http.StatusBadRequest:
		return errs.Refuse(errs.InvalidRequest, "%s", where)
	case http.StatusUnauthorized, http.StatusForbidden:
		return errs.Refuse(errs.Unauthorized, "%s", where)
	case http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		wait := time.Duration(seconds) * time.Second
		return errs.Refuse(errs.PlatformThrottled, "%s", where).WithRetryAfter(wait)
	default:
		return k.down(true, "%s: status %d", where, response.StatusCode)
	}
}
