package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// crashWork is how long a crashing request runs, queryWork any other.
	crashWork, queryWork = 20 * time.Millisecond, 5 * time.Millisecond
	// entryLapse is three heartbeat intervals of silence.
	entryLapse = 3600 * time.Millisecond
	// downFor is how long a crashed server is away, at most that of srv_crash.
	downFor = 4500 * time.Millisecond
	// queryDeadline is that of order-sweep in podstavek-iskanje.
	queryDeadline = 1500 * time.Millisecond
)

// crashes holds what a run has seen of crashing requests.
type crashes struct {
	// enabled is set if the request ends servers.
	enabled bool
	mu      sync.Mutex
	// ended holds when servers ended under a request, by its path.
	ended map[string][]time.Time
	// arrivals holds when attempts have reached servers last, by path and id.
	arrivals map[string]map[string]time.Time
}

// host is an address at which servers of one shard run one after another. One that ends
// falls silent: its connections and new ones hang.
type host struct {
	site          *site
	crashes       *crashes
	service, zone string
	addr          *net.TCPAddr

	mu       sync.Mutex
	id       string
	listener net.Listener
	server   *http.Server
	// dark is closed when the server has ended.
	dark  chan struct{}
	down  bool
	raw   int
	dials []int
}

func (h *host) start() error {
	l, err := net.ListenTCP("tcp", h.addr)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.addr, h.listener = l.Addr().(*net.TCPAddr), l
	h.id, h.dark, h.down = fmt.Sprintf("i-%s-%08x", h.service, rand.Uint32()), make(chan struct{}), false
	id, dark := h.id, h.dark
	h.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, id, dark) })}
	server := h.server
	h.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	h.site.store.Put("servers", id, map[string]any{
		"backend": h.service, "address": h.addr.String(), "zone": h.zone, "version": "v1", "concurrency": 4,
		"state": "ready", "warmup_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

func (h *host) serve(w http.ResponseWriter, r *http.Request, id string, dark chan struct{}) {
	hang := func() bool {
		select {
		case <-dark:
			<-r.Context().Done()
			return true
		default:
			return false
		}
	}
	if hang() {
		return
	}
	w.Header().Set("X-Instance-Id", id)
	if r.URL.Path == "/healthz" {
		return
	}
	requestID := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", requestID)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if strings.HasSuffix(r.URL.Path, "/crash") {
		h.crashes.mu.Lock()
		if h.crashes.arrivals[r.URL.Path] == nil {
			h.crashes.arrivals[r.URL.Path] = map[string]time.Time{}
		}
		h.crashes.arrivals[r.URL.Path][requestID] = time.Now()
		h.crashes.mu.Unlock()
		h.site.record.add("server %s runs %s, attempt %s", id, r.URL.Path, requestID)
		time.Sleep(crashWork)
		if h.crashes.enabled {
			h.crash(r.URL.Path, id)
		}
	} else {
		time.Sleep(queryWork)
	}
	if hang() {
		return
	}
	w.Header().Set("X-Server-Stamp", h.service+"."+requestID)
	body := make([]byte, 0, 64)
	for i := range 4 {
		body = binary.BigEndian.AppendUint64(body, rand.Uint64())
		body = binary.BigEndian.AppendUint64(body, uint64(i))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// crash ends the server, and starts the next one at its address later.
func (h *host) crash(path, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down || h.id != id {
		return
	}
	h.down = true
	close(h.dark)
	h.crashes.mu.Lock()
	h.crashes.ended[path] = append(h.crashes.ended[path], time.Now())
	h.crashes.mu.Unlock()
	server := h.server
	h.hideAddr()
	time.AfterFunc(entryLapse, func() { h.site.store.Delete("servers", id) })
	time.AfterFunc(downFor, func() {
		h.mu.Lock()
		h.showAddr()
		_ = server.Close()
		h.mu.Unlock()
		if err := h.start(); err != nil {
			h.site.record.add("a server does not start again: %v", err)
		}
	})
}

// hideAddr makes connections to the address hang: nothing accepts them, and the queue of
// those that wait is full. h.mu is held.
func (h *host) hideAddr() {
	_ = h.listener.Close() // its connections stay
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	at := &syscall.SockaddrInet4{Port: h.addr.Port, Addr: [4]byte(h.addr.IP.To4())}
	if err := syscall.Bind(fd, at); err != nil {
		h.site.record.add("address not hidden: %v", err)
	}
	_ = syscall.Listen(fd, 0)
	h.raw = fd
	for range 3 {
		c, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			return
		}
		_ = syscall.Connect(c, at) // in progress
		h.dials = append(h.dials, c)
	}
}

// showAddr undoes hideAddr. h.mu is held.
func (h *host) showAddr() {
	for _, c := range h.dials {
		_ = syscall.Close(c)
	}
	_ = syscall.Close(h.raw)
	h.dials = nil
}

// crashCase: a query crashes each server that begins to run it. The servers' hosts fall
// silent and are back seconds later. Its consumer sends it again and again.
func crashCase(s *site, trouble bool) ([]string, error) {
	const (
		shards    = 10
		othersGap = 13 * time.Millisecond
		// The consumer sends the query and sends it again at once. It comes back after
		// pause, and then repeats the query for a while.
		repeatGap, pause, repeating = 300 * time.Millisecond, 8 * time.Second, 5 * time.Second
	)
	seen := &crashes{enabled: trouble, ended: map[string][]time.Time{}, arrivals: map[string]map[string]time.Time{}}
	var names []string
	var hosts []*host
	for i := range shards {
		names = append(names, fmt.Sprint("shard", i))
		for _, zone := range replicaZones {
			h := &host{site: s, crashes: seen, service: names[i], zone: zone, addr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
			if err := h.start(); err != nil {
				return nil, err
			}
			hosts = append(hosts, h)
		}
	}
	defer func() {
		for _, h := range hosts {
			_ = h.server.Close()
		}
	}()
	s.configureGather(names)
	if err := s.startVMs(4); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(othersGap):
				others.Go(func() { s.query(s.vms[rand.IntN(len(s.vms))], fmt.Sprint("/all/", n)) })
			}
		}
	})
	time.Sleep(2 * time.Second)
	const path = "/all/0/crash"
	send := func() {
		others.Go(func() { s.query(s.vms[rand.IntN(len(s.vms))], path) })
		time.Sleep(repeatGap)
	}
	send()
	send()
	time.Sleep(pause)
	for end := time.Now().Add(repeating); time.Now().Before(end); {
		send()
	}
	close(stop)
	others.Wait()
	return seen.late(s), nil
}

// late returns the requests of which more than three attempts reached servers later than
// contact_ms after they had crashed the third.
func (c *crashes) late(s *site) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var broken []string
	for path, ended := range c.ended {
		slices.SortFunc(ended, time.Time.Compare)
		if len(ended) < 3 {
			continue
		}
		late := 0
		for _, at := range c.arrivals[path] {
			if at.Sub(ended[2]) > contactTime {
				late++
			}
		}
		s.record.add("%s: %d servers ended, %d attempts reached servers, %d of them late", path, len(ended), len(c.arrivals[path]), late)
		if late > 3 {
			broken = append(broken, fmt.Sprintf("BUDGET: %s reached servers in %d retries later than %s after it had crashed the third, 3 allowed; %d servers ended", path, late, contactTime, len(ended)))
		}
	}
	return broken
}

// query sends a query over all shards.
func (s *site) query(v *vm, path string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+v.front+path, nil)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryDeadline)
	defer cancel()
	request = request.WithContext(ctx)
	request.Host = siteHost
	request.Header.Set("X-Request-Id", newID())
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(queryDeadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
