package kernel

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
)

type part struct {
	name   string
	log    *[]string
	fail   error
	goFail error
	hang   bool
}

func (p *part) Start(_ context.Context, s *Scope) error {
	if p.fail != nil {
		return p.fail
	}
	*p.log = append(*p.log, "+"+p.name)
	s.Go(func(ctx context.Context) error {
		if p.goFail != nil {
			return p.goFail
		}
		<-ctx.Done()
		return ctx.Err()
	})
	return nil
}

func (p *part) Stop(context.Context) error {
	if p.hang {
		select {}
	}
	*p.log = append(*p.log, "-"+p.name)
	return nil
}

func handle(name string) Handle[*part] { return NewHandle[*part](name) }

func within(d time.Duration) func() (context.Context, context.CancelFunc) {
	return func() (context.Context, context.CancelFunc) { return context.WithTimeout(context.Background(), d) }
}

// Guards against a service that runs before or longer than one it needs, and
// against services left running after a failed start. The oracle is the
// declared graph.
func TestOrderModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, log := New(), []string{}
		n := rapid.IntRange(1, 8).Draw(t, "services")
		broken := rapid.IntRange(-8, n-1).Draw(t, "broken")
		order := rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7}[:n]).Draw(t, "order of registration")
		needs := map[string][]string{}
		for _, i := range order {
			p := &part{name: string(rune('a' + i)), log: &log}
			if i == broken {
				p.fail = errors.New("broken")
			}
			var needed []Named
			for j := range i {
				if rapid.Bool().Draw(t, "needs") {
					needed = append(needed, handle(string(rune('a'+j))))
					needs[p.name] = append(needs[p.name], string(rune('a'+j)))
				}
			}
			assert.NilError(t, Add(k, handle(p.name), p, needed...))
		}
		err := k.Start(context.Background(), within(time.Minute))
		var startErr *StartError
		assert.Equal(t, broken >= 0, errors.As(err, &startErr))
		if err == nil {
			assert.Equal(t, len(log), n)
			assert.NilError(t, k.Stop(context.Background()))
		}
		half := len(log) / 2
		for i, name := range log[:half] {
			assert.Equal(t, "-"+name[1:], log[len(log)-1-i], "stopped in reverse order")
			for _, need := range needs[name[1:]] {
				assert.Assert(t, slices.Contains(log[:i], "+"+need))
			}
		}
	})
}

// Guards against wiring faults that surface as a nil service at run time.
func TestWiringFaultsAreTyped(t *testing.T) {
	k := New()
	assert.NilError(t, Add(k, handle("a"), &part{}, handle("b")))
	var dup *DuplicateError
	assert.Assert(t, errors.As(Add(k, handle("a"), &part{}), &dup))
	var missing *MissingError
	assert.Assert(t, errors.As(k.Start(context.Background(), within(0)), &missing))
	assert.Equal(t, missing.NeededBy, "a")
	assert.NilError(t, Add(k, handle("b"), &part{}, handle("a")))
	var cycle *CycleError
	assert.Assert(t, errors.As(k.Start(context.Background(), within(0)), &cycle))
	assert.DeepEqual(t, cycle.Services, []string{"a", "b", "a"})
	_, err := Lookup(k, NewHandle[string]("a"))
	var wrong *TypeError
	assert.Assert(t, errors.As(err, &wrong))
	_, err = Get(&Scope{kernel: k, entry: k.entries["a"]}, handle("c"))
	var undeclared *UndeclaredError
	assert.Assert(t, errors.As(err, &undeclared))
}

// Guards against a failed goroutine that leaves the process half alive and a
// hanging service that keeps the others from stopping.
func TestFailureStopsAllWithinDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, log := New(), []string{}
		assert.NilError(t, Add(k, handle("a"), &part{name: "a", log: &log}))
		assert.NilError(t, Add(k, handle("b"), &part{name: "b", log: &log, goFail: errors.New("lost")}, handle("a")))
		err := k.Run(context.Background(), within(time.Second))
		var run *RunError
		assert.Assert(t, errors.As(err, &run), "%v", err)
		assert.DeepEqual(t, log, []string{"+a", "+b", "-b", "-a"})
	})
	k, log := New(), []string{}
	assert.NilError(t, Add(k, handle("a"), &part{name: "a", log: &log}))
	assert.NilError(t, Add(k, handle("b"), &part{name: "b", log: &log, hang: true}, handle("a")))
	assert.NilError(t, k.Start(context.Background(), within(0)))
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	var stop *StopError
	assert.Assert(t, errors.As(k.Stop(ctx), &stop))
	assert.Equal(t, stop.Late[0], "b")
}
