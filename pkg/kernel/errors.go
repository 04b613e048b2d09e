package kernel

import (
	"fmt"
	"strings"
)

// DuplicateError reports a second service under one name.
type DuplicateError struct{ Service string }

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("service %q is already registered", e.Service)
}

// MissingError reports a service that is not registered.
type MissingError struct {
	Service string
	// NeededBy is the service that declares it, or "" for a lookup.
	NeededBy string
}

// Error implements error.
func (e *MissingError) Error() string {
	if e.NeededBy == "" {
		return fmt.Sprintf("service %q is not registered", e.Service)
	}
	return fmt.Sprintf("service %q, needed by %q, is not registered", e.Service, e.NeededBy)
}

// UndeclaredError reports the use of a service without declaring it.
type UndeclaredError struct{ Service, Needs string }

// Error implements error.
func (e *UndeclaredError) Error() string {
	return fmt.Sprintf("service %q uses %q without declaring it", e.Service, e.Needs)
}

// TypeError reports a handle whose type is not that of the service.
type TypeError struct {
	Service    string
	Have, Want any
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("service %q is a %T, not a %T", e.Service, e.Have, e.Want)
}

// CycleError reports services that need each other. The first is repeated at
// the end.
type CycleError struct{ Services []string }

// Error implements error.
func (e *CycleError) Error() string {
	return "services need each other: " + strings.Join(e.Services, " -> ")
}

// StartError reports a service that did not start.
type StartError struct {
	Service string
	Err     error
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("service %q did not start: %v", e.Service, e.Err)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// RunError reports a goroutine of a service that failed.
type RunError struct {
	Service string
	Err     error
}

// Error implements error.
func (e *RunError) Error() string { return fmt.Sprintf("service %q failed: %v", e.Service, e.Err) }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Err }

// ServiceError is the failure of one service.
type ServiceError struct {
	Service string
	Err     error
}

// StopError reports services that did not stop cleanly.
type StopError struct {
	// Failed holds services whose Stop returned an error.
	Failed []ServiceError
	// Late holds services that were not done at the deadline.
	Late []string
}

// Error implements error.
func (e *StopError) Error() string {
	var parts []string
	for _, f := range e.Failed {
		parts = append(parts, fmt.Sprintf("service %q did not stop: %v", f.Service, f.Err))
	}
	for _, name := range e.Late {
		parts = append(parts, fmt.Sprintf("service %q was not done at the deadline", name))
	}
	return strings.Join(parts, "; ")
}
