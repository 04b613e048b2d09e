package config

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

func sample(site string, groups int) *model.Document {
	svc := &model.Service{Kind: model.Search, Slots: 3, ExtraLoad: 0.05}
	m := model.ShardMap{Epoch: 1}
	for i := range groups {
		m.Groups = append(m.Groups, model.Group{
			ID:       model.GroupID(fmt.Sprint("g", i)),
			Shards:   []model.ShardID{model.ShardID(fmt.Sprint("s", i))},
			Replicas: []model.Replica{{ID: model.ReplicaID(fmt.Sprint("r", i)), Addr: "127.0.0.1:1", Domain: "a"}},
		})
	}
	svc.ShardMaps = []model.ShardMap{m}
	return &model.Document{
		Site:     site,
		Domains:  map[model.DomainID]model.Domain{"a": {Region: "x"}, "b": {Region: "x"}},
		Services: map[model.ServiceID]*model.Service{"s": svc},
	}
}

// Guards against a document that changes on its way through the sections and
// against a section that does not fit into a control frame.
func TestJoinRestoresSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := sample("x", rapid.IntRange(0, 30).Draw(t, "groups"))
		d.Version = 7
		name := strings.Repeat("n", 50)
		for i := range d.Services["s"].ShardMaps[0].Groups {
			g := &d.Services["s"].ShardMaps[0].Groups[i]
			for s := range rapid.SampledFrom([]int{0, 1, 8, 300}).Draw(t, "shards") {
				g.Shards = append(g.Shards, model.ShardID(fmt.Sprint(name, i, ".", s)))
			}
			for r := range rapid.SampledFrom([]int{0, 1, 8, 300}).Draw(t, "replicas") {
				g.Replicas = append(g.Replicas, model.Replica{ID: model.ReplicaID(fmt.Sprint(name, i, ".", r)), Domain: model.DomainID(name)})
			}
		}
		m, bodies := Split(d)
		for name, hash := range m.Sections {
			assert.Assert(t, len(bodies[hash]) < 56<<10, "%s has %d bytes", name, len(bodies[hash]))
		}
		got, err := Join(m, lookup(bodies))
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(got, d))
	})
}

// Guards against a small change that transfers the whole shard map.
func TestSmallChangeTransfersLittle(t *testing.T) {
	before, _ := Split(sample("x", 770))
	assert.Assert(t, len(before.Sections) > 20)
	changed := func(edit func(m *model.ShardMap)) int {
		d := sample("x", 770)
		edit(&d.Services["s"].ShardMaps[0])
		after, _ := Split(d)
		n := 0
		for name, hash := range after.Sections {
			if before.Sections[name] != hash {
				n++
			}
		}
		return n
	}
	assert.Equal(t, changed(func(m *model.ShardMap) { m.Groups[50].Replicas[0].Addr = "127.0.0.1:2" }), 1)
	assert.Equal(t, changed(func(m *model.ShardMap) { m.Groups = append(m.Groups[:50], m.Groups[51:]...) }), 1)
}

// Guards against applying a section that was damaged or is missing.
func TestJoinRefusesBadSections(t *testing.T) {
	m, bodies := Split(sample("x", 40))
	for name, hash := range m.Sections {
		for _, body := range [][]byte{nil, []byte(`{}`)} {
			_, err := Join(m, func(h string) ([]byte, bool) {
				if h == hash {
					return body, body != nil
				}
				return bodies[h], true
			})
			_, typed := err.(*SectionError)
			assert.Assert(t, typed, "section %s: %v", name, err)
		}
	}
}

