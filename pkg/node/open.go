package node

import (
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/logging"
	"github.com/nutmeghitch/nutmeghitch/pkg/metrics"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
	"github.com/nutmeghitch/nutmeghitch/pkg/settings"
)

// logCapacityLines is the number of log lines that may wait for a slow writer;
// further lines are dropped and counted.
const logCapacityLines = 1 << 16

// Resources are what Open has opened for a Node besides its listeners. The
// caller closes them when Run has returned.
type Resources struct {
	LogWriter *logging.AsyncWriter
	Metrics   *metrics.Metrics
}

// Open builds a Node from the settings of one VM. Log lines go to out.
func Open(s *settings.Settings, out io.Writer) (*Node, *Resources, error) {
	c := Config{
		Self:           s.Self(),
		SeedVMs:        s.SeedVMs(),
		PeerSecret:     []byte(s.PeerSecret.Reveal()),
		OperatorToken:  s.OperatorToken.Reveal(),
		BalancerNotice: s.BalancerNotice(),
		MaxBodyBytes:   s.MaxBodyBytes,
		Store: platform.NewClient(platform.Config{
			URL:            s.Platform.URL,
			Token:          s.Platform.Token.Reveal(),
			CallsPerSecond: s.Platform.CallsPerSecond,
			BurstCalls:     s.Platform.BurstCalls,
		}),
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, nil, errs.Refuse(errs.SettingsInvalid, "log_level: %v", err)
	}
	if err := openTLS(&c, s.Listen); err != nil {
		return nil, nil, err
	}
	if err := openListeners(&c, s.Listen); err != nil {
		return nil, nil, err
	}
	resources := &Resources{}
	c.Logger, resources.LogWriter = logging.New(out, level, logCapacityLines)
	resources.Metrics = metrics.New(map[string]string{"vm": string(s.VM), "domain": string(s.Domain)}, func(err error) {
		c.Logger.WithError(err).Warn("metrics: metric is not exported: registration failed")
	})
	c.MetricsScope, c.MetricsHandler = resources.Metrics.Scope, resources.Metrics.Handler
	n, err := New(c)
	if err != nil {
		closeListeners(&c)
	}
	return n, resources, err
}

func openTLS(c *Config, l settings.Listen) error {
	var err error
	if c.CallersTLS, err = l.Callers.TLS.Config(); err != nil {
		return err
	}
	if c.PeersTLS, err = l.Peers.TLS.Config(); err != nil {
		return err
	}
	c.OperatorsTLS, err = l.Operators.TLS.Config()
	return err
}

func openListeners(c *Config, l settings.Listen) error {
	for _, endpoint := range []struct {
		name   string
		addr   string
		target *net.Listener
	}{
		{"callers", l.Callers.Addr, &c.CallersListener},
		{"peers", l.Peers.Addr, &c.PeersListener},
		{"operators", l.Operators.Addr, &c.OperatorsListener},
	} {
		var err error
		if *endpoint.target, err = listen(endpoint.name, endpoint.addr); err != nil {
			closeListeners(c)
			return err
		}
	}
	return nil
}

func listen(name, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, errs.Refuse(errs.AddressInUse, "listen.%s.addr: %s is used by another process", name, addr)
	}
	if err != nil {
		return nil, errs.Refuse(errs.SettingsInvalid, "listen.%s.addr: %v", name, err)
	}
	return l, nil
}

func closeListeners(c *Config) {
	for _, l := range []net.Listener{c.CallersListener, c.PeersListener, c.OperatorsListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}
