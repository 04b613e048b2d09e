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

func sampleDocument(site string, groups int) *model.Document {
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

// Guards against a document that differs after Split and Join, and against a
// section that does not fit into a control frame.
func TestJoinRestoresSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := sampleDocument("x", rapid.IntRange(0, 30).Draw(t, "groups"))
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
		got, err := Join(m, bodyByHash(bodies))
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(got, d))
	})
}

// Guards against a small change of a shard map that changes more than one of
// its sections, which are then transferred.
func TestSmallChangeReplacesOneSection(t *testing.T) {
	before, _ := Split(sampleDocument("x", 770))
	assert.Assert(t, len(before.Sections) > 20)
	changed := func(edit func(m *model.ShardMap)) int {
		d := sampleDocument("x", 770)
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

// Guards against a document that is built although a section is damaged or
// missing.
func TestJoinRefusesBadSections(t *testing.T) {
	m, bodies := Split(sampleDocument("x", 40))
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

// Guards against a publication whose outcome is reported wrongly when replies
// are lost or another publisher is faster, against a version that decreases,
// and against a manifest that names a missing section. Fetch must return the
// document of the last publication that succeeded.
func TestPublishModel(t *testing.T) {
	initialBackoff = 0
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		s := newMemStore()
		var inForce *model.Document
		var version uint64
		everRaced := false
		drawDocument := func() *model.Document {
			// There are few different documents, so that sections that were
			// removed are published again.
			return sampleDocument(fmt.Sprint("site", rapid.IntRange(0, 2).Draw(t, "site")), rapid.IntRange(1, 70).Draw(t, "groups"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				d := drawDocument()
				readVersion := version - min(version, rapid.Uint64Range(0, 1).Draw(t, "stale"))
				s.lostBeforeWrite = rapid.IntRange(0, 2).Draw(t, "lost before")
				s.lostAfterWrite = rapid.IntRange(0, 2).Draw(t, "lost after")
				s.deliverLate = rapid.Bool().Draw(t, "delayed")
				raced := false
				if rapid.Bool().Draw(t, "race") && readVersion == version {
					other := drawDocument()
					s.beforeManifestPut = func() {
						lostAfter, lostBefore, late := s.lostAfterWrite, s.lostBeforeWrite, s.deliverLate
						s.lostAfterWrite, s.lostBeforeWrite, s.deliverLate = 0, 0, false
						v, err := Publish(ctx, s, other, version)
						assert.NilError(t, err)
						raced, everRaced, inForce, version = true, true, other, v
						s.lostAfterWrite, s.lostBeforeWrite, s.deliverLate = lostAfter, lostBefore, late
					}
				}
				succeeds := readVersion == version
				v, err := Publish(ctx, s, d, readVersion)
				s.beforeManifestPut, s.lostAfterWrite, s.lostBeforeWrite, s.deliverLate = nil, 0, 0, false
				s.deliverLateWrites()
				if !succeeds || raced {
					assert.Assert(t, errs.Is(err, errs.PlatformConflict), "%v", err)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, v, readVersion+1)
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
				// A publisher that lost to another one leaves its sections,
				// as the other one may use them.
				assert.Assert(t, everRaced || len(s.objects) == len(m.Sections)+1, "unused sections must be removed")
			},
		})
	})
}

// Guards against an edit of the overrides that is lost, or undoes another edit,
// when both are made at the same time.
func TestEditOverridesKeepsConcurrentEdit(t *testing.T) {
	initialBackoff = 0
	ctx := context.Background()
	s := newMemStore()
	_, err := Publish(ctx, s, sampleDocument("x", 2), 0)
	assert.NilError(t, err)
	add := func(id model.DomainID) func(*model.Overrides) error {
		return func(o *model.Overrides) error {
			o.DomainsOut = append(o.DomainsOut, id)
			return nil
		}
	}
	s.beforeManifestPut = func() {
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

// Guards against a publication during an outage that is reported as "did not
// run" although its write may take effect later.
func TestPublishReportsUnknownOutcome(t *testing.T) {
	initialBackoff = 0
	s := newMemStore()
	s.lostBeforeWrite = publishAttempts
	_, err := Publish(context.Background(), s, sampleDocument("x", 1), 0)
	assert.Equal(t, errs.As(err).RunState, errs.MayHaveRun)
}

// Guards against lost replies and stale reads that are reported as conflicts,
// with the real client and the stand-in of the platform.
func TestPublishOverHTTP(t *testing.T) {
	initialBackoff = 0
	ctx := context.Background()
	p := fake.NewPlatform(fake.PlatformConfig{Token: "token"})
	defer p.Close()
	s := platform.NewClient(platform.Config{URL: p.URL(), Token: "token"})
	defer s.Close()
	p.LoseReplies(6)
	v, err := Publish(ctx, s, sampleDocument("x", 3), 0)
	assert.NilError(t, err)
	p.SetStale(1, 0)
	v, err = Publish(ctx, s, sampleDocument("y", 3), v)
	assert.Equal(t, errs.As(err).Code, errs.PlatformDown, "the manifest that was read is not shown: %v", err)
	assert.Equal(t, v, uint64(0))
	p.SetStale(0, 0)
	p.LoseReplies(1)
	v, err = Publish(ctx, s, sampleDocument("y", 3), 1)
	assert.NilError(t, err)
	d, _, err := Fetch(ctx, s)
	assert.NilError(t, err)
	assert.Equal(t, d.Site, "y")
	assert.Equal(t, v, d.Version)
	p.SetStale(2, 0)
	_, err = Publish(ctx, s, sampleDocument("z", 3), 1)
	assert.Assert(t, errs.Is(err, errs.PlatformConflict), "%v", err)
}
