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

// DefaultStopTimeout bounds a planned stop. It covers Config.BalancerNotice and
// the longest request.
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

	// BalancerNotice is how long a planned stop still accepts callers after
	// /readyz has begun to fail. 0 stands for frontend.DefaultBalancerNotice.
	BalancerNotice time.Duration
	// StopTimeout bounds a planned stop. 0 stands for DefaultStopTimeout.
	StopTimeout  time.Duration
	MaxBodyBytes int64

	Logger *logrus.Logger
	// MetricsScope is the root of all metrics, MetricsHandler serves them under
	// /metrics.
	MetricsScope   tally.Scope
	MetricsHandler http.Handler
	// CreateMetrics makes Run create both, and stop reporting when it returns.
	CreateMetrics bool
	Rand          *rand.Rand
	// Policy turns mechanisms of the tier off, for measurements that compare the
	// tier with and without them.
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
	n.services, err = registerServices(n.kernel, &n.cfg, n.readiness)
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
		// A restarted VM needs a higher incarnation than the one that its peers
		// know.
		c.Self.Incarnation = uint64(time.Now().UnixNano())
	}
	if c.StopTimeout == 0 {
		c.StopTimeout = DefaultStopTimeout
	}
	if c.MetricsScope == nil {
		c.MetricsScope = tally.NoopScope
	}
	if c.MetricsHandler == nil {
		c.MetricsHandler = http.NotFoundHandler()
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
// VM leaves, accepts callers for BalancerNotice, and finishes all requests in
// flight within StopTimeout.
func (n *Node) Run(ctx context.Context) error {
	if n.cfg.CreateMetrics {
		m := metrics.New(map[string]string{"vm": string(n.cfg.Self.ID), "domain": string(n.cfg.Self.Domain)}, func(err error) {
			n.cfg.Logger.WithError(err).Warn("metrics: metric is not exported: registration failed")
		})
		defer m.Close()
		n.cfg.MetricsScope, n.cfg.MetricsHandler = m.Scope, m.Handler
	}
	return n.kernel.Run(ctx, func() (context.Context, context.CancelFunc) {
		if n.aborted.Load() {
			canceled, cancel := context.WithCancel(context.Background())
			cancel()
			return canceled, cancel
		}
		return context.WithTimeout(context.Background(), n.cfg.StopTimeout)
	})
}

// Abort makes Run return without a planned stop once its context ends.
func (n *Node) Abort() { n.aborted.Store(true) }

// Ready reports whether the load balancer may send callers to this VM.
func (n *Node) Ready() bool { return n.readiness.Ready() }

// Self describes the VM.
func (n *Node) Self() model.VM { return n.cfg.Self }

// started reports whether Run has started all services.
func (n *Node) started() bool { return n.services.callers.server.Load() != nil }

// View returns the view of the tier that this VM routes requests by. Until Run
// has started the services, it holds only the VM itself.
func (n *Node) View() *model.View {
	if !n.started() {
		return &model.View{Self: n.cfg.Self}
	}
	return n.services.control.Current()
}

// Gateway returns the gateway that handles the requests of this VM's callers,
// for programs that embed the tier. It can be used while Run is executing.
func (n *Node) Gateway() frontend.Gateway { return n.services.gateway }

// Sends returns how many sub-requests this VM's gateway has sent, by the reason
// of the send.
func (n *Node) Sends() gateway.Sends {
	if !n.started() {
		return gateway.Sends{}
	}
	return n.services.gateway.Sends()
}
