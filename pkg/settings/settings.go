// Package settings reads the process settings of one VM.
package settings

import (
	"errors"
	"os"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Settings are the process settings of one VM, read from a file. They do not
// include the configuration of services, which comes from the platform.
type Settings struct {
	// VM, Domain and Region identify this VM and its place.
	VM     model.VMID     `json:"vm"`
	Domain model.DomainID `json:"domain"`
	Region model.RegionID `json:"region"`
	Listen Listen         `json:"listen"`
	// Platform is the object API that stores the configuration and the claims.
	Platform Platform `json:"platform"`
	// Seeds are VMs to ask for the configuration when the platform is down.
	// The entry of this VM is ignored, so that all VMs can have the same list.
	Seeds []Seed `json:"seeds"`
	// PeerSecret authenticates VMs to each other, OperatorToken operators to
	// this VM. PeerSecretEnv and OperatorTokenEnv name environment variables
	// to read the values from.
	PeerSecret       Secret `json:"peer_secret"`
	PeerSecretEnv    string `json:"peer_secret_env"`
	OperatorToken    Secret `json:"operator_token"`
	OperatorTokenEnv string `json:"operator_token_env"`
	// BalancerNoticeMS is the time that the load balancer needs to notice that
	// this VM is leaving.
	BalancerNoticeMS int64  `json:"balancer_notice_ms" range:"0,600000"`
	LogLevel         string `json:"log_level"`
	// MaxBodyBytes is the largest allowed body of a caller's request.
	MaxBodyBytes int64 `json:"max_body_bytes" range:"1024,3145728"`
}

// Listen holds the listeners of a VM for callers, peers and operators.
type Listen struct {
	Callers   Listener `json:"callers"`
	Peers     Listener `json:"peers"`
	Operators Listener `json:"operators"`
}

// Listener is an address to listen on, with its TLS files.
type Listener struct {
	Addr string `json:"addr"`
	TLS  TLS    `json:"tls"`
}

// TLS names the files of a listener's certificate and key. Without Cert the
// listener uses plain TCP. With CA, the other side must present a certificate
// that this authority has issued.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Platform holds the address of the platform, the token for it and the limits
// on the calls to it.
type Platform struct {
	URL      string `json:"url"`
	Token    Secret `json:"token"`
	TokenEnv string `json:"token_env"`
	// CallsPerSecond and BurstCalls limit the rate of this VM's calls.
	CallsPerSecond float64 `json:"calls_per_second" range:"0.1,1000"`
	BurstCalls     int     `json:"burst" range:"1,10000"`
}

// Seed is a VM of the Seeds list.
type Seed struct {
	ID     model.VMID     `json:"id"`
	Addr   string         `json:"addr"`
	Domain model.DomainID `json:"domain"`
	Region model.RegionID `json:"region"`
}

// defaults returns the values of settings that the file leaves out.
func defaults() Settings {
	return Settings{
		Platform: Platform{CallsPerSecond: 20, BurstCalls: 100},
		// The default in section 3.13 of the design, planned stop.
		BalancerNoticeMS: 3000,
		LogLevel:         "info",
		MaxBodyBytes:     1 << 20,
	}
}

// faultsSubject tells faults of the settings from those of the configuration.
const faultsSubject = "settings"

// LoadFile reads the settings file, and secrets from the environment. The error
// is a *config.Faults with all faults of the file; it contains no secret.
func LoadFile(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &config.Faults{Subject: faultsSubject, List: []config.Fault{{Origin: config.Origin{File: name}, Path: "(file)", Problem: err.Error()}}}
	}
	return Load(config.Source{Name: name, Data: data}, os.LookupEnv)
}

// Load reads settings from src, and secrets from environment variables with
// lookupEnv.
func Load(src config.Source, lookupEnv func(string) (string, bool)) (*Settings, error) {
	s := defaults()
	v := validator{settings: &s, lookupEnv: lookupEnv, file: config.Decode(src, &s)}
	v.validate()
	err := v.file.Err()
	var faults *config.Faults
	if errors.As(err, &faults) {
		faults.Subject = faultsSubject
	}
	if err != nil {
		return nil, err
	}
	return &s, nil
}

// BalancerNotice returns how long a leaving VM keeps accepting requests of
// callers, so that the load balancer has noticed before it stops.
func (s *Settings) BalancerNotice() time.Duration {
	return time.Duration(s.BalancerNoticeMS) * time.Millisecond
}

// Self returns this VM in the form in which peers know it.
func (s *Settings) Self() model.VM {
	return model.VM{ID: s.VM, Addr: s.Listen.Peers.Addr, Domain: s.Domain, Region: s.Region}
}

// SeedVMs returns the seeds other than this VM.
func (s *Settings) SeedVMs() []model.VM {
	var vms []model.VM
	for _, seed := range s.Seeds {
		if seed.ID != s.VM {
			vms = append(vms, model.VM{ID: seed.ID, Addr: seed.Addr, Domain: seed.Domain, Region: seed.Region})
		}
	}
	return vms
}
