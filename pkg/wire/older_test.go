package wire

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// Guards against a first message that a VM of an older version, which knows the name of
// the sender only, cannot read, and against its message being taken for one of a VM that
// reads the reports of replicas.
func TestForwardOpenIsReadByOlderVersions(t *testing.T) {
	type older struct {
		VM string `msgpack:"vm"`
	}
	content, err := msgpack.Marshal(&ForwardOpen{VM: "vm1", Reports: true, Tenants: true})
	assert.NilError(t, err)
	var read older
	assert.NilError(t, msgpack.Unmarshal(content, &read))
	assert.Equal(t, read, older{VM: "vm1"})

	content, err = msgpack.Marshal(older{VM: "vm2"})
	assert.NilError(t, err)
	var current ForwardOpen
	assert.NilError(t, msgpack.Unmarshal(content, &current))
	assert.Equal(t, current, ForwardOpen{VM: "vm2"})
}
