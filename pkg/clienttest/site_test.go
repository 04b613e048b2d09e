package clienttest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/platform"
	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

const (
	// memoryMB and maxFDs are the machine of the tests' VM. Beside the 20 MB that an idle
	// process holds, a connection has about as much memory as on the smallest machines
	// (184 MB and 4,100 descriptors: 40 KB).
	memoryMB = 48
	maxFDs   = 400
	// largeAnswerBytes is the length of the answers below largePath.
	largeAnswerBytes = 200 << 10
	// waitTimeout only ends runs that hang.
	waitTimeout = 60 * time.Second
	pollPause   = 20 * time.Millisecond

	siteHost    = "h.example"
	service     = "single"
	routePath   = "/read/x"
	largePath   = "/large/x"
	noRoutePath = "/none/x"
)

// program and daemon are the built nutmeghitch-edge and nutmeghitchd, without the race
// detector, which multiplies the memory of a process.
var program, daemon string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "nutmeghitch-clienttest-")
	if err != nil {
		panic(err)
	}
	program, daemon = filepath.Join(dir, "nutmeghitch-edge"), filepath.Join(dir, "nutmeghitchd")
	build := exec.Command("go", "build", "-o", dir, "../../cmd/nutmeghitch-edge", "../../cmd/nutmeghitchd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // a folder for temporary files
	os.Exit(code)
}

// site is a VM as a process with what it needs.
type site struct {
	t *testing.T
	// memoryMB and maxFDs are its machine.
	memoryMB, maxFDs int
	// targets are a route, a path without a route, and the ready path.
	targets []target
	// ordinary asks for the answers that the VM must go on to give.
	ordinary []func(context.Context) error
	settings standin.VMSettings
	cmd      *exec.Cmd
	logPath  string
	exited   chan struct{}
	client   *http.Client
	// peakFDs is the largest number of descriptors that sample has seen.
	peakFDs int
}

func newSite(t *testing.T, memoryMB, maxFDs int) *site {
	s := &site{t: t, memoryMB: memoryMB, maxFDs: maxFDs, exited: make(chan struct{}), logPath: filepath.Join(t.TempDir(), "log")}
	s.client = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return s
}

// startSite returns a site whose VM, nutmeghitch-edge with two replicas, serves.
func startSite(t *testing.T) *site {
	t.Helper()
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	for i := range 2 {
		r, err := standin.StartReplica(fmt.Sprint("r", i), service, "d0", time.Millisecond, standin.NewRunLog())
		assert.NilError(t, err)
		t.Cleanup(r.Close)
		large := httptest.NewServer(largeAnswers(r))
		t.Cleanup(large.Close)
		r.Advertise(large.Listener.Addr().String())
		r.Register(store, false)
	}
	standin.PutConfig(store, 1, []standin.Route{
		{Name: "read", Host: siteHost, Prefix: "/read/", Idempotent: true, Service: service},
		{Name: "large", Host: siteHost, Prefix: "/large/", Idempotent: true, Service: service},
	}, []string{service})
	s := newSite(t, memoryMB, maxFDs)
	s.settings = standin.VMSettings{
		Name: "vm0", Domain: "d0", CallersAddr: freeAddr(t), ReadyAddr: freeAddr(t), PeersAddr: freeAddr(t),
		StoreAddr: storeServer.Listener.Addr().String(), MemoryMB: memoryMB, MaxFDs: maxFDs,
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, standin.WriteSettings(path, s.settings))
	s.targets = []target{
		{s.settings.CallersAddr, routePath, largePath},
		{s.settings.CallersAddr, noRoutePath, noRoutePath},
		{s.settings.ReadyAddr, platform.ReadyPath, "/metrics"},
	}
	s.ordinary = []func(context.Context) error{
		func(ctx context.Context) error {
			return s.ask(ctx, http.MethodGet, s.settings.ReadyAddr, platform.ReadyPath, "")
		},
		func(ctx context.Context) error {
			return s.ask(ctx, http.MethodGet, s.settings.CallersAddr, routePath, "")
		},
	}
	s.start(program, path)
	s.awaitOrdinaryAnswers()
	return s
}

