package claim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// storedObject is a partition object on the platform. Version 0 means that it does
// not exist.
type storedObject struct {
	value   []byte
	version int
}

func (o *storedObject) get() (platform.Object, error) {
	if o.version == 0 {
		return platform.Object{}, errs.Refuse(errs.PlatformNotFound, "the object does not exist")
	}
	return platform.Object{Value: o.value, Version: strconv.Itoa(o.version)}, nil
}

// put applies a conditional update and checks that each entry changes only as
// allowed.
func (m *claimModel) put(t *rapid.T, a Action) (string, error) {
	o := &m.object
	if a.Condition.Absent != (o.version == 0) || (!a.Condition.Absent && a.Condition.Match != strconv.Itoa(o.version)) {
		return "", errs.Refuse(errs.PlatformConflict, "version is %d", o.version)
	}
	before := o.partition(t)
	o.value, o.version = a.Value, o.version+1
	after := o.partition(t)
	for key, old := range before.entries {
		now, ok := after.Entry(key)
		same := ok && now.Token == old.Token
		final := old.State == Done && (!same || now.State != Done || string(now.Answer) != string(old.Answer))
		taken := (old.State == Claimed && !same) || (old.State == Released && same && now.State != Released)
		if !ok || final || (taken && m.mayRun(old.Token)) {
			t.Fatalf("entry %+v became %+v", old, now)
		}
	}
	return strconv.Itoa(o.version), nil
}

// mayRun reports whether the request with the token ran or may still run. Another
// token must not take the key of such a request.
func (m *claimModel) mayRun(token string) bool {
	i := slices.IndexFunc(m.requests, func(req *modelRequest) bool { return req.op.Token == token })
	return m.requests[i].ran || !m.requests[i].ended
}

// partition decodes the stored object.
func (o *storedObject) partition(t *rapid.T) *Partition {
	if o.version == 0 {
		return NewPartition()
	}
	p, err := Decode(o.value)
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	return p
}

// modelRequest is one request of a caller, as seen by the VM that received it.
type modelRequest struct {
	vm      int
	op      Op
	attempt Attempt
	// submittedLocally is set once the operation was submitted to the Updater of vm.
	submittedLocally bool
	// settled is set once attempt has settled or the VM has crashed.
	settled bool
	crashed bool
	ran     bool
	// ended is set once the request cannot run any more.
	ended  bool
	answer string
}

// modelMessage is an operation that is sent to a VM, or the reply to it.
type modelMessage struct {
	to int
	op Op
	// request is the index of the request, or -1 if no reply is expected.
	request int
	// reply is nil for an operation.
	reply *Result
}

// modelVM is a VM with the Updater of the only partition.
type modelVM struct {
	updater *Updater
	// call is the platform call in flight, or nil.
	call *Action
	// submitted maps the id of each operation to the message that carried it.
	submitted map[uint64]modelMessage
	lastOpID  uint64
}

// claimModel runs the Updaters and Attempts of several VMs. Rapid chooses every
// step, reply and delay. Any VM may act as the owner. A VM for which no step is
// chosen behaves like a paused one.
type claimModel struct {
	now    time.Time
	object storedObject
	// latePuts holds Puts whose sender no longer waits for the reply, but which may
	// still take effect.
	latePuts []Action
	vms      []*modelVM
	requests []*modelRequest
	// messages holds the messages in transit.
	messages []modelMessage
	// runs counts the runs of each key.
	runs map[string]int
	// recorded holds the answer of the run of each key.
	recorded map[string]string
}

// startVM starts a VM, or restarts it without its state.
func (m *claimModel) startVM(vm int) {
	c := UpdaterConfig{WritesPerSecond: 100, BurstWrites: 4, Retention: 24 * time.Hour, Rand: rand.New(rand.NewPCG(1, 2))}
	m.vms[vm] = &modelVM{updater: NewUpdater(c, m.now), submitted: map[uint64]modelMessage{}}
}

