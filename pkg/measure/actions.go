package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

// firstEpoch is the epoch of the shard maps in the examples.
const firstEpoch = 1

// lastDomain returns the failure domain that scripts act on. With 5 VMs it has
// one of its own.
func (r *run) lastDomain() model.DomainID {
	domains := slices.Sorted(maps.Keys(r.cluster.Document.Domains))
	return domains[len(domains)-1]
}

// upstreamsIn returns the stand-ins of a failure domain in order of name.
func (r *run) upstreamsIn(d model.DomainID) []*fake.Upstream {
	var out []*fake.Upstream
	all := r.cluster.Replicas()
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if r.cluster.Domains[id] == d {
			out = append(out, all[id])
		}
	}
	return out
}

// takeOut takes a failure domain out of service as operators do.
func (r *run) takeOut(d model.DomainID) error {
	version, err := r.cluster.Edit(r.ctx, func(o *model.Overrides) error {
		if !slices.Contains(o.DomainsOut, d) {
			o.DomainsOut = append(o.DomainsOut, d)
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.watcher.publish(version)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out[d] = time.Now()
	return nil
}

// bringBack returns a failure domain to service.
func (r *run) bringBack(d model.DomainID) error {
	r.countLate(d)
	version, err := r.cluster.Edit(r.ctx, func(o *model.Overrides) error {
		o.DomainsOut = slices.DeleteFunc(o.DomainsOut, func(x model.DomainID) bool { return x == d })
		return nil
	})
	if err != nil {
		return err
	}
	r.watcher.publish(version)
	return nil
}

// countLate counts the work that a failure domain got from outGrace after it
// was taken out until now.
func (r *run) countLate(d model.DomainID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, out := r.out[d]
	if !out {
		return
	}
	delete(r.out, d)
	for _, u := range r.upstreamsIn(d) {
		r.late += u.SendsAfter(at.Add(outGrace))
	}
}

// drain edits the drain of one replica and remembers what was accepted.
func (r *run) drain(id model.ReplicaID, on bool) error {
	version, err := r.cluster.Edit(r.ctx, func(o *model.Overrides) error {
		o.Drained = slices.DeleteFunc(o.Drained, func(x model.ReplicaID) bool { return x == id })
		if on {
			o.Drained = append(o.Drained, id)
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.watcher.publish(version)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted[id] = on
	return nil
}

// kill ends the first running VM in a failure domain without warning.
func (r *run) kill(d model.DomainID) error {
	for _, vm := range r.cluster.Running() {
		if vm.Domain == d {
			vm.Kill()
			return nil
		}
	}
	return errs.Refuse(errs.NoReplica, "no VM runs in %s", d)
}

// startVM starts a VM and waits until it is ready.
func (r *run) startVM(d model.DomainID) error {
	began := time.Now()
	vm, err := r.cluster.StartVM(d)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, readyTimeout)
	defer cancel()
	for !vm.Node.Ready() {
		if !wait.Sleep(ctx, 10*time.Millisecond) {
			return errs.Refuse(errs.NotReady, "%s did not become ready in %s", vm.ID, readyTimeout)
		}
	}
	r.note("new VM ready after ms", milliseconds(time.Since(began)))
	return nil
}

// restartCold restarts upstreams; they lose their caches and what they run.
func restartCold(upstreams []*fake.Upstream) error {
	for _, u := range upstreams {
		u.Crash()
		if err := u.Restart(); err != nil {
			return err
		}
	}
	return nil
}

// spaced calls do for each item, spread evenly over a share of the duration.
func spaced[T any](r *run, share float64, items []T, do func(T)) {
	began := time.Now()
	for i, item := range items {
		due := time.Duration(float64(r.share(share)) * float64(i) / float64(len(items)))
		if !wait.Sleep(r.ctx, time.Until(began.Add(due))) {
			return
		}
		do(item)
	}
}

func (r *run) publishIndex(p testcluster.Placed, version uint64) {
	r.cluster.Upstream(p.Replica.ID).PublishVersion(testcluster.IndexVersion(version, p.Map, p.Group))
}

// addGroups publishes a second shard map with two more groups for each search
// service. Their upstreams start with the new index version.
func (r *run) addGroups() error {
	version, err := r.cluster.Publish(r.ctx, func(d *model.Document) error {
		for name, svc := range d.Services {
			if svc.Kind != model.Search {
				continue
			}
			m := widerMap(name, &svc.ShardMaps[0], slices.Sorted(maps.Keys(d.Domains)))
			svc.ShardMaps = append(svc.ShardMaps, m)
			added := &svc.ShardMaps[len(svc.ShardMaps)-1]
			if err := r.cluster.StartReplicas(name, svc, added, secondVersion); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		r.watcher.publish(version)
	}
	return err
}

// widerMap returns the next epoch of a shard map: the same groups with new
// shards, and two groups of new replicas.
func widerMap(name model.ServiceID, old *model.ShardMap, domains []model.DomainID) model.ShardMap {
	const newGroups, shardsPerGroup, replicas = 2, 4, 3
	m := model.ShardMap{Epoch: old.Epoch + 1}
	m.Groups = append(m.Groups, old.Groups...)
	for i := range newGroups {
		g := model.Group{ID: model.GroupID(fmt.Sprintf("%s-new-%d", name, i))}
		for j := range replicas {
			g.Replicas = append(g.Replicas, model.Replica{
				ID:     model.ReplicaID(fmt.Sprintf("%s-%d", g.ID, j)),
				Domain: domains[(i+j)%len(domains)],
			})
		}
		m.Groups = append(m.Groups, g)
	}
	for i := range m.Groups {
		m.Groups[i].Shards = nil
		for j := range shardsPerGroup {
			m.Groups[i].Shards = append(m.Groups[i].Shards, model.ShardID(fmt.Sprintf("%s-e%d-%d", name, m.Epoch, i*shardsPerGroup+j)))
		}
	}
	return m
}

// removeOldMap publishes the configuration without the first epoch.
func (r *run) removeOldMap() error {
	version, err := r.cluster.Publish(r.ctx, func(d *model.Document) error {
		for _, svc := range d.Services {
			if svc.Kind == model.Search {
				svc.ShardMaps = slices.DeleteFunc(svc.ShardMaps, func(m model.ShardMap) bool { return m.Epoch == firstEpoch })
			}
		}
		return nil
	})
	if err == nil {
		r.watcher.publish(version)
	}
	return err
}

// cutOff separates a failure domain from the others and from the platform.
func (r *run) cutOff(d model.DomainID, cut bool) {
	set := r.cluster.Network.Heal
	if cut {
		set = r.cluster.Network.Cut
	}
	for other := range r.cluster.Document.Domains {
		if other != d {
			set(testcluster.DomainEndpoint(d), testcluster.DomainEndpoint(other))
		}
	}
	set(testcluster.DomainEndpoint(d), testcluster.PlatformEndpoint)
}

// sendRepeatedly sends one search several times, as a caller does who gets no
// answer. The balancer passes each copy to another VM.
func (r *run) sendRepeatedly(service model.ServiceID, query fake.Query, copies int, gap time.Duration) error {
	body, err := json.Marshal(query)
	if err != nil {
		return errs.Refuse(errs.Internal, "query: %v", err)
	}
	request := &loadgen.Request{Service: service, Operation: "search", Deadline: time.Second, Search: true}
	var sends errgroup.Group
	for i := range copies {
		sends.Go(func() error {
			if !wait.Sleep(r.ctx, time.Duration(i)*gap) {
				return nil
			}
			res := r.balancer.Search(r.ctx, loadgen.Sent{Request: request, Caller: "insistent", Body: body})
			r.note("poison sends ended "+outcomeName(res), 1)
			return nil
		})
	}
	return sends.Wait()
}

func outcomeName(res loadgen.Result) string {
	if res.Code == "" {
		return "answered"
	}
	return res.Code
}

// searchServices returns the search services in order of name.
func searchServices(d *model.Document) []model.ServiceID { return servicesOf(d, model.Search) }

func servicesOf(d *model.Document, kind model.ServiceKind) []model.ServiceID {
	var out []model.ServiceID
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		if d.Services[name].Kind == kind {
			out = append(out, name)
		}
	}
	return out
}
