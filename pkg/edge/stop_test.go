package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/kernel"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// stoppingVM is a VM that serves callers in front of one replica and can be stopped.
type stoppingVM struct {
	t       *testing.T
	addr    string
	service *callersService
	// terminate begins the planned stop, and ended gets its outcome.
	terminate context.CancelFunc
	ended     chan error
}

// startStoppingVM starts a VM that has the given time for a planned stop.
func startStoppingVM(t *testing.T, grace time.Duration, h http.HandlerFunc) *stoppingVM {
	t.Helper()
	replica := httptest.NewServer(h)
	t.Cleanup(replica.Close)
	c := newTestController(t)
	configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
	item := replicaItem("a", 3)
	item.Value.Addr = replica.Listener.Addr().String()
	replicaTopic(c).update(start, replicaBatch(5, item), true)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := forward.New(forward.Config{
		Headers:  forward.HeaderNames{RequestID: "Id", Deadline: "Left", TargetReplica: "For", Receipt: "Receipt", NotRun: "Not-Run"},
		Observer: c.prober, Ledger: poison.NewLedger(poison.Config{LossLimit: maxCrashAttempts}), Memory: exchange.NewMemory(0), Bodies: exchange.NewMemory(0),
		Log: log, Scope: tally.NoopScope, Buckets: tally.DefaultBuckets,
	})
	f.SetView(c.state.view(start))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	vm := &stoppingVM{t: t, addr: l.Addr().String(), ended: make(chan error, 1)}
	assert.NilError(t, l.Close())
	k := kernel.New()
	vm.service = &callersService{settings: Settings{CallersAddr: vm.addr}, controller: &controllerService{forwarder: f, forwarded: newForwardedServer(f.ServeForwarded, log)}, ready: newReadiness(), log: log}
	assert.NilError(t, kernel.Add(k, callersHandle, vm.service))
	ctx, terminate := context.WithCancel(t.Context())
	vm.terminate = terminate
	go func() {
		vm.ended <- k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), grace)
		})
	}()
	return vm
}

func (vm *stoppingVM) dial() net.Conn {
	for vm.t.Context().Err() == nil {
		if conn, err := net.Dial("tcp", vm.addr); err == nil {
			return conn
		}
	}
	return nil
}

func (vm *stoppingVM) send(conn net.Conn, id, body string, length int) {
	_, err := fmt.Fprintf(conn, "POST /p HTTP/1.1\r\nHost: h\r\nId: %s\r\nLeft: 60000\r\nContent-Length: %d\r\n\r\n%s", id, length, body)
	assert.NilError(vm.t, err)
}

// answer reads a complete response.
func (vm *stoppingVM) answer(r *bufio.Reader) (status int, content string) {
	vm.t.Helper()
	response, err := http.ReadResponse(r, nil)
	assert.NilError(vm.t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(vm.t, err)
	return response.StatusCode, string(body)
}

// stopAccepting begins the planned stop and returns when no connection is accepted.
func (vm *stoppingVM) stopAccepting() {
	for refused := false; !refused && vm.t.Context().Err() == nil; {
		conn, err := net.Dial("tcp", vm.addr)
		if refused = err != nil; !refused {
			_ = conn.Close()
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// echo answers with the body of the request.
func echo(t *testing.T) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err == nil)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Receipt", "r")
		_, _ = w.Write(body)
	}
}

// Guards against a planned stop that cuts off a request whose body is still arriving
// when the VM stops accepting connections, and against one that is read from a kept
// connection during the notice.
func TestPlannedStopFinishesRequestsThatAreStillArriving(t *testing.T) {
	vm := startStoppingVM(t, time.Minute, echo(t))
	slow, kept := vm.dial(), vm.dial()
	defer slow.Close()
	defer kept.Close()
	slowReader, keptReader := bufio.NewReader(slow), bufio.NewReader(kept)
	check := func(r *bufio.Reader, want string) {
		t.Helper()
		status, body := vm.answer(r)
		assert.Equal(t, status, http.StatusOK, "%s", body)
		assert.Equal(t, body, want)
	}
	vm.send(kept, "1", "before", 6)
	check(keptReader, "before")
	vm.send(slow, "2", "half", 8)

	vm.terminate()
	for !vm.service.ready.stopping.Load() && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	vm.send(kept, "3", "notice", 6)
	check(keptReader, "notice")
	vm.stopAccepting()
	_, err := io.WriteString(slow, "half")
	assert.NilError(t, err)
	check(slowReader, "halfhalf")
	assert.NilError(t, <-vm.ended)
}

// Guards against requests that are cut without an answer at the end of a planned stop:
// one that was under way, and one that came during the notice.
func TestPlannedStopAnswersWhatItCannotFinish(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	vm := startStoppingVM(t, balancerDetectionTime+time.Second, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	early, late := vm.dial(), vm.dial()
	defer early.Close()
	defer late.Close()
	vm.send(early, "1", "early", 5)
	vm.terminate()
	for !vm.service.ready.stopping.Load() && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	vm.send(late, "2", "late", 4)
	for _, conn := range []net.Conn{early, late} {
		status, body := vm.answer(bufio.NewReader(conn))
		assert.Assert(t, status == http.StatusBadGateway || status == http.StatusGatewayTimeout || status == http.StatusServiceUnavailable, "%d %s", status, body)
	}
	assert.NilError(t, <-vm.ended)
}
