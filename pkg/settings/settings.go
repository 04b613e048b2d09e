// Package settings reads the process settings of one VM.
package settings

import (
	"errors"
	"os"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Settings are the process settings of one VM. The configuration of services
// is not part of them; it comes from the platform.
type Settings struct {
	// VM, Domain and Region tell who this VM is.
	VM     model.VMID     `json:"vm"`
	Domain model.DomainID `json:"domain"`
	Region model.RegionID `json:"region"`
	Listen Listen         `json:"listen"`
	// Platform is the object API that holds the configuration and claims.
	Platform Platform `json:"platform"`
	// Seeds are VMs to ask for the configuration when the platform is down.
	// The entry of this VM itself is ignored, so all VMs can share one list.
	Seeds []Seed `json:"seeds"`
	// PeerSecret authenticates VMs to each other. PeerSecretEnv and
	// OperatorTokenEnv name environment variables to read the value from.
	PeerSecret       Secret `json:"peer_secret"`
	PeerSecretEnv    string `json:"peer_secret_env"`
	OperatorToken    Secret `json:"operator_token"`
	OperatorTokenEnv string `json:"operator_token_env"`
	// BalancerNoticeMS is the time the balancer needs to notice that the VM is leaving.
	BalancerNoticeMS int64  `json:"balancer_notice_ms" range:"0,600000"`
	LogLevel         string `json:"log_level"`
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64 `json:"max_body_bytes" range:"1024,3145728"`
}

// Listen holds the three listeners of a VM.
type Listen struct {
	Callers   Listener `json:"callers"`
	Peers     Listener `json:"peers"`
	Operators Listener `json:"operators"`
}

// Listener is one listening address.
type Listener struct {
	Addr string `json:"addr"`
	TLS  TLS    `json:"tls"`
}

// TLS names the files of a listener's certificate. Without Cert the listener
// uses plain TCP. CA is the authority that the other side must present a
// certificate of.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Platform says how to reach the platform.
type Platform struct {
	URL      string `json:"url"`
	Token    Secret `json:"token"`
	TokenEnv string `json:"token_env"`
	// CallsPerSecond and BurstCalls bound this VM's calls.
	CallsPerSecond float64 `json:"calls_per_second" range:"0.1,1000"`
	BurstCalls     int     `json:"burst" range:"1,10000"`
}

// Seed is another VM as known from the settings.
type Seed struct {
	ID     model.VMID     `json:"id"`
	Addr   string         `json:"addr"`
	Domain model.DomainID `json:"domain"`
	Region model.RegionID `json:"region"`
}

// defaults returns the settings that a file need not contain.
func defaults() Settings {
	return Settings{
		Platform: Platform{CallsPerSecond: 20, BurstCalls: 100},
		// Section 3.13 of the design.
		BalancerNoticeMS: 3000,
		LogLevel:         "info",
		MaxBodyBytes:     1 << 20,
	}
}

// subject names the file in its faults.
const subject = "settings"

// LoadFile reads the settings file. The error is a *config.Faults with
// everything that is wrong; it contains no secret.
func LoadFile(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &config.Faults{Subject: subject, List: []config.Fault{{Origin: config.Origin{File: name}, Path: "(file)", Problem: err.Error()}}}
	}
	return Load(config.Source{Name: name, Data: data}, os.LookupEnv)
}

// Load reads settings from src and secrets from the environment.
func Load(src config.Source, env func(string) (string, bool)) (*Settings, error) {
	s := defaults()
	v := validator{s: &s, env: env, file: config.Decode(src, &s)}
	v.run()
	err := v.file.Err()
	var faults *config.Faults
	if errors.As(err, &faults) {
		faults.Subject = subject
	}
	if err != nil {
		return nil, err
	}
	return &s, nil
}

// BalancerNotice returns how long a leaving VM keeps accepting callers.
func (s *Settings) BalancerNotice() time.Duration {
	return time.Duration(s.BalancerNoticeMS) * time.Millisecond
}

// Self returns this VM as its peers see it.
func (s *Settings) Self() model.VM {
	return model.VM{ID: s.VM, Addr: s.Listen.Peers.Addr, Domain: s.Domain, Region: s.Region}
}

// SeedVMs returns the seeds without this VM itself.
func (s *Settings) SeedVMs() []model.VM {
	var vms []model.VM
	for _, seed := range s.Seeds {
		if seed.ID != s.VM {
			vms = append(vms, model.VM{ID: seed.ID, Addr: seed.Addr, Domain: seed.Domain, Region: seed.Region})
		}
	}
	return vms
}