// largeAnswers serves like the replica, but below largePath with long answers.
func largeAnswers(r *standin.Replica) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !strings.HasPrefix(req.URL.Path, "/large/") {
			r.ServeHTTP(w, req)
			return
		}
		id := req.Header.Get(platform.Headers.RequestID)
		w.Header().Set(platform.Headers.RequestID, id)
		w.Header().Set(platform.Headers.Receipt, standin.Receipt(service, id))
		w.Header().Set("Content-Length", strconv.Itoa(largeAnswerBytes))
		_, _ = w.Write(make([]byte, largeAnswerBytes)) // the VM may have closed the connection
	})
}

// Ports of the process lie below those that the system hands out by itself, at an address
// of this process alone.
const firstPort = 20000

var (
	loopback = net.IPv4(127, byte(101+os.Getpid()>>16%100), byte(os.Getpid()>>8), byte(os.Getpid())).String()
	nextPort = firstPort
)

// freeAddr returns an address that nothing listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	for {
		nextPort++
		addr := net.JoinHostPort(loopback, strconv.Itoa(nextPort))
		if l, err := net.Listen("tcp", addr); err == nil {
			assert.NilError(t, l.Close())
			return addr
		}
	}
}

func (s *site) start(program, settingsPath string) {
	s.t.Helper()
	log, err := os.Create(s.logPath)
	assert.NilError(s.t, err)
	defer log.Close()
	s.cmd = exec.Command(program, "--settings", settingsPath)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	assert.NilError(s.t, s.cmd.Start())
	go func() {
		_ = s.cmd.Wait() // the log tells how it ended
		close(s.exited)
	}()
	s.t.Cleanup(func() {
		_ = s.cmd.Process.Kill() // it may have ended
		<-s.exited
	})
}

// alive reports whether the process runs.
func (s *site) alive() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// awaitOrdinaryAnswers waits until a ready check and a caller's request, each on a
// connection of its own, succeed.
func (s *site) awaitOrdinaryAnswers() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	for _, ask := range s.ordinary {
		for err := ask(ctx); err != nil; err = ask(ctx) {
			if ctx.Err() != nil || !s.alive() {
				s.t.Fatalf("no ordinary answer: %v, alive %t\n%s", err, s.alive(), s.logTail())
			}
			time.Sleep(pollPause)
		}
	}
}

func (s *site) ask(ctx context.Context, method, addr, path, body string) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Host = siteHost
	request.Header.Set(platform.Headers.RequestID, "ordinary")
	request.Header.Set(platform.Headers.Deadline, "3000")
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, response.Status)
	}
	return nil
}

// sample counts the descriptors of the process until done is closed.
func (s *site) sample(done <-chan struct{}) {
	for {
		s.peakFDs = max(s.peakFDs, s.fds())
		select {
		case <-done:
			return
		case <-time.After(pollPause):
		}
	}
}

// fds returns the number of descriptors, 0 if the process has ended.
func (s *site) fds() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemoryKB returns the largest resident memory that the process has had.
func (s *site) peakMemoryKB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	assert.NilError(s.t, err)
	_, after, found := strings.Cut(string(status), "VmHWM:")
	assert.Assert(s.t, found, "the system does not tell the peak of the memory")
	kb, err := strconv.Atoi(strings.Fields(after)[0])
	assert.NilError(s.t, err)
	return kb
}

// logTail returns the end of the process's log.
func (s *site) logTail() string {
	const tailBytes = 3 << 10
	log, err := os.ReadFile(s.logPath)
	if err != nil {
		return err.Error()
	}
	return string(log[max(0, len(log)-tailBytes):])
}