// Guards against a publication reported wrongly under lost replies and
// races, a version that goes back, and a manifest with a missing section.
// The oracle is the last document known to be in force.
func TestPublishModel(t *testing.T) {
	retryPause = 0
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		s := newMemStore()
		var inForce *model.Document
		var version uint64
		everRaced := false
		fresh := func() *model.Document {
			// Few different documents, so that removed sections come back.
			return sample(fmt.Sprint("site", rapid.IntRange(0, 2).Draw(t, "site")), rapid.IntRange(1, 70).Draw(t, "groups"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				d := fresh()
				read := version - min(version, rapid.Uint64Range(0, 1).Draw(t, "stale"))
				s.loseBefore = rapid.IntRange(0, 2).Draw(t, "lost before")
				s.loseAfter = rapid.IntRange(0, 2).Draw(t, "lost after")
				s.delay = rapid.Bool().Draw(t, "delayed")
				raced := false
				if rapid.Bool().Draw(t, "race") && read == version {
					other := fresh()
					s.before = func() {
						after, before, delay := s.loseAfter, s.loseBefore, s.delay
						s.loseAfter, s.loseBefore, s.delay = 0, 0, false
						v, err := Publish(ctx, s, other, version)
						assert.NilError(t, err)
						raced, everRaced, inForce, version = true, true, other, v
						s.loseAfter, s.loseBefore, s.delay = after, before, delay
					}
				}
				wins := read == version
				v, err := Publish(ctx, s, d, read)
				s.before, s.loseAfter, s.loseBefore, s.delay = nil, 0, 0, false
				s.land()
				if !wins || raced {
					assert.Assert(t, errs.Is(err, errs.PlatformConflict), "%v", err)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, v, read+1)
				inForce, version = d, v
			},
			"": func(t *rapid.T) {
				got, m, err := Fetch(ctx, s)
				if inForce == nil {
					assert.Assert(t, errs.Is(err, errs.PlatformNotFound))
					return
				}
				assert.NilError(t, err)
				want := *inForce
				want.Version = version
				assert.Assert(t, reflect.DeepEqual(got, &want))
				assert.Equal(t, m.Version, version)
				// The loser of a race cannot remove its sections safely.
				assert.Assert(t, everRaced || len(s.objects) == len(m.Sections)+1, "unused sections must be removed")
			},
		})
	})
}

// Guards against a domain edit that is lost to, or undoes, a racing edit.
func TestEditOverridesKeepsRacingEdit(t *testing.T) {
	retryPause = 0
	ctx := context.Background()
	s := newMemStore()
	_, err := Publish(ctx, s, sample("x", 2), 0)
	assert.NilError(t, err)
	add := func(id model.DomainID) func(*model.Overrides) error {
		return func(o *model.Overrides) error {
			o.DomainsOut = append(o.DomainsOut, id)
			return nil
		}
	}
	s.before = func() {
		_, err := EditOverrides(ctx, s, add("b"))
		assert.NilError(t, err)
	}
	v, err := EditOverrides(ctx, s, add("a"))
	assert.NilError(t, err)
	assert.Equal(t, v, uint64(3))
	d, _, err := Fetch(ctx, s)
	assert.NilError(t, err)
	assert.DeepEqual(t, d.Overrides.DomainsOut, []model.DomainID{"b", "a"})
	_, err = EditOverrides(ctx, s, add("c"))
	assert.Assert(t, errs.Is(err, errs.InvalidRequest), "an unknown domain is refused: %v", err)
}

// Guards against an outage during a publication that is reported as "did not
// run" although the write may still take effect.
func TestPublishReportsUnknownOutcome(t *testing.T) {
	retryPause = 0
	s := newMemStore()
	s.loseBefore = publishAttempts
	_, err := Publish(context.Background(), s, sample("x", 1), 0)
	assert.Equal(t, errs.As(err).RunState, errs.MayHaveRun)
}

// Guards against lost replies and stale reads of the real API being reported
// as lost races, with the stand-in of the platform behind the real client.
func TestPublishOverHTTP(t *testing.T) {
	retryPause = 0
	ctx := context.Background()
	p := fake.NewPlatform(fake.PlatformConfig{Token: "token"})
	defer p.Close()
	s := platform.NewClient(platform.Config{URL: p.URL(), Token: "token"})
	defer s.Close()
	p.LoseReplies(6)
	v, err := Publish(ctx, s, sample("x", 3), 0)
	assert.NilError(t, err)
	p.SetStale(1, 0)
	v, err = Publish(ctx, s, sample("y", 3), v)
	assert.Equal(t, errs.As(err).Code, errs.PlatformDown, "the manifest that was read is not shown: %v", err)
	assert.Equal(t, v, uint64(0))
	p.SetStale(0, 0)
	p.LoseReplies(1)
	v, err = Publish(ctx, s, sample("y", 3), 1)
	assert.NilError(t, err)
	d, _, err := Fetch(ctx, s)
	assert.NilError(t, err)
	assert.Equal(t, d.Site, "y")
	assert.Equal(t, v, d.Version)
	p.SetStale(2, 0)
	_, err = Publish(ctx, s, sample("z", 3), 1)
	assert.Assert(t, errs.Is(err, errs.PlatformConflict), "%v", err)
}