// submit passes the operation of a message to the Updater of a VM.
func (m *claimModel) submit(vm int, msg modelMessage) {
	v := m.vms[vm]
	v.lastOpID++
	msg.op.ID = v.lastOpID
	v.submitted[v.lastOpID] = msg
	v.updater.Submit(m.now, msg.op)
}

// deliverResults passes new results of a VM's Updater to requests: at once if the
// request is on the same VM, else by message.
func (m *claimModel) deliverResults(t *rapid.T, vm int) {
	for _, r := range m.vms[vm].updater.Results() {
		submitted := m.vms[vm].submitted[r.ID]
		switch {
		case submitted.request < 0:
		case m.requests[submitted.request].vm == vm:
			m.handleResult(t, submitted.request, r)
		default:
			m.messages = append(m.messages, modelMessage{to: m.requests[submitted.request].vm, request: submitted.request, reply: &r})
		}
	}
}

// handleResult adds a result to a request. It checks each result that the request
// acts on against the stored object.
func (m *claimModel) handleResult(t *rapid.T, request int, r Result) {
	req := m.requests[request]
	switch {
	case req.crashed:
	case req.settled && req.ended:
		m.checkOutcomeResult(t, req, r)
	case req.attempt.AddResult(r):
		m.settle(t, req)
	}
}

// checkOutcomeResult checks the result of a ClaimRecord or ClaimRelease. A late result
// of the ClaimTake arrives here as well and must not settle the request again.
func (m *claimModel) checkOutcomeResult(t *rapid.T, req *modelRequest, r Result) {
	e, _ := m.object.partition(t).Entry(req.op.KeyHash)
	switch {
	case r.Verdict == wire.ClaimLost:
		t.Fatalf("outcome of %s refused, stored %+v", req.op.Token, e)
	case r.Verdict == wire.ClaimRecorded && (e.Token != req.op.Token || string(e.Answer) != req.answer):
		t.Fatalf("outcome %q of %s is not stored: %+v", req.answer, req.op.Token, e)
	}
	if req.attempt.AddResult(r) {
		t.Fatalf("%s settled twice", req.op.Token)
	}
}

// settle checks the settled result of a request against the stored object.
func (m *claimModel) settle(t *rapid.T, req *modelRequest) {
	req.settled = true
	r := req.attempt.Result()
	e, _ := m.object.partition(t).Entry(req.op.KeyHash)
	if req.attempt.NeedsRelease() {
		m.submit(req.vm, modelMessage{request: -1, op: Op{Step: wire.ClaimRelease, KeyHash: req.op.KeyHash, Token: req.op.Token, Deadline: m.now.Add(BackgroundRetryTime)}})
	}
	switch r.Verdict {
	case wire.ClaimGranted:
		if e.Token != req.op.Token || e.State != Claimed {
			t.Fatalf("granted %x, stored %+v", req.op.Token, e)
		}
	case wire.ClaimDone:
		if want, ok := m.recorded[req.op.KeyHash]; !ok || string(r.Answer) != want || r.Status != 200 {
			t.Fatalf("answered %q, recorded %q", r.Answer, want)
		}
		req.ended = true
	case wire.ClaimReused:
		other := func(o *modelRequest) bool {
			return o.op.KeyHash == req.op.KeyHash && o.op.Fingerprint != req.op.Fingerprint
		}
		if !slices.ContainsFunc(m.requests, other) {
			t.Fatalf("refused as reused, stored %+v", e)
		}
		req.ended = true
	default:
		req.ended = true
	}
}

// pick returns a random element that satisfies keep, and its index. It skips the
// action if there is none.
func pick[T any](t *rapid.T, list []T, keep func(T) bool) (int, T) {
	var indexes []int
	for i, x := range list {
		if keep(x) {
			indexes = append(indexes, i)
		}
	}
	if len(indexes) == 0 {
		t.Skip("no element matches")
	}
	i := rapid.SampledFrom(indexes).Draw(t, "pick")
	return i, list[i]
}

