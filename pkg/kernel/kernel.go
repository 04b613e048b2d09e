// Package kernel starts the services of a process in the order of their
// dependencies and stops them in reverse order.
package kernel

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"
)

// Starter is implemented by services that must be started before others may
// use them. Start returns when the service is usable and runs long-running
// work with s.Go.
type Starter interface {
	Start(ctx context.Context, s *Scope) error
}

// Stopper is implemented by services that stop gracefully. Stop is called
// while the service's goroutines are running; their context is canceled when
// Stop returns.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Named is implemented by a Handle of every type.
type Named interface{ Name() string }

// Handle identifies a service by its name and has the type of the service.
type Handle[T any] struct{ name string }

// NewHandle returns the handle of the service called name.
func NewHandle[T any](name string) Handle[T] { return Handle[T]{name: name} }

// Name implements Named.
func (h Handle[T]) Name() string { return h.name }

// Kernel holds the services of one process. Its methods are called by one
// goroutine.
type Kernel struct {
	entries map[string]*serviceEntry
	// names holds the services in the order of registration. Services that do
	// not depend on each other start in this order.
	names    []string
	started  []*serviceEntry
	failures chan error
}

type serviceEntry struct {
	name         string
	dependencies []string
	service      any
	scope        *Scope
}

// Scope is what a service receives when it is started: access to its
// dependencies, and the goroutines that the kernel runs for it.
type Scope struct {
	kernel *Kernel
	entry  *serviceEntry
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{entries: map[string]*serviceEntry{}, failures: make(chan error, 1)}
}

// Add registers a service under its handle, with the services it depends on.
// It fails with *DuplicateError.
func Add[T any](k *Kernel, h Handle[T], service T, dependencies ...Named) error {
	if _, ok := k.entries[h.name]; ok {
		return &DuplicateError{Service: h.name}
	}
	e := &serviceEntry{name: h.name, service: service}
	for _, n := range dependencies {
		e.dependencies = append(e.dependencies, n.Name())
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

// Get returns a service that the scope's service has declared as a dependency.
// For any other service it fails with *UndeclaredError, because that service
// may not have been started yet.
func Get[T any](s *Scope, h Handle[T]) (T, error) {
	if !slices.Contains(s.entry.dependencies, h.name) {
		var none T
		return none, &UndeclaredError{Service: s.entry.name, Dependency: h.name}
	}
	return Lookup(s.kernel, h)
}

// Context returns the context of the service's goroutines.
func (s *Scope) Context() context.Context { return s.ctx }

// Go runs f in a goroutine of the service. The context of f is canceled when
// the service has been stopped. An error that f returns before that makes Run
// stop all services.
func (s *Scope) Go(f func(ctx context.Context) error) {
	s.group.Go(func() error {
		err := f(s.ctx)
		if err != nil && s.ctx.Err() == nil {
			select {
			case s.kernel.failures <- &RunError{Service: s.entry.name, Err: err}:
			default:
			}
		}
		return err
	})
}

// Run starts all services, waits until ctx ends or a goroutine of a service
// fails, and stops them. newStopContext returns the context that bounds the
// stop. Run returns the first error: *MissingError, *CycleError, *StartError,
// *RunError or *StopError.
func (k *Kernel) Run(ctx context.Context, newStopContext func() (context.Context, context.CancelFunc)) error {
	if err := k.Start(ctx, newStopContext); err != nil {
		return err
	}
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-k.failures:
	}
	stopCtx, cancel := newStopContext()
	defer cancel()
	if err := k.Stop(stopCtx); failure == nil {
		return err
	}
	return failure
}

// Start starts the services in the order of their dependencies. When one
// fails, the services that were started are stopped before the context of
// newStopContext ends.
func (k *Kernel) Start(ctx context.Context, newStopContext func() (context.Context, context.CancelFunc)) error {
	ordered, err := k.startOrder()
	if err != nil {
		return err
	}
	for _, e := range ordered {
		if err := k.start(ctx, e); err != nil {
			stopCtx, cancel := newStopContext()
			defer cancel()
			_ = k.Stop(stopCtx)
			return &StartError{Service: e.name, Err: err}
		}
	}
	return nil
}

func (k *Kernel) start(ctx context.Context, e *serviceEntry) error {
	// The goroutines must outlive ctx, because a graceful stop needs them.
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

// Stop stops the started services in reverse order. A service that has not
// stopped when ctx ends is named in the *StopError, and Stop does not wait for
// it any longer; the others are stopped nevertheless.
func (k *Kernel) Stop(ctx context.Context) error {
	stopErr := &StopError{}
	for _, e := range slices.Backward(k.started) {
		done := make(chan error, 1)
		go func() { done <- e.stop(ctx) }()
		select {
		case err := <-done:
			if err != nil {
				stopErr.Failed = append(stopErr.Failed, ServiceError{e.name, err})
			}
		case <-ctx.Done():
			e.scope.cancel()
			stopErr.TimedOut = append(stopErr.TimedOut, e.name)
		}
	}
	k.started = nil
	if len(stopErr.Failed)+len(stopErr.TimedOut) > 0 {
		return stopErr
	}
	return nil
}

func (e *serviceEntry) stop(ctx context.Context) error {
	var err error
	if s, ok := e.service.(Stopper); ok {
		err = s.Stop(ctx)
	}
	e.scope.cancel()
	// An error of a goroutine has been reported through Kernel.failures.
	_ = e.scope.group.Wait()
	return err
}

// startOrder returns the services so that each follows its dependencies.
func (k *Kernel) startOrder() ([]*serviceEntry, error) {
	var ordered []*serviceEntry
	visited := map[string]bool{}
	var visit func(name string, path []string) error
	visit = func(name string, path []string) error {
		if i := slices.Index(path, name); i >= 0 {
			return &CycleError{Services: append(slices.Clone(path[i:]), name)}
		}
		if visited[name] {
			return nil
		}
		e, ok := k.entries[name]
		if !ok {
			return &MissingError{Service: name, NeededBy: path[len(path)-1]}
		}
		path = append(slices.Clone(path), name)
		for _, dependency := range e.dependencies {
			if err := visit(dependency, path); err != nil {
				return err
			}
		}
		visited[name] = true
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
