package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/topk"
	"github.com/nutmeghitch/nutmeghitch/platform"
	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

// callerDeadline is what a caller waits for an answer.
const callerDeadline = 3 * time.Second

// asked is one request of a caller with what it saw.
type asked struct {
	id, path   string
	idempotent bool
	vm         *vm
	start      time.Time
	status     int
	err        error
	// tenant holds the caller's key, "" without tenants; wrongKey is set if the key that
	// the request has is another one.
	tenant   string
	wrongKey bool
}

// fanOut reports whether the request goes to all shards.
func (a asked) fanOut() bool { return strings.HasPrefix(a.path, "/all/") }

// checker compares what callers and replicas saw with the promises.
type checker struct {
	runs *standin.RunLog
	// sets are the shard sets that a configuration named.
	sets [][]string
	// tenants is set if callers need keys.
	tenants bool
	// mostOfCap is the greatest part of what a window allows that has reached replicas.
	mostOfCap float64

	mu     sync.Mutex
	served int
	all    []asked
	broken []string
}

func (c *checker) breach(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func (c *checker) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// call sends requests over kept connections to random VMs until ctx ends.
func (c *checker) call(ctx context.Context, number int, vms []*vm, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		a := asked{id: fmt.Sprintf("c%d-%d", number, i), vm: vms[random.IntN(len(vms))], start: time.Now()}
		method := http.MethodGet
		switch random.IntN(4) {
		case 0:
			a.path, a.idempotent = "/read/x", true
		case 1:
			a.path, method = "/book/x", http.MethodPost
		default:
			a.path, a.idempotent = "/all/x", true
		}
		if c.tenants {
			a.tenant, a.wrongKey = tenantName(number), random.IntN(wrongKeyShare) == 0
		}
		c.ask(client, method, &a)
		pause := time.NewTimer(time.Duration(5+random.IntN(20)) * time.Millisecond)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

func (c *checker) ask(client *http.Client, method string, a *asked) {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("booking " + a.id)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.vm.CallersAddr+a.path, body)
	if err != nil {
		c.breach("%s: %v", a.id, err)
		return
	}
	request.GetBody = nil // the transport must not send a request twice
	request.Host = siteHost
	request.Header.Set(platform.Headers.RequestID, a.id)
	request.Header.Set(platform.Headers.Deadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	a.addKey(request.Header)
	response, err := client.Do(request)
	a.err = err
	if err == nil {
		content, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close() // the body has been read
		a.status, a.err = response.StatusCode, readErr
		if readErr == nil && response.StatusCode == http.StatusOK {
			c.checkAnswer(a, response.Header, content)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, *a)
	if a.status == http.StatusOK && a.err == nil {
		c.served++
	}
}

// checkAnswer checks a success.
func (c *checker) checkAnswer(a *asked, header http.Header, body []byte) {
	if !a.fanOut() {
		service := singleService
		if header.Get(platform.Headers.Receipt) != standin.Receipt(service, a.id) || !bytes.Equal(body, standin.Body(service, a.id)) {
			c.breach("%s: the answer is not the whole answer of %s", a.id, service)
		}
		return
	}
	var services []string
	var parts [][]byte
	for _, receipt := range strings.Split(header.Get(platform.Headers.Receipts), ", ") {
		service, id, _ := strings.Cut(receipt, ".")
		if id != a.id || slices.Contains(services, service) {
			c.breach("%s: receipt %q", a.id, receipt)
			return
		}
		services, parts = append(services, service), append(parts, standin.Body(service, a.id))
	}
	if !bytes.Equal(body, topk.Merge(standin.TopK, parts)) {
		c.breach("%s: the body is not the merge of %v", a.id, services)
	}
	missing, err := strconv.Atoi(header.Get(platform.Headers.MissingShards))
	if err != nil || !c.oneSet(services, missing) {
		c.breach("%s: parts %v and %q missing are no set of shards", a.id, services, header.Get(platform.Headers.MissingShards))
	}
}

// oneSet reports whether the services and the missing ones make up a set that
// a configuration named.
func (c *checker) oneSet(services []string, missing int) bool {
	for _, set := range c.sets {
		if len(services)+missing == len(set) && !slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(set, s) }) {
			return float64(len(services)) >= minCoverage*float64(len(set))
		}
	}
	return false
}

// finish checks what can be told only when all sends have ended.
func (c *checker) finish() {
	c.checkCap()
	for _, a := range c.all {
		c.checkTenant(a)
		ran := c.runs.ServicesOf(a.id)
		if !a.idempotent && len(ran) > 1 {
			c.breach("%s: ran %d times", a.id, len(ran))
		}
		refused := a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests)
		if refused && len(ran) > 0 {
			c.breach("%s: status %d, but it ran at %v", a.id, a.status, ran)
		}
		if !a.fanOut() && slices.ContainsFunc(ran, func(s string) bool { return s != singleService }) {
			c.breach("%s: ran at %v", a.id, ran)
		}
		if a.err != nil && len(ran) > 0 && !a.vm.disturbedSince(a.start.Add(-calmBefore)) && time.Since(a.start) > callerDeadline && c.cut(a) {
			c.breach("%s: the connection ended without an answer on a VM that was only stopped as planned: %v", a.id, a.err)
		}
	}
}

// calmBefore is the time without faults that the promise of a planned stop
// takes for granted.
const calmBefore = 10 * time.Second

// cut reports whether a connection ended before the caller's deadline.
func (c *checker) cut(a asked) bool {
	return strings.Contains(a.err.Error(), "EOF") || strings.Contains(a.err.Error(), "reset")
}
