package capacity

import (
	"context"
	"encoding/json"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/confsync"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// configItems measure the spread of the configuration.
func configItems() []Item {
	return []Item{
		{
			Name: "config-spread", Size: "nodes", Sizes: fleetSizes, Quick: quickFleet, Target: targetVMs,
			Metrics: []Metric{
				{Name: "until a change is in force on every node", Unit: "s", Model: Log, Why: epidemic, Budget: budgetSpread},
				{Name: "bytes sent and received per node and change", Unit: "KB", Model: Linear, Why: "the manifest names all sections, and the document grows with the nodes"},
				{Name: "platform reads for the change", Unit: "reads", Model: Linear, Why: "watchers read; their number depends on the failure domains only"},
			},
			Measure: measureConfigSpread,
		},
		{
			Name: "config-document", Size: "replicas", Sizes: replicaSizes, Quick: quickSizes, Target: targetReplicas,
			Metrics: []Metric{
				{Name: "bytes at the start of a VM", Unit: "KB", Model: Linear, Why: "all sections"},
				{Name: "manifest", Unit: "KB", Model: Linear, Why: "one entry for each section of about 16 groups"},
				{Name: "section that a change of one replica moves", Unit: "KB", Model: Linear, Why: "sections have a bounded size; the slope is expected to be 0"},
				{Name: "processor time to join a version", Unit: "ms", Model: Linear, Why: "all sections are decoded"},
			},
			Measure: measureDocument,
		},
		{
			Name: "platform-calls", Size: "nodes", Sizes: fleetSizes, Quick: quickFleet, Target: targetVMs,
			Metrics: []Metric{
				{Name: "manifest reads", Unit: "1/s", Model: Linear, Why: "a fallback poll of each VM", Budget: 2000},
				{Name: "watches", Unit: "1/s", Model: Linear, Why: "two VMs of each failure domain; the slope is expected to be 0"},
			},
			Measure: measurePlatformCalls,
		},
	}
}

// targetDocument has the replicas of the target in proportion to the nodes.
func targetDocument(nodes int) *model.Document {
	return document(max(1, nodes*targetReplicas/targetVMs/replicasPerGroup), replicasPerGroup)
}

// sections returns the manifest and the bodies of a document.
func sections(doc *model.Document, version uint64) (confsync.Manifest, map[string][]byte) {
	m, bodies := config.Split(doc)
	return confsync.Manifest{Version: version, Sections: m.Sections}, bodies
}

// changeOne moves one replica to another address.
func changeOne(doc *model.Document) {
	groups := doc.Services[service].ShardMaps[0].Groups
	groups[len(groups)/2].Replicas[0].Addr = "10.200.1.1:8080"
}

func measureConfigSpread(_ context.Context, _ Effort, n int) ([]float64, error) {
	s := newSim(n)
	doc := targetDocument(n)
	m, bodies := sections(doc, 1)
	s.configure(m, bodies)
	// The first polls and the start of the watches are over after 5 s.
	s.run(5 * time.Second)
	changeOne(doc)
	m, bodies = sections(doc, 2)
	bytes, reads := s.configBytes, s.store.reads
	s.store.publish(m, bodies)
	took, ok := s.until(spreadLimit, func(i int) bool { return s.nodes[i].config.Version() == 2 })
	if !ok {
		return nil, errs.Refuse(errs.Internal, "not in force everywhere after %v of virtual time", spreadLimit)
	}
	return []float64{took.Seconds(), 2 * float64(s.configBytes-bytes) / float64(n) / 1024, float64(s.store.reads - reads)}, s.failure
}

func measureDocument(_ context.Context, e Effort, n int) ([]float64, error) {
	doc := document(n/replicasPerGroup, replicasPerGroup)
	m, before := config.Split(doc)
	total := 0
	for _, body := range before {
		total += len(body)
	}
	text, err := json.Marshal(m)
	if err != nil {
		return nil, errs.Refuse(errs.Internal, "manifest: %v", err)
	}
	changeOne(doc)
	_, after := config.Split(doc)
	changed := 0
	for hash, body := range after {
		if before[hash] == nil {
			changed += len(body)
		}
	}
	c, err := measure(e, func() error {
		_, err := config.Join(m, func(hash string) ([]byte, bool) { body, ok := before[hash]; return body, ok })
		return err
	})
	return []float64{kb(total + len(text)), kb(len(text)), kb(changed), c.ns / 1e6}, err
}

func kb(n int) float64 { return float64(n) / 1024 }

// pollTime covers several rounds of the poll of 60 s.
const pollTime = 5 * time.Minute

// measurePlatformCalls counts the calls of a fleet that has the newest
// configuration. Membership does not run: it makes no platform calls.
func measurePlatformCalls(_ context.Context, _ Effort, n int) ([]float64, error) {
	s := newSim(n)
	m, bodies := sections(targetDocument(targetDomains), 1)
	s.configure(m, bodies)
	for i := range s.nodes {
		s.request(i)
	}
	reads, watches := s.store.reads, s.store.watches
	for end := s.now.Add(pollTime); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		s.steps++
		s.store.step(s)
		for i := range s.nodes {
			if (s.steps+i)%2 == 0 {
				s.request(i)
			}
		}
	}
	if s.store.reads == reads {
		return nil, errs.Refuse(errs.Internal, "no node has polled in %v", pollTime)
	}
	per := pollTime.Seconds()
	return []float64{float64(s.store.reads-reads) / per, float64(s.store.watches-watches) / per}, s.failure
}
