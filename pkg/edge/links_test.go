package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a VM that is taken to be cut off because single replicas have failed,
// and against one that sends requests to replicas again before it can serve them.
func TestLinksAreLostOnlyIfNoReplicaIsReached(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, test := range map[string]struct {
		checks []linkEvidence
		want   bool
	}{
		"none reached":                  {[]linkEvidence{{at: at(0), dialled: 4}}, true},
		"one reached":                   {[]linkEvidence{{at: at(0), dialled: 4, reached: 1}}, false},
		"a single replica":              {[]linkEvidence{{at: at(0), dialled: 1}}, false},
		"replicas answer all the while": {[]linkEvidence{{at: at(0), dialled: 4, answered: true, covered: true}}, false},
		"some answer over kept connections, shards are missing": {[]linkEvidence{{at: at(0), dialled: 4, answered: true}}, true},
		"back, all replicas usable":                             {[]linkEvidence{{at: at(0), dialled: 4}, {at: at(900), dialled: 4, reached: 4, covered: true}}, false},
		"back, replicas not probed yet":                         {[]linkEvidence{{at: at(0), dialled: 4}, {at: at(900), dialled: 4, reached: 4}}, true},
		"back for long, shards missing":                         {[]linkEvidence{{at: at(0), dialled: 4}, {at: at(900), dialled: 4, reached: 4}, {at: at(3000), dialled: 4, reached: 4}}, false},
		"back and lost again": {[]linkEvidence{
			{at: at(0), dialled: 4}, {at: at(900), dialled: 4, reached: 4}, {at: at(1500), dialled: 4}, {at: at(3000), dialled: 4, reached: 4},
		}, true},
	} {
		var l links
		for _, e := range test.checks {
			l.update(e)
		}
		assert.Equal(t, l.cutOff, test.want, name)
	}
}
