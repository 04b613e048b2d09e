package kernel

import (
	"fmt"
	"strings"
)

// DuplicateError reports that a service with this name is registered already.
type DuplicateError struct{ Service string }

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("service %q is already registered", e.Service)
}

// MissingError reports a service that is not registered.
type MissingError struct {
	Service string
	// NeededBy is the service that declares the dependency; it is empty when
	// Lookup was called.
	NeededBy string
}

// Error implements error.
func (e *MissingError) Error() string {
	if e.NeededBy == "" {
		return fmt.Sprintf("service %q is not registered", e.Service)
	}
	return fmt.Sprintf("service %q, a dependency of %q, is not registered", e.Service, e.NeededBy)
}

// UndeclaredError reports that a service uses another one that it has not
// declared as a dependency.
type UndeclaredError struct{ Service, Dependency string }

// Error implements error.
func (e *UndeclaredError) Error() string {
	return fmt.Sprintf("service %q uses %q, which it does not declare as a dependency", e.Service, e.Dependency)
}

// TypeError reports a handle whose type differs from the type of the service.
type TypeError struct {
	Service    string
	Have, Want any
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("service %q has type %T, the handle has type %T", e.Service, e.Have, e.Want)
}

// CycleError reports services that depend on each other in a cycle. The first
// one is repeated at the end.
type CycleError struct{ Services []string }

// Error implements error.
func (e *CycleError) Error() string {
	return "services depend on each other: " + strings.Join(e.Services, " -> ")
}

// StartError reports a service whose Start returned an error.
type StartError struct {
	Service string
	Err     error
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("service %q failed to start: %v", e.Service, e.Err)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// RunError reports a service one of whose goroutines returned an error while
// the service was running.
type RunError struct {
	Service string
	Err     error
}

// Error implements error.
func (e *RunError) Error() string { return fmt.Sprintf("service %q failed: %v", e.Service, e.Err) }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Err }

// ServiceError is the error that Stop of one service returned.
type ServiceError struct {
	Service string
	Err     error
}

// StopError reports services that did not stop cleanly.
type StopError struct {
	// Failed holds services whose Stop returned an error.
	Failed []ServiceError
	// TimedOut holds services that had not stopped when the context ended.
	TimedOut []string
}

// Error implements error.
func (e *StopError) Error() string {
	var parts []string
	for _, f := range e.Failed {
		parts = append(parts, fmt.Sprintf("service %q failed to stop: %v", f.Service, f.Err))
	}
	for _, name := range e.TimedOut {
		parts = append(parts, fmt.Sprintf("service %q did not stop before the deadline", name))
	}
	return strings.Join(parts, "; ")
}
