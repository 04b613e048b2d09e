package claim

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// formatVersion is the version of the encoding of a partition object.
const formatVersion = 1

// keyHashBytes is the length of a key hash. A collision would answer a request with
// the outcome of another key; at 16 bytes its probability is negligible.
const keyHashBytes = 16

// storedPartition and storedEntry are encoded as arrays: the order of their fields
// is part of the stored format.
type storedPartition struct {
	Format   int
	Revision uint64
	Entries  []storedEntry
}

type storedEntry struct {
	KeyHash     []byte
	Token       []byte
	Fingerprint uint64
	State       State
	Status      int
	Answer      []byte
	At          int64
}

// Encode returns the stored form of the partition. Entries are sorted by key hash,
// so that equal partitions have equal encodings.
func (p *Partition) Encode() ([]byte, error) {
	stored := storedPartition{Format: formatVersion, Revision: p.Revision, Entries: make([]storedEntry, 0, len(p.entries))}
	for _, e := range p.entries {
		stored.Entries = append(stored.Entries, storedEntry{
			KeyHash: []byte(e.KeyHash), Token: []byte(e.Token), Fingerprint: e.Fingerprint,
			State: e.State, Status: e.Status, Answer: e.Answer, At: e.ChangedAtUnixMilli,
		})
	}
	slices.SortFunc(stored.Entries, func(a, b storedEntry) int { return bytes.Compare(a.KeyHash, b.KeyHash) })
	var value bytes.Buffer
	encoder := msgpack.NewEncoder(&value)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(&stored); err != nil {
		return nil, errs.Refuse(errs.Internal, "encode partition: %v", err)
	}
	return value.Bytes(), nil
}

// Decode reads the stored form of a partition. Callers must not overwrite an
// object that cannot be decoded, because its claims would be lost.
func Decode(value []byte) (*Partition, error) {
	var stored storedPartition
	if err := msgpack.Unmarshal(value, &stored); err != nil {
		return nil, errs.Refuse(errs.ClaimUnavailable, "decode partition: %v", err)
	}
	if stored.Format != formatVersion {
		return nil, errs.Refuse(errs.ClaimUnavailable, "partition has format %d, want %d", stored.Format, formatVersion)
	}
	p := NewPartition()
	p.Revision = stored.Revision
	for i := range stored.Entries {
		s := &stored.Entries[i]
		if s.State < Claimed || s.State > Released {
			return nil, errs.Refuse(errs.ClaimUnavailable, "entry has state %d", s.State)
		}
		p.put(Entry{
			KeyHash: string(s.KeyHash), Token: string(s.Token), Fingerprint: s.Fingerprint,
			State: s.State, Status: s.Status, Answer: s.Answer, ChangedAtUnixMilli: s.At,
		})
	}
	return p, nil
}

// HashKey returns the hash that identifies an idempotency key of a service in its
// partition.
func HashKey(service model.ServiceID, key string) string {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(service)))
	h.Write(length[:])
	h.Write([]byte(service))
	h.Write([]byte(key))
	return string(h.Sum(nil)[:keyHashBytes])
}

// PartitionOf returns the partition of a key hash among the given number of
// partitions.
func PartitionOf(keyHash string, partitions int) int {
	return int(binary.BigEndian.Uint64([]byte(keyHash)) % uint64(cmp.Or(max(partitions, 0), 1)))
}

// ObjectKey returns the key of the platform object that holds a partition.
func ObjectKey(partition int) string { return fmt.Sprintf("claims/%d", partition) }
