package dispatch

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Guards against a claim token that is sent as the request ID in its raw bytes, which
// JSON changes: the reply would name another request, and every call under a claim
// would end with an unknown outcome. Attempts under one token share the ID; attempts
// without a token must not.
func TestUpstreamRequestIDSurvivesJSON(t *testing.T) {
	first := upstreamRequestID(&wire.CallRequest{RequestID: "q1", Attempt: 1, Token: "\xff\x00\x80token"})
	again := upstreamRequestID(&wire.CallRequest{RequestID: "q2", Attempt: 2, Token: "\xff\x00\x80token"})
	assert.Equal(t, first, again)
	encoded, err := json.Marshal(first)
	assert.NilError(t, err)
	var decoded string
	assert.NilError(t, json.Unmarshal(encoded, &decoded))
	assert.Equal(t, decoded, first)
	assert.Assert(t, upstreamRequestID(&wire.CallRequest{RequestID: "q1", Attempt: 1}) != upstreamRequestID(&wire.CallRequest{RequestID: "q1", Attempt: 2}))
}
