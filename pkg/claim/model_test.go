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

// modelObject is the platform's object with conditional updates.
type modelObject struct {
	value   []byte
	version int
}

func (o *modelObject) get() (platform.Object, error) {
	if o.version == 0 {
		return platform.Object{}, errs.Refuse(errs.PlatformNotFound, "absent")
	}
	return platform.Object{Value: o.value, Version: strconv.Itoa(o.version)}, nil
}

// put applies a conditional update and checks what it does to each entry.
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

// mayRun reports whether the request with the token ran or may still run. The
// entry of such a token must not be given to another.
func (m *claimModel) mayRun(token string) bool {
	i := slices.IndexFunc(m.sends, func(s *modelSend) bool { return s.op.Token == token })
	return m.sends[i].ran || !m.sends[i].ended
}

func (o *modelObject) partition(t *rapid.T) *Partition {
	if o.version == 0 {
		return NewPartition()
	}
	p, err := Decode(o.value)
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	return p
}

// modelSend is one request of a caller: the state of its entry VM.
type modelSend struct {
	vm      int
	op      Op
	attempt Attempt
	local   bool
	settled bool
	crashed bool
	ran     bool
	ended   bool
	answer  string
}

// modelMessage is an operation on its way to a VM (send < 0: no reply wanted)
// or a result on its way back.
type modelMessage struct {
	to    int
	op    Op
	send  int
	reply *Result
}

type modelVM struct {
	machine *Machine
	call    *Action
	sinks   map[uint64]modelMessage
	ops     uint64
}

// claimModel runs Machines and Attempts of several VMs with every step, reply
// and delay chosen by rapid. Any VM may take itself for the owner. A VM that
// gets no step is paused.
type claimModel struct {
	now      time.Time
	object   modelObject
	delayed  []Action
	vms      []*modelVM
	sends    []*modelSend
	messages []modelMessage
	runs     map[string]int
	recorded map[string]string
}

func (m *claimModel) boot(vm int) {
	c := MachineConfig{WritesPerSecond: 100, Burst: 4, Retention: 24 * time.Hour, Rand: rand.New(rand.NewPCG(1, 2))}
	m.vms[vm] = &modelVM{machine: NewMachine(c, m.now), sinks: map[uint64]modelMessage{}}
}

func (m *claimModel) submit(vm int, msg modelMessage) {
	v := m.vms[vm]
	v.ops++
	msg.op.ID = v.ops
	v.sinks[v.ops] = msg
	v.machine.Submit(m.now, msg.op)
}

// pump hands out results: to a send on the same VM at once, else by message.
func (m *claimModel) pump(t *rapid.T, vm int) {
	for _, r := range m.vms[vm].machine.Results() {
		sink := m.vms[vm].sinks[r.ID]
		switch {
		case sink.send < 0:
		case m.sends[sink.send].vm == vm:
			m.reply(t, sink.send, r)
		default:
			m.messages = append(m.messages, modelMessage{to: m.sends[sink.send].vm, send: sink.send, reply: &r})
		}
	}
}

// reply is the oracle's place: what a request acts on must hold in the store.
func (m *claimModel) reply(t *rapid.T, send int, r Result) {
	s := m.sends[send]
	switch {
	case s.crashed:
	case s.settled && s.ended:
		m.ended(t, s, r)
	case s.attempt.Reply(r):
		m.settle(t, s)
	}
}

// ended checks the result of recording or releasing. A late result of the
// take can come here too; it changes nothing.
func (m *claimModel) ended(t *rapid.T, s *modelSend, r Result) {
	e, _ := m.object.partition(t).Entry(s.op.KeyHash)
	switch {
	case r.Verdict == wire.ClaimLost:
		t.Fatalf("outcome of %s refused, stored %+v", s.op.Token, e)
	case r.Verdict == wire.ClaimRecorded && (e.Token != s.op.Token || string(e.Answer) != s.answer):
		t.Fatalf("outcome %q of %s is not stored: %+v", s.answer, s.op.Token, e)
	}
	if s.attempt.Reply(r) {
		t.Fatalf("%s settled twice", s.op.Token)
	}
}

