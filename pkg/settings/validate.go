package settings

import (
	"fmt"
	"net/netip"
	"net/url"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// minSecretBytes is the least length of a secret; shorter ones can be guessed.
const minSecretBytes = 16

type validator struct {
	s    *Settings
	env  func(string) (string, bool)
	file config.DecodedFile
}

func (v *validator) run() {
	for _, path := range []string{"vm", "domain", "region", "listen.callers.addr", "listen.peers.addr", "listen.operators.addr", "platform.url"} {
		if !v.file.Has(path) {
			v.file.Report(path, "missing key", "")
		}
	}
	v.listeners()
	v.platform()
	v.seeds()
	v.secret("peer_secret", &v.s.PeerSecret, v.s.PeerSecretEnv, true)
	v.secret("operator_token", &v.s.OperatorToken, v.s.OperatorTokenEnv, true)
	v.secret("platform.token", &v.s.Platform.Token, v.s.Platform.TokenEnv, false)
	if _, err := logrus.ParseLevel(v.s.LogLevel); err != nil {
		v.file.Report("log_level", fmt.Sprintf("unknown level %q", v.s.LogLevel), "error, warning, info, debug, trace")
	}
}

// secret takes the value from the file or from an environment variable.
func (v *validator) secret(path string, value *Secret, variable string, required bool) {
	switch {
	case variable != "" && *value != "":
		v.file.Report(path, "set both inline and by "+path+"_env", "one of them")
	case variable != "":
		found, ok := v.env(variable)
		if !ok || found == "" {
			v.file.Report(path+"_env", fmt.Sprintf("environment variable %q is not set", variable), "")
			return
		}
		*value = Secret(found)
	}
	switch {
	case *value == "" && required:
		v.file.Report(path, "missing key", path+" or "+path+"_env")
	case *value != "" && len(*value) < minSecretBytes:
		v.file.Report(path, fmt.Sprintf("too short, %d bytes", len(*value)), fmt.Sprintf("at least %d bytes", minSecretBytes))
	}
}

func (v *validator) listeners() {
	used := map[string]string{}
	l := v.s.Listen
	v.listener("listen.callers", l.Callers, used)
	v.listener("listen.peers", l.Peers, used)
	v.listener("listen.operators", l.Operators, used)
	if a, err := netip.ParseAddrPort(l.Peers.Addr); err == nil && a.Addr().IsUnspecified() {
		v.file.Report("listen.peers.addr", "peers must be able to dial this address, got "+l.Peers.Addr, "a specific IP address")
	}
	if l.Peers.TLS.Cert != "" && l.Peers.TLS.CA == "" {
		v.file.Report("listen.peers.tls.ca", "missing key: without it a VM would accept any peer's certificate", "")
	}
}

func (v *validator) listener(path string, l Listener, used map[string]string) {
	v.address(path+".addr", l.Addr)
	if first, dup := used[l.Addr]; dup && l.Addr != "" {
		v.file.Report(path+".addr", "same address as "+first, "an address of its own")
	}
	used[l.Addr] = path
	if (l.TLS.Cert == "") != (l.TLS.Key == "") || (l.TLS.CA != "" && l.TLS.Cert == "") {
		v.file.Report(path+".tls", "cert and key must be set together, ca only with them", "")
		return
	}
	if _, err := l.TLS.Config(); err != nil {
		v.file.Report(path+".tls", err.Error(), "readable PEM files")
	}
}

func (v *validator) address(path, addr string) {
	a, err := netip.ParseAddrPort(addr)
	if addr != "" && (err != nil || a.Port() == 0) {
		v.file.Report(path, fmt.Sprintf("not an IP address with a port: %q", addr), "ip:port")
	}
}

func (v *validator) platform() {
	u, err := url.Parse(v.s.Platform.URL)
	if v.s.Platform.URL == "" {
		return
	}
	// The text is not shown, because it may contain a password.
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		v.file.Report("platform.url", "not a URL", "http://host:port or https://host:port")
		return
	}
	if u.User != nil {
		v.file.Report("platform.url", "contains user information", "platform.token or platform.token_env")
	}
}

func (v *validator) seeds() {
	ids := map[model.VMID]int{}
	for i, s := range v.s.Seeds {
		path := fmt.Sprintf("seeds[%d]", i)
		for _, key := range []string{"id", "addr", "domain", "region"} {
			if !v.file.Has(path + "." + key) {
				v.file.Report(path+"."+key, "missing key", "")
			}
		}
		v.address(path+".addr", s.Addr)
		if first, dup := ids[s.ID]; dup {
			v.file.Report(path+".id", fmt.Sprintf("duplicate of seeds[%d]: %q", first, s.ID), "")
		}
		ids[s.ID] = i
		if s.ID == v.s.VM && (s.Domain != v.s.Domain || s.Region != v.s.Region || s.Addr != v.s.Listen.Peers.Addr) {
			v.file.Report(path, fmt.Sprintf("contradicts what the settings say of %q itself", s.ID), "")
		}
	}
}
