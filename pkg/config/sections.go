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

// Sections of groups are cut so that each fits into a control frame (64 KiB),
// because peers hand them on, and so that a changed replica transfers little:
// at the target scale one section of about 16 groups, 11 KB.
const (
	// cutModulus is the average number of groups between two cuts. A cut
	// depends on the id of the group after it, so a group that is added or
	// removed moves no other cut.
	cutModulus = 16
	// maxWeight bounds the shards and replicas in one section. With the
	// longest names that validation accepts a replica takes 180 bytes, so a
	// section stays below 48 KB.
	maxWeight = 256
)

// hashBytes is the length of a section hash before hex encoding. SHA-256 is
// used in place of xxhash because a collision would put a wrong section into
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
	// Version orders documents; a VM never goes back to a lower one.
	Version uint64 `json:"version" msgpack:"version"`
	// Sections maps section names to the hashes of their bodies.
	Sections map[string]string `json:"sections" msgpack:"sections"`
	// Recent holds the tokens of the latest publications, newest last. A
	// publisher whose reply was lost looks for its own token here.
	Recent []string `json:"recent,omitempty" msgpack:"recent"`
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
	Service model.Service `json:"service"`
	Maps    []mapBody     `json:"maps"`
}

type mapBody struct {
	Epoch uint64 `json:"epoch"`
	// Sections names the sections of the groups, in order.
	Sections []string `json:"sections"`
}

// Hash returns the content address of a section body.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:hashBytes])
}

// Split cuts a validated document into sections. It returns the manifest,
// which has the document's version, and the section bodies by hash. Equal
// parts of two documents get equal hashes.
func Split(d *model.Document) (Manifest, map[string][]byte) {
	s := splitter{
		manifest: Manifest{Version: d.Version, Sections: map[string]string{}},
		bodies:   map[string][]byte{},
	}
	s.add(topologySection, topologyBody{Site: d.Site, Domains: d.Domains, Tier: d.Tier})
	s.add(overridesSection, d.Overrides)
	for id, svc := range d.Services {
		s.addService(id, svc)
	}
	return s.manifest, s.bodies
}

type splitter struct {
	manifest Manifest
	bodies   map[string][]byte
}

func (s *splitter) add(name string, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		// The section types hold only strings, numbers, slices and maps, so
		// only a NaN or an infinity gets here; validation refuses both.
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
		out := mapBody{Epoch: m.Epoch}
		for _, section := range cut(m.Groups) {
			name := fmt.Sprintf("%s%s.%d.%s", groupsPrefix, id, m.Epoch, section.name)
			s.add(name, section.groups)
			out.Sections = append(out.Sections, name)
		}
		body.Maps = append(body.Maps, out)
	}
	s.add(servicePrefix+string(id), body)
}

// Join rebuilds a document from its manifest and sections. The error is a
// *SectionError. Each body is checked against its hash.
func Join(m Manifest, section func(hash string) ([]byte, bool)) (*model.Document, error) {
	j := joiner{manifest: m, section: section}
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
	manifest Manifest
	section  func(hash string) ([]byte, bool)
}

func (j *joiner) read(name string, into any) error {
	hash := j.manifest.Sections[name]
	body, ok := j.section(hash)
	if hash == "" || !ok {
		return &SectionError{Name: name, Hash: hash, Reason: SectionMissing}
	}
	if Hash(body) != hash {
		return &SectionError{Name: name, Hash: hash, Reason: SectionCorrupt}
	}
	if err := json.Unmarshal(body, into); err != nil {
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
	for _, m := range body.Maps {
		groups, err := j.groups(m)
		if err != nil {
			return nil, err
		}
		svc.ShardMaps = append(svc.ShardMaps, model.ShardMap{Epoch: m.Epoch, Groups: groups})
	}
	return &svc, nil
}

func (j *joiner) groups(m mapBody) ([]model.Group, error) {
	var all []model.Group
	for _, name := range m.Sections {
		var section []model.Group
		if err := j.read(name, &section); err != nil {
			return nil, err
		}
		all = appendGroups(all, section)
	}
	return all, nil
}