func (m *claimModel) settle(t *rapid.T, s *modelSend) {
	s.settled = true
	r := s.attempt.Result()
	e, _ := m.object.partition(t).Entry(s.op.KeyHash)
	if s.attempt.NeedsRelease() {
		m.submit(s.vm, modelMessage{send: -1, op: Op{Step: wire.ClaimRelease, KeyHash: s.op.KeyHash, Token: s.op.Token, Deadline: m.now.Add(Linger)}})
	}
	switch r.Verdict {
	case wire.ClaimGranted:
		if e.Token != s.op.Token || e.State != Claimed {
			t.Fatalf("granted %x, stored %+v", s.op.Token, e)
		}
	case wire.ClaimDone:
		if want, ok := m.recorded[s.op.KeyHash]; !ok || string(r.Answer) != want || r.Status != 200 {
			t.Fatalf("answered %q, recorded %q", r.Answer, want)
		}
		s.ended = true
	case wire.ClaimReused:
		other := func(o *modelSend) bool { return o.op.KeyHash == s.op.KeyHash && o.op.Fingerprint != s.op.Fingerprint }
		if !slices.ContainsFunc(m.sends, other) {
			t.Fatalf("refused as reused, stored %+v", e)
		}
		s.ended = true
	default:
		s.ended = true
	}
}

// pick returns a random element that satisfies keep.
func pick[T any](t *rapid.T, list []T, keep func(T) bool) (int, T) {
	var indexes []int
	for i, x := range list {
		if keep(x) {
			indexes = append(indexes, i)
		}
	}
	if len(indexes) == 0 {
		t.Skip("none")
	}
	i := rapid.SampledFrom(indexes).Draw(t, "pick")
	return i, list[i]
}

func (m *claimModel) send(t *rapid.T) {
	s := &modelSend{vm: rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm"), answer: fmt.Sprintf("answer %d", len(m.sends))}
	s.op = Op{
		Step: wire.ClaimTake, KeyHash: rapid.SampledFrom([]string{"key a", "key b"}).Draw(t, "key"),
		Token: fmt.Sprintf("token %d", len(m.sends)), Fingerprint: uint64(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "body")),
		Deadline: m.now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 3 * time.Second}).Draw(t, "deadline")),
	}
	m.sends = append(m.sends, s)
	m.route(t, len(m.sends)-1, s.op)
}

// route gives an operation to any VM as the owner, or to the VM itself.
func (m *claimModel) route(t *rapid.T, send int, op Op) {
	s := m.sends[send]
	owner := rapid.IntRange(0, len(m.vms)-1).Draw(t, "owner")
	if op.Step == wire.ClaimTake {
		s.attempt.Started()
	}
	if owner == s.vm {
		s.local = true
		m.submit(s.vm, modelMessage{send: send, op: op})
		return
	}
	m.messages = append(m.messages, modelMessage{to: owner, send: send, op: op})
}

func (m *claimModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send":  m.send,
		"send2": m.send,
		"fallback": func(t *rapid.T) {
			i, s := pick(t, m.sends, func(s *modelSend) bool { return !s.settled && !s.local })
			s.local = true
			s.attempt.Started()
			m.submit(s.vm, modelMessage{send: i, op: s.op})
		},
		"expire": func(t *rapid.T) {
			_, s := pick(t, m.sends, func(s *modelSend) bool { return !s.settled })
			s.attempt.Expire()
			m.settle(t, s)
		},
		"run": func(t *rapid.T) {
			_, s := pick(t, m.sends, func(s *modelSend) bool { return s.settled && !s.ran && !s.ended })
			s.ran = true
			if m.runs[s.op.KeyHash]++; m.runs[s.op.KeyHash] > 1 {
				t.Fatalf("%s ran twice", s.op.KeyHash)
			}
		},
		"end": func(t *rapid.T) {
			i, s := pick(t, m.sends, func(s *modelSend) bool { return s.settled && !s.ended })
			s.ended = true
			op := Op{Step: wire.ClaimRelease, KeyHash: s.op.KeyHash, Token: s.op.Token, Deadline: m.now.Add(Linger)}
			if s.ran {
				op.Step, op.Status, op.Answer = wire.ClaimRecord, 200, []byte(s.answer)
				m.recorded[s.op.KeyHash] = s.answer
			}
			m.route(t, i, op)
		},
		"deliver": func(t *rapid.T) {
			i, msg := pick(t, m.messages, func(modelMessage) bool { return true })
			m.messages = slices.Delete(m.messages, i, i+1)
			if msg.reply != nil {
				m.reply(t, msg.send, *msg.reply)
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
			m.complete(t, rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "down"}).Draw(t, "fate"))
		},
		"complete2": func(t *rapid.T) { m.complete(t, "ok") },
		"land": func(t *rapid.T) {
			i, a := pick(t, m.delayed, func(Action) bool { return true })
			m.delayed = slices.Delete(m.delayed, i, i+1)
			_, _ = m.put(t, a)
		},
		"crash": func(t *rapid.T) {
			i, v := pick(t, m.vms, func(*modelVM) bool { return rapid.IntRange(0, 3).Draw(t, "crash") == 0 })
			if v.call != nil && !v.call.Load {
				m.delayed = append(m.delayed, *v.call)
			}
			for _, s := range m.sends {
				if s.vm == i {
					s.settled, s.ended, s.crashed = true, true, true
				}
			}
			m.boot(i)
		},
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 30, 300, 5000, 60_000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