// sendRequest starts a request of a caller at a random VM.
func (m *claimModel) sendRequest(t *rapid.T) {
	req := &modelRequest{vm: rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm"), answer: fmt.Sprintf("answer %d", len(m.requests))}
	req.op = Op{
		Step: wire.ClaimTake, KeyHash: rapid.SampledFrom([]string{"key a", "key b"}).Draw(t, "key"),
		Token: fmt.Sprintf("token %d", len(m.requests)), Fingerprint: uint64(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "body")),
		Deadline: m.now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 3 * time.Second}).Draw(t, "deadline")),
	}
	m.requests = append(m.requests, req)
	m.route(t, len(m.requests)-1, req.op)
}

// route sends an operation to a random VM as the owner, which can be the
// request's own VM.
func (m *claimModel) route(t *rapid.T, request int, op Op) {
	req := m.requests[request]
	owner := rapid.IntRange(0, len(m.vms)-1).Draw(t, "owner")
	if op.Step == wire.ClaimTake {
		req.attempt.Submitted()
	}
	if owner == req.vm {
		req.submittedLocally = true
		m.submit(req.vm, modelMessage{request: request, op: op})
		return
	}
	m.messages = append(m.messages, modelMessage{to: owner, request: request, op: op})
}

// actions returns the steps that rapid chooses from. A step that is listed twice
// is chosen twice as often.
func (m *claimModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send":  m.sendRequest,
		"send2": m.sendRequest,
		// The owner gave no result in time, so the request's own VM updates the
		// partition.
		"fallback": func(t *rapid.T) {
			i, req := pick(t, m.requests, func(req *modelRequest) bool { return !req.settled && !req.submittedLocally })
			req.submittedLocally = true
			req.attempt.Submitted()
			m.submit(req.vm, modelMessage{request: i, op: req.op})
		},
		"expire": func(t *rapid.T) {
			_, req := pick(t, m.requests, func(req *modelRequest) bool { return !req.settled })
			req.attempt.Expire()
			m.settle(t, req)
		},
		"run": func(t *rapid.T) {
			_, req := pick(t, m.requests, func(req *modelRequest) bool { return req.settled && !req.ran && !req.ended })
			req.ran = true
			if m.runs[req.op.KeyHash]++; m.runs[req.op.KeyHash] > 1 {
				t.Fatalf("%s ran twice", req.op.KeyHash)
			}
		},
		"end": func(t *rapid.T) {
			i, req := pick(t, m.requests, func(req *modelRequest) bool { return req.settled && !req.ended })
			req.ended = true
			op := Op{Step: wire.ClaimRelease, KeyHash: req.op.KeyHash, Token: req.op.Token, Deadline: m.now.Add(BackgroundRetryTime)}
			if req.ran {
				op.Step, op.Status, op.Answer = wire.ClaimRecord, 200, []byte(req.answer)
				m.recorded[req.op.KeyHash] = req.answer
			}
			m.route(t, i, op)
		},
		"deliver": func(t *rapid.T) {
			i, msg := pick(t, m.messages, func(modelMessage) bool { return true })
			m.messages = slices.Delete(m.messages, i, i+1)
			if msg.reply != nil {
				m.handleResult(t, msg.request, *msg.reply)
				return
			}
			m.submit(msg.to, msg)
		},
		"drop": func(t *rapid.T) {
			i, _ := pick(t, m.messages, func(modelMessage) bool { return true })
			m.messages = slices.Delete(m.messages, i, i+1)
		},
		"next":  m.nextCall,
		"next2": m.nextCall,
		"complete": func(t *rapid.T) {
			m.completeCall(t, rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "down"}).Draw(t, "outcome"))
		},
		"complete2": func(t *rapid.T) { m.completeCall(t, "ok") },
		// A Put whose sender no longer waits for the reply takes effect.
		"latePut": func(t *rapid.T) {
			i, a := pick(t, m.latePuts, func(Action) bool { return true })
			m.latePuts = slices.Delete(m.latePuts, i, i+1)
			_, _ = m.put(t, a)
		},
		"crash": func(t *rapid.T) {
			i, v := pick(t, m.vms, func(*modelVM) bool { return rapid.IntRange(0, 3).Draw(t, "crash") == 0 })
			if v.call != nil && !v.call.Load {
				m.latePuts = append(m.latePuts, *v.call)
			}
			for _, req := range m.requests {
				if req.vm == i {
					req.settled, req.ended, req.crashed = true, true, true
				}
			}
			m.startVM(i)
		},
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 30, 300, 5000, 60_000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// nextCall asks the Updater of a random VM for its next platform call.
func (m *claimModel) nextCall(t *rapid.T) {
	i, v := pick(t, m.vms, func(v *modelVM) bool { return v.call == nil })
	if a, ok := v.updater.Next(m.now); ok {
		v.call = &a
	}
	m.deliverResults(t, i)
}

