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

// testService records its start and stop as "+name" and "-name" in events.
type testService struct {
	name       string
	events     *[]string
	startErr   error
	runErr     error
	hangOnStop bool
}

func (ts *testService) Start(_ context.Context, s *Scope) error {
	if ts.startErr != nil {
		return ts.startErr
	}
	*ts.events = append(*ts.events, "+"+ts.name)
	s.Go(func(ctx context.Context) error {
		if ts.runErr != nil {
			return ts.runErr
		}
		<-ctx.Done()
		return ctx.Err()
	})
	return nil
}

func (ts *testService) Stop(context.Context) error {
	if ts.hangOnStop {
		select {}
	}
	*ts.events = append(*ts.events, "-"+ts.name)
	return nil
}

func handle(name string) Handle[*testService] { return NewHandle[*testService](name) }

func timeoutContext(d time.Duration) func() (context.Context, context.CancelFunc) {
	return func() (context.Context, context.CancelFunc) { return context.WithTimeout(context.Background(), d) }
}

// Guards against a service that starts before or stops after one of its
// dependencies, and against services that are left running after a failed
// start. The expected order follows from the dependencies that were declared.
func TestStartAndStopOrderModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, events := New(), []string{}
		services := rapid.IntRange(1, 8).Draw(t, "services")
		failing := rapid.IntRange(-8, services-1).Draw(t, "failing service")
		order := rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7}[:services]).Draw(t, "order of registration")
		dependencies := map[string][]string{}
		for _, i := range order {
			service := &testService{name: string(rune('a' + i)), events: &events}
			if i == failing {
				service.startErr = errors.New("start failed")
			}
			var handles []Named
			for j := range i {
				if rapid.Bool().Draw(t, "depends") {
					handles = append(handles, handle(string(rune('a'+j))))
					dependencies[service.name] = append(dependencies[service.name], string(rune('a'+j)))
				}
			}
			assert.NilError(t, Add(k, handle(service.name), service, handles...))
		}
		err := k.Start(context.Background(), timeoutContext(time.Minute))
		var startErr *StartError
		assert.Equal(t, failing >= 0, errors.As(err, &startErr))
		if err == nil {
			assert.Equal(t, len(events), services)
			assert.NilError(t, k.Stop(context.Background()))
		}
		half := len(events) / 2
		for i, name := range events[:half] {
			assert.Equal(t, "-"+name[1:], events[len(events)-1-i], "stopped in reverse order")
			for _, dependency := range dependencies[name[1:]] {
				assert.Assert(t, slices.Contains(events[:i], "+"+dependency))
			}
		}
	})
}

// Guards against mistakes in the registration of services that would show only
// later, as a nil service.
func TestRegistrationErrorsAreTyped(t *testing.T) {
	k := New()
	assert.NilError(t, Add(k, handle("a"), &testService{}, handle("b")))
	var dup *DuplicateError
	assert.Assert(t, errors.As(Add(k, handle("a"), &testService{}), &dup))
	var missing *MissingError
	assert.Assert(t, errors.As(k.Start(context.Background(), timeoutContext(0)), &missing))
	assert.Equal(t, missing.NeededBy, "a")
	assert.NilError(t, Add(k, handle("b"), &testService{}, handle("a")))
	var cycle *CycleError
	assert.Assert(t, errors.As(k.Start(context.Background(), timeoutContext(0)), &cycle))
	assert.DeepEqual(t, cycle.Services, []string{"a", "b", "a"})
	_, err := Lookup(k, NewHandle[string]("a"))
	var wrong *TypeError
	assert.Assert(t, errors.As(err, &wrong))
	_, err = Get(&Scope{kernel: k, entry: k.entries["a"]}, handle("c"))
	var undeclared *UndeclaredError
	assert.Assert(t, errors.As(err, &undeclared))
}

// Guards against a failed goroutine after which the other services go on, and
// against a service whose Stop never returns and so keeps the others from
// stopping.
func TestFailureStopsAllWithinDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, events := New(), []string{}
		assert.NilError(t, Add(k, handle("a"), &testService{name: "a", events: &events}))
		assert.NilError(t, Add(k, handle("b"), &testService{name: "b", events: &events, runErr: errors.New("run failed")}, handle("a")))
		err := k.Run(context.Background(), timeoutContext(time.Second))
		var run *RunError
		assert.Assert(t, errors.As(err, &run), "%v", err)
		assert.DeepEqual(t, events, []string{"+a", "+b", "-b", "-a"})
	})
	k, events := New(), []string{}
	assert.NilError(t, Add(k, handle("a"), &testService{name: "a", events: &events}))
	assert.NilError(t, Add(k, handle("b"), &testService{name: "b", events: &events, hangOnStop: true}, handle("a")))
	assert.NilError(t, k.Start(context.Background(), timeoutContext(0)))
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	var stop *StopError
	assert.Assert(t, errors.As(k.Stop(ctx), &stop))
	assert.Equal(t, stop.TimedOut[0], "b")
}
