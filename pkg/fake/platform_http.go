package fake

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// maxWatchWait bounds the wait of one watch call.
const maxWatchWait = 5 * time.Minute

// objectsPath is the prefix of the paths of single objects.
const objectsPath = "/objects/"

// listedObject is one element of the reply to a list call.
type listedObject struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version string `json:"version"`
}

// watchEvent is one element of the reply to a watch call.
type watchEvent struct {
	Key     string `json:"key"`
	Version string `json:"version"`
	Deleted bool   `json:"deleted"`
}

// watchReply is the reply to a watch call.
type watchReply struct {
	Revision uint64       `json:"revision"`
	Events   []watchEvent `json:"events"`
}

// listedVM is one element of the VM list.
type listedVM struct {
	ID     model.VMID     `json:"id"`
	Addr   string         `json:"addr"`
	Domain model.DomainID `json:"domain"`
	Region model.RegionID `json:"region"`
	State  string         `json:"state"`
}

// callKind is the kind of a call to the object API.
type callKind int

const (
	callUnknown callKind = iota
	callGet
	callPut
	callDelete
	callList
	callWatch
	callVMs
)

// kindOf classifies a request.
func kindOf(r *http.Request) callKind {
	path := r.URL.EscapedPath()
	if len(path) > len(objectsPath) && strings.HasPrefix(path, objectsPath) {
		return map[string]callKind{
			http.MethodGet:    callGet,
			http.MethodPut:    callPut,
			http.MethodDelete: callDelete,
		}[r.Method]
	}
	if r.Method != http.MethodGet {
		return callUnknown
	}
	return map[string]callKind{"/objects": callList, "/watch": callWatch, "/vms": callVMs}[path]
}

// serve handles one call.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	kind := kindOf(r)
	if kind == callUnknown {
		http.Error(w, "unknown path or method", http.StatusNotFound)
		return
	}
	body := p.readBody(r, kind)
	down, throttled := p.admit(kind)
	switch {
	case down:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case throttled:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
	case p.config.Token != "" && r.Header.Get("Authorization") != "Bearer "+p.config.Token:
		http.Error(w, "unknown token", http.StatusUnauthorized)
	case len(body) > p.config.ValueLimit:
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
	default:
		p.dispatch(w, r, kind, body)
	}
}

// readBody reads the value of a put, up to one byte over the limit, before the
// call is admitted, so that an outage or a refusal leaves no half-read body.
func (p *Platform) readBody(r *http.Request, kind callKind) []byte {
	if kind != callPut {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(p.config.ValueLimit)+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return body
}

// admit counts a call and applies the outage and the rates.
func (p *Platform) admit(kind callKind) (down, throttled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counter := map[callKind]*uint64{
		callGet: &p.calls.Get, callPut: &p.calls.Put, callDelete: &p.calls.Delete,
		callList: &p.calls.List, callWatch: &p.calls.Watch, callVMs: &p.calls.VMs,
	}[kind]
	*counter++
	if p.down {
		return true, false
	}
	rate := &p.reads
	if kind == callPut || kind == callDelete {
		rate = &p.writes
	}
	throttled = p.throttle > 0
	if throttled {
		p.throttle--
	} else {
		throttled = !rate.take(time.Now())
	}
	if throttled {
		p.calls.Throttled++
	}
	return false, throttled
}

// dispatch runs an admitted call.
func (p *Platform) dispatch(w http.ResponseWriter, r *http.Request, kind callKind, body []byte) {
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), objectsPath))
	if err != nil {
		http.Error(w, "malformed key", http.StatusBadRequest)
		return
	}
	switch kind {
	case callGet:
		p.serveGet(w, r, key)
	case callPut, callDelete:
		p.serveWrite(w, r, kind, key, body)
	case callList:
		p.serveList(w, r)
	case callWatch:
		p.serveWatch(w, r)
	case callVMs:
		p.serveVMs(w, r)
	}
}

