// Package fake provides stand-ins for the systems outside the tier: the
// platform's object API and upstream servers. They listen on loopback, can be
// made to fail in every way the tier must tolerate, and count what they are
// sent. Tests, the demo and measurements use them; a production process does
// not.
package fake
