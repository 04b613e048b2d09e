package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// consumerDeadline is that of yard-check in podstavek-iskanje.
const consumerDeadline = 6 * time.Second

// attempt is one consumer attempt with its outcome.
type attempt struct {
	id, order, path string
	vm              *vm
	sent            time.Time
	status          int // 0 without a complete answer
	failure         string
	retryAfter      time.Duration
	// leaving is set if the answer says that its server leaves.
	leaving  bool
	answered time.Time
}

// consumers send requests and keep what they got.
type consumers struct {
	site *site
	mu   sync.Mutex
	all  []*attempt
	done sync.WaitGroup
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *consumers) keep(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, a)
}

func (c *consumers) attempts() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*attempt(nil), c.all...)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}

// post sends one attempt of an order and waits for its answer.
func (c *consumers) post(v *vm, path, order string, body io.Reader, length int64) *attempt {
	a := &attempt{id: newID(), order: order, path: path, vm: v, sent: time.Now()}
	c.keep(a)
	c.site.record.add("consumer sends %s (order %s) to %s: POST %s", a.id, order, v.name, path)
	request, err := http.NewRequest(http.MethodPost, "http://"+v.front+path, body)
	if err != nil {
		a.failure = err.Error()
		return a
	}
	request.Host, request.ContentLength = siteHost, length
	request.GetBody = nil // net/http must not send it again by itself
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(consumerDeadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			a.status, a.answered = response.StatusCode, time.Now()
		}
		a.leaving = response.Header.Get("Server-Leaving") == "1"
		if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
			a.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	if err != nil {
		a.failure = err.Error()
	}
	c.site.record.add("consumer has %s (order %s): status %d %s", a.id, order, a.status, a.failure)
	return a
}

// promise reports whether a status says that the request has not run and never will.
func promise(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// order sends an order that must not run twice. It sends it again, at another VM and
// with another id, only after a promise that it has not run.
func (c *consumers) order(path, order string) {
	vms := c.site.vms
	first := rand.IntN(len(vms))
	body := bytes.Repeat([]byte("x"), 300)
	for try := range 2 {
		a := c.post(vms[(first+try)%len(vms)], path, order, bytes.NewReader(body), int64(len(body)))
		if !promise(a.status) {
			return
		}
		time.Sleep(min(a.retryAfter, consumerDeadline/3))
	}
}

// load sends orders at a rate for a time.
func (c *consumers) load(perSecond int, d time.Duration, path func(n int) string) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		<-ticker.C
		c.done.Go(func() { c.order(path(n), fmt.Sprint("o", n)) })
	}
	c.done.Wait()
}
