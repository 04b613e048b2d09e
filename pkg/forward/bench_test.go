package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
)

// replicaProcessEnv makes the test binary serve as many replicas instead of running
// tests, so that the processor time of the benchmarks is that of the tier alone.
const replicaProcessEnv = "NUTMEGHITCH_BENCH_REPLICAS"

func TestMain(m *testing.M) {
	if n, err := strconv.Atoi(os.Getenv(replicaProcessEnv)); err == nil {
		serveBenchReplicas(n)
		return
	}
	os.Exit(m.Run())
}

// benchRecords is the number of records in the answer of a shard.
const benchRecords = 6

// serveBenchReplicas serves replicas on n ports, which it prints, until standard
// input ends.
func serveBenchReplicas(n int) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serveBenchConn(c)
			}
		}()
		fmt.Println(l.Addr())
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// serveBenchConn answers each request with its id, a receipt and some records.
func serveBenchConn(c net.Conn) {
	r := bufio.NewReader(c)
	body := strings.Repeat(record("a"), benchRecords)
	id := ""
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if value, ok := strings.CutPrefix(line, "Id: "); ok {
			id = strings.TrimSpace(value)
		}
		if line == "\r\n" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: 3e1b.07.5a2.600.0.%s\r\nKeep-Alive: timeout=20\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
		}
	}
}

// startBenchReplicas starts the process with the replicas and returns their
// addresses.
func startBenchReplicas(b *testing.B, n int) []string {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), replicaProcessEnv+"="+strconv.Itoa(n))
	stdin, err := cmd.StdinPipe()
	assert.NilError(b, err)
	stdout, err := cmd.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, cmd.Start())
	b.Cleanup(func() { _ = stdin.Close(); _ = cmd.Wait() })
	var addrs []string
	for lines := bufio.NewScanner(stdout); len(addrs) < n && lines.Scan(); {
		addrs = append(addrs, lines.Text())
	}
	assert.Equal(b, len(addrs), n)
	return addrs
}

// processUsage returns the processor time and the context switches of this process.
func processUsage(b *testing.B) (cpu time.Duration, switches int64) {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), u.Nvcsw
}

// BenchmarkFanOut measures one fan-out query over three replicas a shard: the
// processor time of this process for each send, and the time of a whole query.
func BenchmarkFanOut(b *testing.B) {
	for _, shards := range []int{90, 135} {
		b.Run(strconv.Itoa(shards), func(b *testing.B) { benchmarkFanOut(b, shards) })
	}
}

func benchmarkFanOut(b *testing.B, shards int) {
	const replicasPerShard = 3
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // a VM has one core or less
	addrs := startBenchReplicas(b, shards*replicasPerShard)
	route := &routes.Route{
		Name: "all", Host: "h.example", Prefix: "/a/", Idempotent: true, Timeout: 5 * time.Second,
		Target: time.Second, Attempts: 2, TopK: 50, MinCoverage: 1,
	}
	v := &View{ReplicaSets: map[string]*ReplicaSet{}, HedgeDelays: map[string]*hedge.Policy{}, VMs: 1}
	for i := range shards {
		rs := &ReplicaSet{Service: "shard" + strconv.Itoa(i), Budget: hedge.NewPolicy(hedge.Config{Groups: 1, ExtraLoad: 0.001, Burst: 1})}
		for j := range replicasPerShard {
			addr := addrs[i*replicasPerShard+j]
			rs.Upstreams = append(rs.Upstreams, &Upstream{
				Member:  &discovery.Member{Replica: discovery.Replica{ID: "i-7f3a91c2" + strconv.Itoa(j), Service: rs.Service, Addr: addr}},
				Tracker: replica.NewTracker(j == 0, 7),
				Pool:    exchange.NewPool((&net.Dialer{Timeout: time.Second}).DialContext, addr, 4),
			})
		}
		v.ReplicaSets[rs.Service] = rs
		route.Shards = append(route.Shards, rs.Service)
	}
	var err error
	v.Table, err = routes.NewTable(7, routes.Limits{}, []*routes.Route{route}, nil)
	assert.NilError(b, err)
	f := newTestForwarder(silentObserver{}, poison.NewLedger(poison.Config{LossLimit: 3}))
	f.SetView(v)
	query := func(id string) {
		r := httptest.NewRequest("GET", "http://h.example/a/2f", nil)
		r.Header.Set("Id", id)
		r.Header.Set("Left", "1200")
		w := httptest.NewRecorder()
		f.ServeHTTP(w, r)
		assert.Equal(b, w.Code, 200, w.Body)
		assert.Assert(b, bytes.HasPrefix(w.Body.Bytes(), []byte("a...")))
	}
	for i := range 20 { // opens the connections
		query("warm" + strconv.Itoa(i))
	}
	b.ReportAllocs()
	b.ResetTimer()
	cpu, switches := processUsage(b)
	for i := range b.N {
		query("9c41d07be2a3" + strconv.Itoa(i))
	}
	b.StopTimer()
	cpuAfter, switchesAfter := processUsage(b)
	sends := float64(b.N * shards)
	b.ReportMetric(float64((cpuAfter-cpu).Microseconds())/sends, "cpu-us/send")
	b.ReportMetric(float64(switchesAfter-switches)/sends, "switches/send")
}
