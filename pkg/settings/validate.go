package settings

import (
	"fmt"
	"net/netip"
	"net/url"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// minSecretBytes is the minimum length of a secret; shorter ones can be guessed.
const minSecretBytes = 16

// validator reports the faults of settings that Decode cannot find, and resolves
// secrets.
type validator struct {
	settings  *Settings
	lookupEnv func(string) (string, bool)
	file      config.DecodedFile
}

func (v *validator) validate() {
	for _, path := range []string{"vm", "domain", "region", "listen.callers.addr", "listen.peers.addr", "listen.operators.addr", "platform.url"} {
		if !v.file.Has(path) {
			v.file.Report(path, "missing key", "")
		}
	}
	v.checkListeners()
	v.checkPlatform()
	v.checkSeeds()
	v.resolveSecret("peer_secret", &v.settings.PeerSecret, v.settings.PeerSecretEnv, true)
	v.resolveSecret("operator_token", &v.settings.OperatorToken, v.settings.OperatorTokenEnv, true)
	v.resolveSecret("platform.token", &v.settings.Platform.Token, v.settings.Platform.TokenEnv, false)
	if _, err := logrus.ParseLevel(v.settings.LogLevel); err != nil {
		v.file.Report("log_level", fmt.Sprintf("unknown level %q", v.settings.LogLevel), "error, warning, info, debug, trace")
	}
}

// resolveSecret checks the secret at path, which the file sets itself or by the
// name of an environment variable, and stores the value of that variable.
func (v *validator) resolveSecret(path string, value *Secret, envName string, required bool) {
	switch {
	case envName != "" && *value != "":
		v.file.Report(path, "set together with "+path+"_env", "one of the two")
	case envName != "":
		secret, ok := v.lookupEnv(envName)
		if !ok || secret == "" {
			v.file.Report(path+"_env", fmt.Sprintf("environment variable %q is not set", envName), "")
			return
		}
		*value = Secret(secret)
	}
	switch {
	case *value == "" && required:
		v.file.Report(path, "missing key", path+" or "+path+"_env")
	case *value != "" && len(*value) < minSecretBytes:
		v.file.Report(path, fmt.Sprintf("too short, %d bytes", len(*value)), fmt.Sprintf("at least %d bytes", minSecretBytes))
	}
}

func (v *validator) checkListeners() {
	pathByAddr := map[string]string{}
	l := v.settings.Listen
	v.checkListener("listen.callers", l.Callers, pathByAddr)
	v.checkListener("listen.peers", l.Peers, pathByAddr)
	v.checkListener("listen.operators", l.Operators, pathByAddr)
	if a, err := netip.ParseAddrPort(l.Peers.Addr); err == nil && a.Addr().IsUnspecified() {
		v.file.Report("listen.peers.addr", "peers must be able to dial this address, got "+l.Peers.Addr, "a specific IP address")
	}
	if l.Peers.TLS.Cert != "" && l.Peers.TLS.CA == "" {
		v.file.Report("listen.peers.tls.ca", "missing key: without it a VM would accept any peer's certificate", "")
	}
}

func (v *validator) checkListener(path string, l Listener, pathByAddr map[string]string) {
	v.checkAddress(path+".addr", l.Addr)
	if first, dup := pathByAddr[l.Addr]; dup && l.Addr != "" {
		v.file.Report(path+".addr", "same address as "+first, "a unique address")
	}
	pathByAddr[l.Addr] = path
	if (l.TLS.Cert == "") != (l.TLS.Key == "") || (l.TLS.CA != "" && l.TLS.Cert == "") {
		v.file.Report(path+".tls", "cert and key must be set together, ca only with them", "")
		return
	}
	if _, err := l.TLS.Config(); err != nil {
		v.file.Report(path+".tls", err.Error(), "readable PEM files")
	}
}

func (v *validator) checkAddress(path, addr string) {
	a, err := netip.ParseAddrPort(addr)
	if addr != "" && (err != nil || a.Port() == 0) {
		v.file.Report(path, fmt.Sprintf("not an IP address with a port: %q", addr), "ip:port")
	}
}

func (v *validator) checkPlatform() {
	u, err := url.Parse(v.settings.Platform.URL)
	if v.settings.Platform.URL == "" {
		return
	}
	// The URL is not shown in the fault, because it may contain a password.
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		v.file.Report("platform.url", "not a URL", "http://host:port or https://host:port")
		return
	}
	if u.User != nil {
		v.file.Report("platform.url", "contains user information", "platform.token or platform.token_env")
	}
}

func (v *validator) checkSeeds() {
	indexByID := map[model.VMID]int{}
	for i, s := range v.settings.Seeds {
		path := fmt.Sprintf("seeds[%d]", i)
		for _, key := range []string{"id", "addr", "domain", "region"} {
			if !v.file.Has(path + "." + key) {
				v.file.Report(path+"."+key, "missing key", "")
			}
		}
		v.checkAddress(path+".addr", s.Addr)
		if first, dup := indexByID[s.ID]; dup {
			v.file.Report(path+".id", fmt.Sprintf("duplicate of seeds[%d]: %q", first, s.ID), "")
		}
		indexByID[s.ID] = i
		if s.ID == v.settings.VM && (s.Domain != v.settings.Domain || s.Region != v.settings.Region || s.Addr != v.settings.Listen.Peers.Addr) {
			v.file.Report(path, fmt.Sprintf("the entry of this VM, %q, differs from its listen.peers.addr, domain or region", s.ID), "")
		}
	}
}
