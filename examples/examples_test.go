package examples

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Guards against examples whose sizes differ from those in the design, and against
// a group whose replicas are all lost together with one failure domain.
func TestSiteSizesMatchDesign(t *testing.T) {
	type size struct{ groups, replicas, slots, connections int }
	want := map[string]map[model.ServiceID]size{
		"msaada": {
			"assistance-search": {10, 30, 3, 30}, "rostering": {15, 45, 3, 30},
			"itinerary-lookup": {1, 25, 2, 110}, "member-accounts": {1, 13, 2, 110},
		},
		"podstavek": {
			"estimator-desk": {10, 30, 2, 25}, "customer-portal": {15, 45, 2, 25},
			"yard-board": {1, 10, 4, 40}, "billing": {1, 5, 4, 40},
		},
	}
	assert.DeepEqual(t, Sites(), []string{"msaada", "podstavek"})
	for site, services := range want {
		d, err := Document(site)
		assert.NilError(t, err)
		assert.Equal(t, len(d.Services), len(services))
		for id, w := range services {
			s := d.Services[id]
			got := size{groups: len(s.ShardMaps[0].Groups), slots: s.Slots, connections: s.Connections}
			for _, g := range s.ShardMaps[0].Groups {
				got.replicas += len(g.Replicas)
				domains := map[model.DomainID]bool{}
				for _, r := range g.Replicas {
					domains[r.Domain] = true
				}
				assert.Assert(t, len(domains) >= 3, "%s %s", id, g.ID)
			}
			assert.Equal(t, got, w, string(id))
		}
	}
	_, err := Document("base")
	_, isUnknownSite := err.(*UnknownSiteError)
	assert.Assert(t, isUnknownSite)
}
