package claim

import (
	"testing"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"gotest.tools/v3/assert"
)

// TestOutcomeIsStoredIfOwnerFailsAsContextEnds guards against an outcome that is
// dropped because the owner's failure and the end of the context arrive together:
// the failure settles the attempt, and the VM's own committer never got the record.
func TestOutcomeIsStoredIfOwnerFailsAsContextEnds(t *testing.T) {
	inTier(t, func(t *testing.T, tier *testTier) {
		vm1 := tier.services["vm1"]
		g, _, err := vm1.Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		r := &opRunner{service: vm1, partition: g.Partition, replies: make(chan opReply, maxReplies), op: Op{
			Step: wire.ClaimRecord, KeyHash: g.KeyHash, Token: g.Token, Status: 200, Answer: []byte("booked"),
			Deadline: time.Now().Add(time.Second),
		}}
		r.attempt.Submitted()
		r.replies <- opReply{fromOwner: true, result: Result{Verdict: wire.ClaimUnavailable, MayBeStored: true}}
		r.expire()
		assert.NilError(t, vm1.Flush(t.Context()))
		_, prior, err := tier.services["vm0"].Claim(t.Context(), request("k", time.Second))
		assert.NilError(t, err)
		assert.Equal(t, string(prior.Answer), "booked")
	})
}
