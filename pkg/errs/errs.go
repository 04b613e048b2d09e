// Package errs defines the typed errors that the tier returns to callers and
// passes between its VMs and packages.
package errs

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Code identifies the cause of a refusal. Codes are part of the public protocol:
// the meaning of a code never changes.
type Code string

// Codes of refusals, see docs/protocol.md.
const (
	InvalidRequest       Code = "invalid_request"
	UnknownService       Code = "unknown_service"
	UnknownOperation     Code = "unknown_operation"
	TooLarge             Code = "too_large"
	HeaderTooLarge       Code = "header_too_large"
	BodyTimeout          Code = "body_timeout"
	Unauthorized         Code = "unauthorized"
	KeyRequired          Code = "key_required"
	KeyReused            Code = "key_reused"
	Overloaded           Code = "overloaded"
	ShareExceeded        Code = "share_exceeded"
	QuotaExceeded        Code = "quota_exceeded"
	QuotaUnknown         Code = "quota_unknown"
	DeadlineExceeded     Code = "deadline_exceeded"
	OutcomeUnknown       Code = "outcome_unknown"
	Poisoned             Code = "poisoned"
	NoReplica            Code = "no_replica"
	NoSnapshot           Code = "no_snapshot"
	NotReady             Code = "not_ready"
	ConfigUnconfirmed    Code = "config_unconfirmed"
	Stopping             Code = "stopping"
	ClaimUnavailable     Code = "claim_unavailable"
	ClaimStoreFull       Code = "claim_store_full"
	BudgetSpent          Code = "budget_spent"
	UpstreamShed         Code = "upstream_shed"
	UpstreamCold         Code = "upstream_cold"
	UpstreamDraining     Code = "upstream_draining"
	UpstreamFailed       Code = "upstream_failed"
	UpstreamLost         Code = "upstream_lost"
	ConnectionSilent     Code = "connection_silent"
	VersionGone          Code = "version_gone"
	ResponseMismatch     Code = "response_mismatch"
	ResponseInvalid      Code = "response_invalid"
	MemoryLimit          Code = "memory_limit"
	PeerUnreachable      Code = "peer_unreachable"
	PeerLost             Code = "peer_lost"
	NotOwner             Code = "not_owner"
	StaleView            Code = "stale_view"
	QueueFull            Code = "queue_full"
	PlatformDown         Code = "platform_down"
	PlatformThrottled    Code = "platform_throttled"
	PlatformConflict     Code = "platform_conflict"
	PlatformNotFound     Code = "platform_not_found"
	PlatformWatchGap     Code = "platform_watch_gap"
	FrameTooLarge        Code = "frame_too_large"
	FrameMalformed       Code = "frame_malformed"
	ProtocolMismatch     Code = "protocol_mismatch"
	AuthenticationFailed Code = "authentication_failed"
	SettingsInvalid      Code = "settings_invalid"
	AddressInUse         Code = "address_in_use"
	Canceled             Code = "canceled"
	Internal             Code = "internal"
)

// RunState says whether an upstream may have run the refused request.
type RunState uint8

const (
	// DidNotRun means that no byte of the request was sent to an upstream, or
	// that the upstream's reply states that it did not run the request.
	DidNotRun RunState = iota
	// MayHaveRun applies in every other case.
	MayHaveRun
)

// String returns the name of the state in the public protocol.
func (s RunState) String() string {
	if s == DidNotRun {
		return "did_not_run"
	}
	return "may_have_run"
}

// Refusal is the error of a request that was not answered as asked.
type Refusal struct {
	Code       Code
	RunState   RunState
	Detail     string
	RetryAfter time.Duration
	// ConnectionRefused is set if the dial failed because nothing listened at the
	// address of the upstream.
	ConnectionRefused bool
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.RunState, r.Detail)
}

// Refuse returns a refusal of a request that did not run.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, RunState: DidNotRun, Detail: fmt.Sprintf(format, args...)}
}

// Ambiguous returns a refusal of a request that may have run.
func Ambiguous(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, RunState: MayHaveRun, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of r that asks the caller to wait for d before
// it retries.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	withDelay := *r
	withDelay.RetryAfter = d
	return &withDelay
}

// As returns the refusal in err's chain, or nil for a nil error. Any other error
// becomes a refusal with code Internal and run state MayHaveRun, because nothing
// is known about its effect.
func As(err error) *Refusal {
	if err == nil {
		return nil
	}
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Ambiguous(Internal, "%v", err)
}

// Is reports whether err carries a refusal with the given code.
func Is(err error, code Code) bool {
	var r *Refusal
	return errors.As(err, &r) && r.Code == code
}

// HTTPStatus returns the HTTP status of a response that carries the refusal.
func (r *Refusal) HTTPStatus() int {
	switch r.Code {
	case InvalidRequest, KeyRequired:
		return http.StatusBadRequest
	case Unauthorized, AuthenticationFailed:
		return http.StatusUnauthorized
	case UnknownService, UnknownOperation:
		return http.StatusNotFound
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case BodyTimeout:
		return http.StatusRequestTimeout
	case KeyReused, Poisoned:
		return http.StatusUnprocessableEntity
	case OutcomeUnknown:
		return http.StatusConflict
	case ShareExceeded, QuotaExceeded:
		return http.StatusTooManyRequests
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	case Internal, ResponseMismatch:
		return http.StatusInternalServerError
	case UpstreamFailed, UpstreamLost, ResponseInvalid, ConnectionSilent, PeerLost:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
