// Package clienttest plays misbehaving clients against the processes of the system and
// checks that they stay within the memory and the descriptors of their machine, and go
// on to serve ordinary callers.
package clienttest
