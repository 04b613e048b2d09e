// Package config loads, checks, splits and publishes the configuration
// document of the tier.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// The groups of a shard map are split into sections, so that each section fits
// into a control frame (64 KiB), in which peers send it to each other, and so
// that little is transferred when a replica changes: at the target scale one
// section of about 16 groups, 11 KB.
const (
	// avgGroupsPerSection is the average number of groups in a section. Whether
	// a group starts a section depends on the hash of its id, so adding or
	// removing a group does not change where other sections start.
	avgGroupsPerSection = 16
	// maxSectionEntries is the largest number of shards and replicas together
	// in one section. With the longest names that validation accepts a replica
	// takes 180 bytes, so a section stays below 48 KB.
	maxSectionEntries = 256
)

// hashBytes is the length of a section hash before hex encoding. The hash is
// SHA-256 and not xxhash, because a collision would put a wrong section into
// force without any error.
const hashBytes = 16

const (
	topologySection  = "topology"
	overridesSection = "overrides"
	servicePrefix    = "service."
	groupsPrefix     = "groups."
)

// Manifest names the sections of one document. It is small, so that a VM can
// learn what changed without reading the document.
type Manifest struct {
	// Version increases with each publication. A VM never replaces a document
	// by one with a lower version.
	Version uint64 `json:"version" msgpack:"version"`
	// Sections maps section names to the hashes of their bodies.
	Sections map[string]string `json:"sections" msgpack:"sections"`
	// RecentTokens holds the tokens of the latest publications, newest last.
	// Each publication has its own token. A publisher whose reply was lost
	// looks for its token here.
	RecentTokens []string `json:"recent,omitempty" msgpack:"recent"`
}

// SectionError reports a section that Join cannot use.
type SectionError struct {
	Name   string
	Hash   string
	Reason string
}

// Error implements error.
func (e *SectionError) Error() string {
	return fmt.Sprintf("config section %s@%s: %s", e.Name, e.Hash, e.Reason)
}

// Reasons of a SectionError.
const (
	SectionMissing   = "missing"
	SectionCorrupt   = "body does not match its hash"
	SectionMalformed = "malformed"
	SectionUnknown   = "unknown name"
)

type topologyBody struct {
	Site    string                          `json:"site"`
	Domains map[model.DomainID]model.Domain `json:"domains"`
	Tier    model.Tier                      `json:"tier"`
}

type serviceBody struct {
	Service   model.Service  `json:"service"`
	ShardMaps []shardMapBody `json:"maps"`
}

type shardMapBody struct {
	Epoch uint64 `json:"epoch"`
	// Sections names the sections of the groups, in order.
	Sections []string `json:"sections"`
}

// Hash returns the hash of a section body, which names the section in the
// platform.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:hashBytes])
}

// Split divides a validated document into sections. It returns the manifest,
// which has the document's version, and the section bodies by hash. Parts that
// are equal in two documents have equal hashes.
func Split(d *model.Document) (Manifest, map[string][]byte) {
	s := splitter{
		manifest: Manifest{Version: d.Version, Sections: map[string]string{}},
		bodies:   map[string][]byte{},
	}
	s.addSection(topologySection, topologyBody{Site: d.Site, Domains: d.Domains, Tier: d.Tier})
	s.addSection(overridesSection, d.Overrides)
	for id, svc := range d.Services {
		s.addService(id, svc)
	}
	return s.manifest, s.bodies
}

type splitter struct {
	manifest Manifest
	bodies   map[string][]byte
}

func (s *splitter) addSection(name string, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		// The section types hold only strings, numbers, slices and maps, so
		// only a NaN or an infinity fails to encode; validation refuses both.
		panic(fmt.Sprintf("config: section %s: %v", name, err))
	}
	hash := Hash(body)
	s.manifest.Sections[name] = hash
	s.bodies[hash] = body
}

func (s *splitter) addService(id model.ServiceID, svc *model.Service) {
	body := serviceBody{Service: *svc}
	body.Service.ShardMaps = nil
	for _, m := range svc.ShardMaps {
		out := shardMapBody{Epoch: m.Epoch}
		for _, section := range splitGroups(m.Groups) {
			name := fmt.Sprintf("%s%s.%d.%s", groupsPrefix, id, m.Epoch, section.name)
			s.addSection(name, section.groups)
			out.Sections = append(out.Sections, name)
		}
		body.ShardMaps = append(body.ShardMaps, out)
	}
	s.addSection(servicePrefix+string(id), body)
}

// Join builds the document from its manifest and the section bodies, which
// sectionBody returns by hash. It checks each body against its hash. The error
// is a *SectionError.
func Join(m Manifest, sectionBody func(hash string) ([]byte, bool)) (*model.Document, error) {
	j := joiner{manifest: m, sectionBody: sectionBody}
	d := &model.Document{Version: m.Version, Services: map[model.ServiceID]*model.Service{}}
	var top topologyBody
	if err := j.read(topologySection, &top); err != nil {
		return nil, err
	}
	d.Site, d.Domains, d.Tier = top.Site, top.Domains, top.Tier
	if err := j.read(overridesSection, &d.Overrides); err != nil {
		return nil, err
	}
	for name, hash := range m.Sections {
		id, isService := strings.CutPrefix(name, servicePrefix)
		if !isService {
			if !strings.HasPrefix(name, groupsPrefix) && name != topologySection && name != overridesSection {
				return nil, &SectionError{Name: name, Hash: hash, Reason: SectionUnknown}
			}
			continue
		}
		svc, err := j.service(model.ServiceID(id))
		if err != nil {
			return nil, err
		}
		d.Services[model.ServiceID(id)] = svc
	}
	return d, nil
}

type joiner struct {
	manifest    Manifest
	sectionBody func(hash string) ([]byte, bool)
}

func (j *joiner) read(name string, target any) error {
	hash := j.manifest.Sections[name]
	body, ok := j.sectionBody(hash)
	if hash == "" || !ok {
		return &SectionError{Name: name, Hash: hash, Reason: SectionMissing}
	}
	if Hash(body) != hash {
		return &SectionError{Name: name, Hash: hash, Reason: SectionCorrupt}
	}
	if err := json.Unmarshal(body, target); err != nil {
		return &SectionError{Name: name, Hash: hash, Reason: SectionMalformed}
	}
	return nil
}

func (j *joiner) service(id model.ServiceID) (*model.Service, error) {
	var body serviceBody
	if err := j.read(servicePrefix+string(id), &body); err != nil {
		return nil, err
	}
	svc := body.Service
	for _, m := range body.ShardMaps {
		groups, err := j.groups(m)
		if err != nil {
			return nil, err
		}
		svc.ShardMaps = append(svc.ShardMaps, model.ShardMap{Epoch: m.Epoch, Groups: groups})
	}
	return &svc, nil
}

func (j *joiner) groups(m shardMapBody) ([]model.Group, error) {
	var groups []model.Group
	for _, name := range m.Sections {
		var section []model.Group
		if err := j.read(name, &section); err != nil {
			return nil, err
		}
		groups = appendGroups(groups, section)
	}
	return groups, nil
}
