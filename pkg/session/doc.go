// Package session holds golden files of whole sessions: what callers, VMs,
// upstreams and the platform say to each other for one request after another.
package session
