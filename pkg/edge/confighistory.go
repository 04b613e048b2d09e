package edge

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/routes"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

// restoredConfigGrace is how long the operators have to write a configuration again
// that the store has lost. After it, what the store holds is what they want.
const restoredConfigGrace = 30 * time.Second

// configEntry is a configuration with the position of the store that holds it.
type configEntry struct {
	table *routes.Table
	at    storewatch.Position
}

// configHistory decides which configuration is in force. Versions are counted by the
// operators, so they hold across the eras of the store: a higher one is newer, and one
// that is in force is not replaced by an older one. A store that comes back from an
// older copy may hold an older one until the operators have written theirs again.
type configHistory struct {
	// current is the configuration in force, nil before the first one.
	current *configEntry
	// restored is the older configuration that the store holds in a newer era, nil if
	// there is none, and restoredSince when it was first seen.
	restored      *configEntry
	restoredSince time.Time
}

// offer offers a configuration that the store holds. It reports whether it is in force
// now and was not before.
func (h *configHistory) offer(now time.Time, e configEntry) bool {
	newerEra := h.current != nil && e.at.Era > h.current.at.Era
	switch {
	case h.current == nil, e.table.Version > h.current.table.Version, newerEra && e.table.Version == h.current.table.Version:
		h.current, h.restored = &e, nil
		return true
	case newerEra:
		if h.restored == nil || h.restored.at.Era != e.at.Era {
			h.restoredSince = now
		}
		h.restored = &e
	}
	return false
}

// takeRestored puts the older configuration of a restored store in force if the
// operators have left it there for restoredConfigGrace. It reports whether it did.
func (h *configHistory) takeRestored(now time.Time) bool {
	if h.restored == nil || now.Sub(h.restoredSince) < restoredConfigGrace {
		return false
	}
	h.current, h.restored = h.restored, nil
	return true
}
