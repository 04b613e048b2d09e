package session

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/nutmeghitch/nutmeghitch/pkg/claim"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// normal replaces what differs between two runs of one session.
var normal = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "<uuid>"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-z]+`), "<query>"},
	{regexp.MustCompile(`[0-9a-f]{32,}`), "<token>"},
	{regexp.MustCompile(`(dial|read|write) tcp [^"]*`), "<network error>"},
	{regexp.MustCompile(`: EOF`), ": <network error>"},
	{regexp.MustCompile(`127\.0\.0\.1:[0-9]+`), "<addr>"},
	{regexp.MustCompile(`"(deadline_ms|retry_after_ms|ttl_ms|view_seq|incarnation)":[0-9]+`), `"$1":<n>`},
	{regexp.MustCompile(`lookup-r[01]`), "lookup-r*"},
	{regexp.MustCompile(`within [0-9.]+m?s`), "within <time>"},
}

// rowData is the data of a row in an upstream's reply, which the answer repeats.
var rowData = regexp.MustCompile(`"data":\{[^}]*\}`)

func normalise(s string) string {
	for _, n := range normal {
		s = n.pattern.ReplaceAllString(s, n.with)
	}
	return s
}

// render shows a body: JSON as it is, and a claim object by its entries.
func render(to string, body []byte) string {
	if len(body) == 0 {
		return "-"
	}
	if to == "platform" {
		return renderPartition(body)
	}
	return normalise(rowData.ReplaceAllString(strings.TrimSpace(string(body)), `"data":{...}`))
}

// renderPartition reads the array form of a partition: format, revision and
// entries of {key hash, token, fingerprint, state, status, answer, time}.
func renderPartition(body []byte) string {
	var stored struct {
		_msgpack struct{} `msgpack:",as_array"`
		Format   int
		Revision uint64
		Entries  []struct {
			_msgpack    struct{} `msgpack:",as_array"`
			KeyHash     []byte
			Token       []byte
			Fingerprint uint64
			State       claim.State
			Status      int
			Answer      []byte
			At          int64
		}
	}
	if err := msgpack.Unmarshal(body, &stored); err != nil {
		return normalise(strings.TrimSpace(string(body)))
	}
	states := map[claim.State]string{claim.Claimed: "claimed", claim.Done: "done", claim.Released: "released"}
	var out []string
	for _, e := range stored.Entries {
		out = append(out, fmt.Sprintf("%s status=%d answer=%s", states[e.State], e.Status, normalise(string(e.Answer))))
	}
	slices.Sort(out)
	return "[" + strings.Join(out, "; ") + "]"
}

// renderFrame shows the messages that carry work, without loads and times. A
// partial is one flush of an owner, whose number depends on timing, so
// transcripts show each group for itself.
func renderFrame(m wire.Message) string {
	switch m := m.(type) {
	case *wire.SearchBatch:
		return normalise(fmt.Sprintf("search_batch %s/%s version=%d epoch=%d limit=%d suspect=%t caller=%s payload=%s items=%v",
			m.Service, m.Operation, m.Snapshot.Version, m.Snapshot.Epoch, m.Limit, m.Suspect, m.Caller, m.Payload, groups(m.Items)))
	case *wire.SearchPartial:
		var out []string
		for _, g := range m.Groups {
			out = append(out, fmt.Sprintf("search_partial %s shards=%v rows=%d%s", g.Group, g.Shards, rowsOf(m, g), failure(g.Failure)))
		}
		return normalise(strings.Join(out, "\n"))
	case *wire.CallRequest:
		return normalise(fmt.Sprintf("call_request %s/%s replica=%s idempotent=%t suspect=%t token=%t payload=%s",
			m.Service, m.Operation, m.Replica, m.Idempotent, m.Suspect, m.Token != "", m.Payload))
	case *wire.CallReply:
		return normalise(fmt.Sprintf("call_reply result=%s%s", m.Result, failure(m.Failure)))
	case *wire.ClaimRequest:
		if m.Step == wire.ClaimRelease {
			// Sent also when the claim owner's verdict and the deadline cross.
			// The stored object shows each release.
			return ""
		}
		return normalise(fmt.Sprintf("claim_request %s partition=%d status=%d answer=%s", m.Step, m.Partition, m.Status, m.Answer))
	case *wire.ClaimReply:
		switch m.Verdict {
		case wire.ClaimAccepted:
			return "" // sent only when storing takes long
		case wire.ClaimUnknown, wire.ClaimReleased:
			return "" // may come after the entry VM has given up at the deadline
		}
		return normalise(fmt.Sprintf("claim_reply %s status=%d answer=%s", m.Verdict, m.Status, m.Answer))
	case *wire.Failure:
		return "failure" + failure(m)
	default:
		return ""
	}
}

func groups(items []wire.SearchItem) []string {
	var out []string
	for _, it := range items {
		out = append(out, string(it.Group)+":"+string(it.Replica))
	}
	slices.Sort(out)
	return out
}

func rowsOf(p *wire.SearchPartial, g wire.GroupOutcome) int {
	n := 0
	for _, r := range p.Rows {
		if r.Group == g.Group {
			n++
		}
	}
	return n
}

func failure(f *wire.Failure) string {
	if f == nil {
		return ""
	}
	detail, _ := json.Marshal(f.Detail)
	return fmt.Sprintf(" failure=%s %s %s", f.Code, f.RunState, detail)
}