// completeCall ends the call in flight of a random VM. With outcome "lost" a Put
// takes effect and its reply is lost; with "late" it may take effect later.
func (m *claimModel) completeCall(t *rapid.T, outcome string) {
	i, v := pick(t, m.vms, func(v *modelVM) bool { return v.call != nil })
	a := *v.call
	v.call = nil
	down := errs.Refuse(errs.PlatformDown, "down")
	switch {
	case a.Load && outcome == "ok":
		o, err := m.object.get()
		v.updater.Loaded(m.now, o, err)
	case a.Load:
		v.updater.Loaded(m.now, platform.Object{}, down)
	case outcome == "ok":
		version, err := m.put(t, a)
		v.updater.Stored(m.now, version, err)
	case outcome == "down":
		v.updater.Stored(m.now, "", down)
	default:
		if outcome == "late" {
			m.latePuts = append(m.latePuts, a)
		} else {
			_, _ = m.put(t, a)
		}
		v.updater.Stored(m.now, "", errs.Ambiguous(errs.PlatformDown, "reply lost"))
	}
	m.deliverResults(t, i)
}

// checkRecovery runs all Updaters on a working platform until they are idle. It
// checks that none is stuck and that a claim on a new key is granted.
func (m *claimModel) checkRecovery(t *rapid.T) {
	m.requests = append(m.requests, &modelRequest{op: Op{Step: wire.ClaimTake, KeyHash: "fresh", Token: "fresh", Deadline: m.now.Add(time.Hour)}})
	m.requests[len(m.requests)-1].attempt.Submitted()
	m.submit(0, modelMessage{request: len(m.requests) - 1, op: m.requests[len(m.requests)-1].op})
	for range 10_000 {
		idle := true
		for i, v := range m.vms {
			if v.call != nil {
				a := *v.call
				v.call = nil
				if a.Load {
					o, err := m.object.get()
					v.updater.Loaded(m.now, o, err)
				} else {
					version, err := m.put(t, a)
					v.updater.Stored(m.now, version, err)
				}
			}
			if a, ok := v.updater.Next(m.now); ok {
				v.call = &a
			}
			m.deliverResults(t, i)
			idle = idle && v.updater.Idle()
		}
		if idle {
			if last := m.requests[len(m.requests)-1].attempt.Result(); last.Verdict != wire.ClaimGranted {
				t.Fatalf("claim on a new key: %s", last.Verdict)
			}
			return
		}
		m.now = m.now.Add(10 * time.Millisecond)
	}
	t.Fatalf("an updater is stuck")
}

// TestModelAtMostOnce guards against a key that runs twice, an answer that
// contradicts the recorded one, a grant that is not stored, a refused request
// that runs, and an Updater that hangs. The causes are lost and late replies,
// outages, conflicts, crashes, pauses and several VMs that act as the owner.
func TestModelAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{now: time.UnixMilli(1_000_000), runs: map[string]int{}, recorded: map[string]string{}}
		m.vms = make([]*modelVM, rapid.IntRange(2, 4).Draw(t, "vms"))
		for i := range m.vms {
			m.startVM(i)
		}
		// One Repeat makes too few steps by default to reach a lost outcome.
		for range 4 {
			t.Repeat(m.actions())
		}
		m.checkRecovery(t)
	})
}
