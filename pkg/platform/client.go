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

// Limits and timeouts of calls.
const (
	// MaxValueBytes is the size of the largest value that the platform stores.
	MaxValueBytes = 1 << 20
	// DefaultCallTimeout limits the duration of a call. A healthy platform
	// answers in milliseconds.
	DefaultCallTimeout = 2 * time.Second
	// maxListReplyBytes limits the reply to a list call: 64 claim objects of 1 MB
	// each are 86 MB in base64.
	maxListReplyBytes = 128 << 20
	// maxSmallReplyBytes limits the replies to all other calls, except the value
	// that a get returns.
	maxSmallReplyBytes = 4 << 20
	// maxIdleConns limits the connections kept open between calls.
	maxIdleConns = 4
	// idleTimeout closes unused connections before a firewall or NAT on the
	// path drops their state.
	idleTimeout = 30 * time.Second
)

// Config configures a Client.
type Config struct {
	// URL is the base URL of the object API.
	URL string
	// Token is sent as the bearer token unless it is empty.
	Token string
	// CallsPerSecond and BurstCalls are the rate and the size of the call
	// budget; a rate of 0 means unlimited calls.
	CallsPerSecond float64
	BurstCalls     int
	// CallTimeout limits the duration of each call; 0 means
	// DefaultCallTimeout. A watch call may last its own timeout longer.
	CallTimeout time.Duration
	// Now is the clock of the call budget; nil means time.Now.
	Now func() time.Time
	// Dial opens the connections; nil means the dialer of net/http.
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

// Client implements Store over the platform's HTTP API. It is safe for
// concurrent use.
type Client struct {
	config    Config
	budget    *CallBudget
	transport *http.Transport

	mu     sync.Mutex
	counts CallCounts
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It does not contact the platform.
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
		budget: NewCallBudget(c.CallsPerSecond, c.BurstCalls, c.Now),
		transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			DialContext:         c.Dial,
		},
		counts: CallCounts{Sent: map[CallKind]uint64{}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Calls returns a copy of the counters.
func (c *Client) Calls() CallCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := c.counts
	copied.Sent = map[CallKind]uint64{}
	for kind, n := range c.counts.Sent {
		copied.Sent[kind] = n
	}
	return copied
}

// updateCounts applies change to the counters while holding the lock.
func (c *Client) updateCounts(change func(*CallCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

// call describes a request to the object API.
type call struct {
	kind          CallKind
	method        string
	path          string
	header        http.Header
	body          []byte
	maxReplyBytes int
	extraTimeout  time.Duration
}

// isWrite reports whether the call can change an object.
func (k call) isWrite() bool { return k.kind == KindPut || k.kind == KindDelete }

// downError returns the PlatformDown error for a call without a usable reply.
// The outcome of a write is unknown once the call got a connection. A read
// never has an effect.
func (k call) downError(connected bool, format string, args ...any) *errs.Refusal {
	if k.isWrite() && connected {
		return errs.Ambiguous(errs.PlatformDown, format, args...)
	}
	return errs.Refuse(errs.PlatformDown, format, args...)
}

// reply is the successful reply to a call.
type reply struct {
	version string
	body    []byte
}

// do makes a call if the call budget allows it and updates the counters. Every
// error is an *errs.Refusal.
func (c *Client) do(ctx context.Context, k call) (reply, error) {
	if err := c.budget.Take(); err != nil {
		c.updateCounts(func(counts *CallCounts) { counts.RefusedByBudget++ })
		return reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout+k.extraTimeout)
	defer cancel()
	answer, err := c.roundTrip(ctx, k)
	if err == nil {
		return answer, nil
	}
	switch err.Code {
	case errs.PlatformDown:
		c.updateCounts(func(counts *CallCounts) { counts.Failed++ })
	case errs.PlatformThrottled:
		c.updateCounts(func(counts *CallCounts) { counts.RefusedByPlatform++ })
	}
	if ctx.Err() != nil {
		// The call timed out or was canceled. The network path of the idle
		// connections may be broken as well, so the next call must open a new one.
		c.transport.CloseIdleConnections()
	}
	return reply{}, err
}

// roundTrip sends the request and reads the reply.
func (c *Client) roundTrip(ctx context.Context, k call) (reply, *errs.Refusal) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		connected = true
		c.updateCounts(func(counts *CallCounts) { counts.Sent[k.kind]++ })
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, c.config.URL+k.path, bytes.NewReader(k.body))
	if err != nil {
		return reply{}, errs.Refuse(errs.InvalidRequest, "%s %s: %v", k.method, k.path, err)
	}
	request.GetBody = nil // prevents net/http from repeating a write
	for name, values := range k.header {
		request.Header[name] = values
	}
	if c.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return reply{}, k.downError(connected, "%s %s: %v", k.method, k.path, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(k.maxReplyBytes)+1))
	if err != nil {
		return reply{}, k.downError(connected, "%s %s: reading the reply: %v", k.method, k.path, err)
	}
	if refusal := k.refusalFor(response); refusal != nil {
		return reply{}, refusal
	}
	if len(body) > k.maxReplyBytes {
		return reply{}, k.downError(connected, "%s %s: reply exceeds %d bytes", k.method, k.path, k.maxReplyBytes)
	}
	version := strings.Trim(response.Header.Get("ETag"), `"`)
	return reply{version: version, body: body}, nil
}

// refusalFor returns the refusal for the status code of a response, or nil for
// success. A server error leaves the outcome of a write unknown, because the
// platform may have failed after it stored the object.
func (k call) refusalFor(response *http.Response) *errs.Refusal {
	endpoint := k.method + " " + k.path
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return errs.Refuse(errs.PlatformNotFound, "%s", endpoint)
	case http.StatusPreconditionFailed:
		return errs.Refuse(errs.PlatformConflict, "%s", endpoint)
	case http.StatusGone:
		return errs.Refuse(errs.PlatformWatchGap, "%s", endpoint)
	case http.StatusRequestEntityTooLarge:
		return errs.Refuse(errs.TooLarge, "%s", endpoint)
	case http.StatusBadRequest:
		return errs.Refuse(errs.InvalidRequest, "%s", endpoint)
	case http.StatusUnauthorized, http.StatusForbidden:
		return errs.Refuse(errs.Unauthorized, "%s", endpoint)
	case http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		wait := time.Duration(seconds) * time.Second
		return errs.Refuse(errs.PlatformThrottled, "%s", endpoint).WithRetryAfter(wait)
	default:
		return k.downError(true, "%s: status %d", endpoint, response.StatusCode)
	}
}
