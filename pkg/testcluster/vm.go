package testcluster

import (
	"context"
	"fmt"
	"net"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/node"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// peerSecret authenticates the VMs of a cluster to each other.
const peerSecret = "peer-secret-of-a-local-cluster"

// OperatorToken opens the operators' interface of each VM.
const OperatorToken = "operator-token"

// VM is one entry VM of a cluster.
type VM struct {
	ID        model.VMID
	Domain    model.DomainID
	Node      *node.Node
	Callers   string
	Operators string

	cluster *Cluster
	host    *host
	cancel  context.CancelFunc
	done    chan struct{}
}

// StartVM starts a VM in a failure domain.
func (c *Cluster) StartVM(d model.DomainID) (*VM, error) {
	c.mu.Lock()
	c.nextVM++
	id := model.VMID(fmt.Sprintf("vm-%d", c.nextVM))
	salt := uint64(c.nextVM)
	c.mu.Unlock()

	from := DomainEndpoint(d)
	link := newHost(c.Network, from)
	listeners, err := link.listenAll()
	if err != nil {
		return nil, err
	}
	self := model.VM{
		ID:     id,
		Addr:   listeners[1].Addr().String(),
		Domain: d,
		Region: c.Document.Region(d),
	}
	c.Network.Register(self.Addr, from)
	n, err := node.New(node.Config{
		Self:              self,
		SeedVMs:           c.seeds(),
		CallersListener:   listeners[0],
		PeersListener:     listeners[1],
		OperatorsListener: listeners[2],
		Store: platform.NewClient(platform.Config{
			URL: c.Platform.URL(), Token: PlatformToken, CallsPerSecond: 100, BurstCalls: 200, Dial: link.dial,
		}),
		PeerSecret:    []byte(peerSecret),
		OperatorToken: OperatorToken,
		PeerDial: func(ctx context.Context, addr string) (net.Conn, error) {
			return link.dial(ctx, "tcp", addr)
		},
		UpstreamDial:   link.dial,
		BalancerNotice: c.cfg.BalancerNotice,
		CreateMetrics:  true,
		Logger:         c.logger,
		Rand:           c.rand(salt),
		Policy:         c.cfg.Policy,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	vm := &VM{
		ID: id, Domain: d, Node: n, cluster: c, host: link, cancel: cancel, done: make(chan struct{}),
		Callers: listeners[0].Addr().String(), Operators: listeners[2].Addr().String(),
	}
	go func() {
		defer close(vm.done)
		_ = n.Run(ctx)
	}()
	c.mu.Lock()
	c.vms = append(c.vms, vm)
	c.all = append(c.all, vm)
	c.mu.Unlock()
	c.publishList()
	return vm, nil
}

// listenAll opens the listeners for callers, peers and operators.
func (h *host) listenAll() ([]net.Listener, error) {
	out := make([]net.Listener, 0, 3)
	for range cap(out) {
		l, err := h.listen()
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

// seeds returns the VMs that are running now.
func (c *Cluster) seeds() []model.VM {
	var out []model.VM
	for _, vm := range c.Running() {
		out = append(out, vm.Node.Self())
	}
	return out
}

// publishList updates the platform's VM list.
func (c *Cluster) publishList() { c.Platform.SetVMs(c.seeds()) }

// Running returns the VMs that have not been stopped or killed.
func (c *Cluster) Running() []*VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*VM(nil), c.vms...)
}

// All returns every VM that was ever started, those that have ended included.
func (c *Cluster) All() []*VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*VM(nil), c.all...)
}

func (c *Cluster) remove(vm *VM) {
	c.mu.Lock()
	for i, other := range c.vms {
		if other == vm {
			c.vms = append(c.vms[:i:i], c.vms[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	c.publishList()
}

// Kill ends the VM at once: its connections break and nothing is handed over.
func (vm *VM) Kill() {
	vm.Node.Abort()
	vm.host.crash()
	vm.cancel()
	<-vm.done
	vm.cluster.remove(vm)
}

// Stop stops the VM as planned and returns when nothing is in flight. The
// VM stays in the platform's list until then.
func (vm *VM) Stop() {
	vm.cancel()
	<-vm.done
	vm.cluster.remove(vm)
}