// serveGet returns one object.
func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	p.mu.Lock()
	stored, exists := p.store.get(key, p.staleGet)
	p.mu.Unlock()
	p.wait(r.Context())
	if !exists {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(stored.version()))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(stored.value)
}

// serveWrite puts or deletes one object.
func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, kind callKind, key string, body []byte) {
	status, version, lost := p.write(r, kind, key, body)
	p.wait(r.Context())
	if lost {
		panic(http.ErrAbortHandler)
	}
	if version != "" {
		w.Header().Set("ETag", strconv.Quote(version))
	}
	w.WriteHeader(status)
}

// write applies a write. lost tells to withhold the answer.
func (p *Platform) write(r *http.Request, kind callKind, key string, body []byte) (status int, version string, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	match := strings.Trim(r.Header.Get("If-Match"), `"`)
	absent := r.Header.Get("If-None-Match") == "*"
	if !p.store.allowed(key, match, absent) {
		return http.StatusPreconditionFailed, "", false
	}
	if kind == callPut {
		status, version = http.StatusOK, p.store.put(key, body)
	} else if p.store.remove(key) {
		status = http.StatusNoContent
	} else {
		return http.StatusNotFound, "", false
	}
	p.wake()
	if p.lose > 0 {
		p.lose--
		lost = true
	}
	return status, version, lost
}

// serveList returns the objects under a prefix.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	listed := []listedObject{}
	p.mu.Lock()
	for _, key := range p.store.list(r.URL.Query().Get("prefix"), p.staleLst) {
		stored, _ := p.store.get(key, p.staleLst)
		listed = append(listed, listedObject{key, stored.value, stored.version()})
	}
	p.mu.Unlock()
	p.wait(r.Context())
	writeJSON(w, http.StatusOK, listed)
}

// serveWatch waits for changes under a prefix.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	timeout, errTimeout := strconv.ParseInt(query.Get("timeout_ms"), 10, 64)
	if errAfter != nil || errTimeout != nil || timeout < 0 {
		http.Error(w, "after and timeout_ms must be numbers", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(timeout)*time.Millisecond, maxWatchWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		reply, gap, changed := p.look(query.Get("prefix"), after)
		if gap {
			http.Error(w, "changes after this revision are no longer known", http.StatusGone)
			return
		}
		if after == 0 || len(reply.Events) > 0 {
			writeJSON(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-p.closed:
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			writeJSON(w, http.StatusOK, reply)
			return
		}
	}
}

// look returns the events after a revision. Revision 0 stands for the current
// state, in which each object under the prefix is one event.
func (p *Platform) look(prefix string, after uint64) (reply watchReply, gap bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		panic(http.ErrAbortHandler)
	}
	reply = watchReply{Revision: p.store.revision, Events: []watchEvent{}}
	if after == 0 {
		for _, key := range p.store.list(prefix, 0) {
			reply.Events = append(reply.Events, watchEvent{Key: key, Version: p.store.current[key].version()})
		}
		return reply, false, p.changed
	}
	changes, known := p.store.since(prefix, after)
	for _, c := range changes {
		version := object{revision: c.revision}.version()
		reply.Events = append(reply.Events, watchEvent{c.key, version, c.deleted})
	}
	return reply, !known, p.changed
}

// serveVMs returns the lagging VM list.
func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	vms := p.laggedVMs(time.Now())
	p.mu.Unlock()
	p.wait(r.Context())
	listed := []listedVM{}
	for _, vm := range vms {
		state := map[model.VMState]string{model.Alive: "live", model.Leaving: "leaving"}[vm.State]
		if state != "" {
			listed = append(listed, listedVM{vm.ID, vm.Addr, vm.Domain, vm.Region, state})
		}
	}
	writeJSON(w, http.StatusOK, listed)
}

// wait delays a reply.
func (p *Platform) wait(ctx context.Context) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	sleep(ctx, p.closed, delay)
}

// sleep waits for d, or until ctx or stop ends.
func sleep(ctx context.Context, stop <-chan struct{}, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-stop:
	}
}

// writeJSON sends v with a status code.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
