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

// Guards against a planned stop that cuts off a request whose body is still arriving
// when the VM stops accepting connections, and against one that is read from a kept
// connection during the notice.
func TestPlannedStopFinishesRequestsThatAreStillArriving(t *testing.T) {
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err == nil)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Receipt", "r")
		_, _ = w.Write(body)
	}))
	defer replica.Close()
	c := newTestController(t)
	configTopic(c).update(start, configBatch(testTable(t, 1), 1), true)
	item := replicaItem("a", 3)
	item.Value.Addr = replica.Listener.Addr().String()
	replicaTopic(c).update(start, replicaBatch(5, item), true)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := forward.New(forward.Config{
		Headers:  forward.HeaderNames{RequestID: "Id", Deadline: "Left", TargetReplica: "For", Receipt: "Receipt", NotRun: "Not-Run"},
		Observer: c.prober, Ledger: poison.NewLedger(poison.Config{LossLimit: maxCrashAttempts}), Memory: exchange.NewMemory(0),
		Log: log, Scope: tally.NoopScope, Buckets: tally.DefaultBuckets,
	})
	f.SetView(c.state.view(start))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	k := kernel.New()
	service := &callersService{settings: Settings{CallersAddr: addr}, controller: &controllerService{forwarder: f, forwarded: newForwardedServer(f.ServeForwarded, log)}, ready: newReadiness(), log: log}
	assert.NilError(t, kernel.Add(k, callersHandle, service))
	ctx, terminate := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), time.Minute)
		})
	}()
	dial := func() net.Conn {
		for t.Context().Err() == nil {
			if conn, err := net.Dial("tcp", addr); err == nil {
				return conn
			}
		}
		return nil
	}
	send := func(conn net.Conn, id, body string, length int) {
		_, err := fmt.Fprintf(conn, "POST /p HTTP/1.1\r\nHost: h\r\nId: %s\r\nLeft: 60000\r\nContent-Length: %d\r\n\r\n%s", id, length, body)
		assert.NilError(t, err)
	}
	answer := func(r *bufio.Reader) string {
		response, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, "%s", body)
		return string(body)
	}
	slow, kept := dial(), dial()
	defer slow.Close()
	defer kept.Close()
	slowReader, keptReader := bufio.NewReader(slow), bufio.NewReader(kept)
	send(kept, "1", "before", 6)
	assert.Equal(t, answer(keptReader), "before")
	send(slow, "2", "half", 8)

	terminate()
	for !service.ready.stopping.Load() && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	send(kept, "3", "notice", 6)
	assert.Equal(t, answer(keptReader), "notice")
	for refused := false; !refused && t.Context().Err() == nil; {
		conn, err := net.Dial("tcp", addr)
		if refused = err != nil; !refused {
			_ = conn.Close()
			time.Sleep(10 * time.Millisecond)
		}
	}
	_, err = io.WriteString(slow, "half")
	assert.NilError(t, err)
	assert.Equal(t, answer(slowReader), "halfhalf")
	assert.NilError(t, <-ended)
}