func (m *claimModel) nextCall(t *rapid.T) {
	i, v := pick(t, m.vms, func(v *modelVM) bool { return v.call == nil })
	if a, ok := v.machine.Next(m.now); ok {
		v.call = &a
	}
	m.pump(t, i)
}

func (m *claimModel) complete(t *rapid.T, fate string) {
	i, v := pick(t, m.vms, func(v *modelVM) bool { return v.call != nil })
	a := *v.call
	v.call = nil
	down := errs.Refuse(errs.PlatformDown, "down")
	switch {
	case a.Load && fate == "ok":
		o, err := m.object.get()
		v.machine.Loaded(m.now, o, err)
	case a.Load:
		v.machine.Loaded(m.now, platform.Object{}, down)
	case fate == "ok":
		version, err := m.put(t, a)
		v.machine.Stored(m.now, version, err)
	case fate == "down":
		v.machine.Stored(m.now, "", down)
	default:
		if fate == "late" {
			m.delayed = append(m.delayed, a)
		} else {
			_, _ = m.put(t, a)
		}
		v.machine.Stored(m.now, "", errs.Ambiguous(errs.PlatformDown, "reply lost"))
	}
	m.pump(t, i)
}

// heal runs every Machine to the end on a working platform and checks that
// none is stuck and that a new key is granted.
func (m *claimModel) heal(t *rapid.T) {
	m.sends = append(m.sends, &modelSend{op: Op{Step: wire.ClaimTake, KeyHash: "fresh", Token: "fresh", Deadline: m.now.Add(time.Hour)}})
	m.sends[len(m.sends)-1].attempt.Started()
	m.submit(0, modelMessage{send: len(m.sends) - 1, op: m.sends[len(m.sends)-1].op})
	for range 10_000 {
		idle := true
		for i, v := range m.vms {
			if v.call != nil {
				a := *v.call
				v.call = nil
				if a.Load {
					o, err := m.object.get()
					v.machine.Loaded(m.now, o, err)
				} else {
					version, err := m.put(t, a)
					v.machine.Stored(m.now, version, err)
				}
			}
			if a, ok := v.machine.Next(m.now); ok {
				v.call = &a
			}
			m.pump(t, i)
			idle = idle && v.machine.Idle()
		}
		if idle {
			if last := m.sends[len(m.sends)-1].attempt.Result(); last.Verdict != wire.ClaimGranted {
				t.Fatalf("fresh key: %s", last.Verdict)
			}
			return
		}
		m.now = m.now.Add(10 * time.Millisecond)
	}
	t.Fatalf("a machine is stuck")
}

// TestModelAtMostOnce guards against a key that runs twice, an answer that
// contradicts the recorded one, a grant that is not stored, a refused request
// that runs, and a Machine that hangs, under lost and late replies, outages,
// conflicts, crashes, pauses and several owners.
func TestModelAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{now: time.UnixMilli(1_000_000), runs: map[string]int{}, recorded: map[string]string{}}
		m.vms = make([]*modelVM, rapid.IntRange(2, 4).Draw(t, "vms"))
		for i := range m.vms {
			m.boot(i)
		}
		// A lost outcome needs more steps than one Repeat makes by default.
		for range 4 {
			t.Repeat(m.actions())
		}
		m.heal(t)
	})
}
