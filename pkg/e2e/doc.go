// Package e2e holds tests that run nutmeghitchd as separate processes and
// kill, freeze and stop them.
package e2e
