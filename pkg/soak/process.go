package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

// vm is one VM of the tier as a process.
type vm struct {
	standin.VMSettings
	binary, dir string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// disturbed is the time of the last fault other than a planned stop.
	disturbed time.Time
	// stopping is the time of the last SIGTERM.
	stopping time.Time
}

// firstPort and ports bound the ports of VMs. They lie below those that the
// system hands out by itself, so that neither a proxy nor an outgoing
// connection takes the port of a VM before it starts, or while it restarts.
const (
	firstPort = 20000
	ports     = 10000
	portTries = 100
)

// errNoPort tells that all ports that were tried had been handed out before.
var errNoPort = errs.Refuse(errs.NotReady, "no port is left for a VM")

// logTailBytes is how much of a VM's log is shown if it does not start.
const logTailBytes = 2 << 10

// loopback is an address of this process alone, so that the VMs of two soaks at
// the same time cannot take each other's ports while one restarts.
var loopback = net.IPv4(127, byte(1+os.Getpid()>>16%100), byte(os.Getpid()>>8), byte(os.Getpid())).String()

// handedOut are the addresses that freeAddr has returned. A VM listens only some
// time after its addresses were drawn, so a free port can have been drawn before.
var handedOut = struct {
	sync.Mutex
	addrs map[string]bool
}{addrs: map[string]bool{}}

// freeAddr returns a loopback address with a port that is free now and was not
// returned before.
func freeAddr() (string, error) {
	handedOut.Lock()
	defer handedOut.Unlock()
	var err error = errNoPort
	for range portTries {
		addr := net.JoinHostPort(loopback, strconv.Itoa(firstPort+rand.IntN(ports)))
		if handedOut.addrs[addr] {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp", addr); err == nil {
			handedOut.addrs[addr] = true
			return addr, l.Close()
		}
	}
	return "", err
}

// logTail returns the end of the process's log.
func (v *vm) logTail() string {
	log, err := os.ReadFile(v.logPath())
	if err != nil {
		return err.Error()
	}
	return string(log[max(0, len(log)-logTailBytes):])
}

func (v *vm) logPath() string { return filepath.Join(v.dir, v.Name+".log") }

// start starts the process; its log is appended to a file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	path := filepath.Join(v.dir, v.Name+".yaml")
	if err := standin.WriteSettings(path, v.VMSettings); err != nil {
		return err
	}
	log, err := os.OpenFile(v.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.cmd = exec.Command(v.binary, "--settings", path)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // how a process ends that was killed tells nothing
		close(exited)
	}(v.cmd, v.exited)
	return nil
}

// peakMemoryBytes returns the most memory that the running process has held, 0 if the
// system does not tell.
func (v *vm) peakMemoryBytes() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int64
	_, _ = fmt.Sscan(after, &kilobytes) // 0 without the field
	return kilobytes << 10
}

// ended reports whether the process has ended.
func (v *vm) ended() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process. Only a planned stop leaves the
// promises of open connections in force.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		v.stopping = time.Now()
	case syscall.SIGHUP:
	default:
		v.disturbed = time.Now()
	}
	_ = v.cmd.Process.Signal(s) // a process that has ended needs none
}

// disturb notes a fault on the VM's links.
func (v *vm) disturb() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbed = time.Now()
}

func (v *vm) disturbedSince(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.disturbed.After(t)
}

// wait waits for the end of the process and kills it after a time.
func (v *vm) wait(longest time.Duration) (killed bool) {
	v.mu.Lock()
	exited, process := v.exited, v.cmd.Process
	v.mu.Unlock()
	select {
	case <-exited:
		return false
	case <-time.After(longest):
	}
	_ = process.Signal(syscall.SIGCONT) // a stopped process cannot end
	_ = process.Kill()
	<-exited
	return true
}
