// Package kernel starts the services of a process in the order of their
// dependencies and stops them in reverse order.
package kernel

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"
)

// Starter is implemented by services that have work to do before others may
// use them. Start returns when the service is usable; long-running work goes
// to s.Go.
type Starter interface {
	Start(ctx context.Context, s *Scope) error
}

// Stopper is implemented by services that stop gracefully. Stop is called
// while the service's goroutines still run; their context is canceled when
// Stop returns.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Named is a handle of any type.
type Named interface{ Name() string }

// Handle names a service and carries its type.
type Handle[T any] struct{ name string }

// NewHandle returns the handle of the service called name.
func NewHandle[T any](name string) Handle[T] { return Handle[T]{name: name} }

// Name implements Named.
func (h Handle[T]) Name() string { return h.name }

// Kernel holds the services of one process. Its methods are called by one
// goroutine.
type Kernel struct {
	entries map[string]*entry
	// names holds the order of registration, which breaks ties in the start order.
	names   []string
	started []*entry
	failed  chan error
}

type entry struct {
	name    string
	needs   []string
	service any
	scope   *Scope
}

// Scope is a service's access to the kernel.
type Scope struct {
	kernel *Kernel
	entry  *entry
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{entries: map[string]*entry{}, failed: make(chan error, 1)}
}

// Add registers a service under its handle with the services it needs. It
// fails with *DuplicateError.
func Add[T any](k *Kernel, h Handle[T], service T, needs ...Named) error {
	if _, ok := k.entries[h.name]; ok {
		return &DuplicateError{Service: h.name}
	}
	e := &entry{name: h.name, service: service}
	for _, n := range needs {
		e.needs = append(e.needs, n.Name())
	}
	k.entries[h.name] = e
	k.names = append(k.names, h.name)
	return nil
}

// Lookup returns a registered service. It fails with *MissingError or
// *TypeError.
func Lookup[T any](k *Kernel, h Handle[T]) (T, error) {
	var none T
	e, ok := k.entries[h.name]
	if !ok {
		return none, &MissingError{Service: h.name}
	}
	service, ok := e.service.(T)
	if !ok {
		return none, &TypeError{Service: h.name, Have: e.service, Want: none}
	}
	return service, nil
}

// Get returns a service that the scope's service has declared as needed. It
// fails with *UndeclaredError otherwise, because such a service may not have
// been started yet.
func Get[T any](s *Scope, h Handle[T]) (T, error) {
	if !slices.Contains(s.entry.needs, h.name) {
		var none T
		return none, &UndeclaredError{Service: s.entry.name, Needs: h.name}
	}
	return Lookup(s.kernel, h)
}

// Context returns the context of the service's goroutines.
func (s *Scope) Context() context.Context { return s.ctx }

// Go runs f in the service's errgroup. Its context is canceled after the
// service was stopped. An error that f returns earlier stops the process.
func (s *Scope) Go(f func(ctx context.Context) error) {
	s.group.Go(func() error {
		err := f(s.ctx)
		if err != nil && s.ctx.Err() == nil {
			select {
			case s.kernel.failed <- &RunError{Service: s.entry.name, Err: err}:
			default:
			}
		}
		return err
	})
}

// Run starts all services, waits until ctx ends or a goroutine of a service
// fails, and stops them. newStop returns the context that bounds the stop. Its
// error is the first failure: *MissingError, *CycleError, *StartError,
// *RunError or *StopError.
func (k *Kernel) Run(ctx context.Context, newStop func() (context.Context, context.CancelFunc)) error {
	if err := k.Start(ctx, newStop); err != nil {
		return err
	}
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-k.failed:
	}
	stopCtx, cancel := newStop()
	defer cancel()
	if err := k.Stop(stopCtx); failure == nil {
		return err
	}
	return failure
}

// Start starts the services in dependency order. When one fails, those that
// were started are stopped within newStop's context.
func (k *Kernel) Start(ctx context.Context, newStop func() (context.Context, context.CancelFunc)) error {
	ordered, err := k.order()
	if err != nil {
		return err
	}
	for _, e := range ordered {
		if err := k.start(ctx, e); err != nil {
			stopCtx, cancel := newStop()
			defer cancel()
			_ = k.Stop(stopCtx)
			return &StartError{Service: e.name, Err: err}
		}
	}
	return nil
}

func (k *Kernel) start(ctx context.Context, e *entry) error {
	// The goroutines must outlive ctx: a graceful stop still needs them.
	scopeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.scope = &Scope{kernel: k, entry: e, ctx: scopeCtx, cancel: cancel}
	if s, ok := e.service.(Starter); ok {
		if err := s.Start(ctx, e.scope); err != nil {
			cancel()
			_ = e.scope.group.Wait()
			return err
		}
	}
	k.started = append(k.started, e)
	return nil
}

// Stop stops the started services in reverse order. A service that is not
// done when ctx ends is left behind and named in the *StopError; the others
// are stopped nevertheless.
func (k *Kernel) Stop(ctx context.Context) error {
	failure := &StopError{}
	for _, e := range slices.Backward(k.started) {
		done := make(chan error, 1)
		go func() { done <- e.stop(ctx) }()
		select {
		case err := <-done:
			if err != nil {
				failure.Failed = append(failure.Failed, ServiceError{e.name, err})
			}
		case <-ctx.Done():
			e.scope.cancel()
			failure.Late = append(failure.Late, e.name)
		}
	}
	k.started = nil
	if len(failure.Failed)+len(failure.Late) > 0 {
		return failure
	}
	return nil
}

func (e *entry) stop(ctx context.Context) error {
	var err error
	if s, ok := e.service.(Stopper); ok {
		err = s.Stop(ctx)
	}
	e.scope.cancel()
	// A failure of a goroutine has been reported through Kernel.failed.
	_ = e.scope.group.Wait()
	return err
}

// order returns the services so that each follows those it needs.
func (k *Kernel) order() ([]*entry, error) {
	var ordered []*entry
	placed := map[string]bool{}
	var visit func(name string, path []string) error
	visit = func(name string, path []string) error {
		if i := slices.Index(path, name); i >= 0 {
			return &CycleError{Services: append(slices.Clone(path[i:]), name)}
		}
		if placed[name] {
			return nil
		}
		e, ok := k.entries[name]
		if !ok {
			return &MissingError{Service: name, NeededBy: path[len(path)-1]}
		}
		path = append(slices.Clone(path), name)
		for _, need := range e.needs {
			if err := visit(need, path); err != nil {
				return err
			}
		}
		placed[name] = true
		ordered = append(ordered, e)
		return nil
	}
	for _, name := range k.names {
		if err := visit(name, nil); err != nil {
			return nil, err
		}
	}
	return ordered, nil
}
