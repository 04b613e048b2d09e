// Package node assembles one VM of the tier from its services. It is the
// entry point for programs that embed the tier.
package node

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/gateway"
	"github.com/nutmeghitch/nutmeghitch/pkg/kernel"
	"github.com/nutmeghitch/nutmeghitch/pkg/metrics"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// DefaultStopTimeout bounds a planned stop. It covers the balancer's notice
// and the longest request.
const DefaultStopTimeout = 60 * time.Second

// Config describes one VM. The listeners are closed by the Node.
type Config struct {
	Self    model.VM
	SeedVMs []model.VM

	CallersListener   net.Listener
	PeersListener     net.Listener
	OperatorsListener net.Listener

	CallersTLS   *tls.Config
	PeersTLS     *tls.Config
	OperatorsTLS *tls.Config

	Store         platform.Store
	PeerSecret    []byte
	OperatorToken string

	// PeerDial and UpstreamDial replace the default dialler when they are set.
	PeerDial     func(ctx context.Context, addr string) (net.Conn, error)
	UpstreamDial func(ctx context.Context, network, addr string) (net.Conn, error)

	BalancerNotice time.Duration
	StopTimeout    time.Duration
	MaxBodyBytes   int64

	Logger *logrus.Logger
	// Scope and Metrics are the metrics root and the handler that exports it.
	Scope   tally.Scope
	Metrics http.Handler
	// CreateMetrics makes Run create both of them and close them when it returns.
	CreateMetrics bool
	Rand          *rand.Rand
	// Policy selects a baseline for measurements.
	Policy model.Policy
}

// Node is one VM of the tier.
type Node struct {
	cfg       Config
	kernel    *kernel.Kernel
	readiness *frontend.Readiness
	services  *services
	aborted   atomic.Bool
}

// New assembles a Node. Run starts it.
func New(c Config) (*Node, error) {
	c = withDefaults(c)
	n := &Node{cfg: c, kernel: kernel.New(), readiness: &frontend.Readiness{}}
	var err error
	n.services, err = register(n.kernel, &n.cfg, n.readiness)
	if err != nil {
		return nil, err
	}
	return n, nil
}

func withDefaults(c Config) Config {
	if c.BalancerNotice == 0 {
		c.BalancerNotice = frontend.DefaultBalancerNotice
	}
	if c.Self.Incarnation == 0 {
		// A restarted VM must outrank what its peers remember of it.
		c.Self.Incarnation = uint64(time.Now().UnixNano())
	}
	if c.StopTimeout == 0 {
		c.StopTimeout = DefaultStopTimeout
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Metrics == nil {
		c.Metrics = http.NotFoundHandler()
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Logger == nil {
		c.Logger = logrus.StandardLogger()
	}
	return c
}

// Run serves until ctx ends and then stops as planned: it announces that the
// VM leaves, accepts callers for the balancer's notice, and finishes
// everything in flight within the stop timeout.
func (n *Node) Run(ctx context.Context) error {
	if n.cfg.CreateMetrics {
		m := metrics.New(map[string]string{"vm": string(n.cfg.Self.ID), "domain": string(n.cfg.Self.Domain)}, func(err error) {
			n.cfg.Logger.WithError(err).Warn("metrics: A metric was refused.")
		})
		defer m.Close()
		n.cfg.Scope, n.cfg.Metrics = m.Scope, m.Handler
	}
	return n.kernel.Run(ctx, func() (context.Context, context.CancelFunc) {
		if n.aborted.Load() {
			done, cancel := context.WithCancel(context.Background())
			cancel()
			return done, cancel
		}
		return context.WithTimeout(context.Background(), n.cfg.StopTimeout)
	})
}

// Abort makes Run return without a planned stop once its context ends.
func (n *Node) Abort() { n.aborted.Store(true) }

// Ready reports whether callers may be sent here.
func (n *Node) Ready() bool { return n.readiness.Ready() }

// Self describes the VM.
func (n *Node) Self() model.VM { return n.cfg.Self }

// started reports whether Run has started all services.
func (n *Node) started() bool { return n.services.callers.server.Load() != nil }

// View returns the control state that traffic reads. It is empty until Run has
// started the services.
func (n *Node) View() *model.View {
	if !n.started() {
		return &model.View{Self: n.cfg.Self}
	}
	return n.services.control.Current()
}

// Gateway returns the entry side, for programs that embed the tier. It is
// usable while Run runs.
func (n *Node) Gateway() frontend.Gateway { return n.services.gateway }

// Sends returns the sub-requests that this VM has sent as an entry VM.
func (n *Node) Sends() gateway.Sends {
	if !n.started() {
		return gateway.Sends{}
	}
	return n.services.gateway.Sends()
}
