package config

import (
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Built-in values of keys that the files leave out.
var (
	tierDefaults = map[string]any{
		"claim_partitions":   64,
		"claim_retention_ms": dayMS,
		// A request is blocked after the second upstream that was lost while
		// running it, because the first may be a coincidence.
		"poison_limit":    2,
		"poison_block_ms": 10 * minuteMS,
		"same_domain_us":  100,
		"same_region_us":  500,
		"other_region_us": 30_000,
	}
	serviceDefaults = map[string]any{
		"deadline_ms":     1000,
		"max_deadline_ms": 10_000,
		// Section 1.7 of the design allows 5% of extra load.
		"extra_load":      0.05,
		"target_quantile": 0.99,
		"cold_window":     1,
		"queue_limit":     32,
	}
	searchDefaults = map[string]any{"limit": 100}
)

// applyDefaults sets the keys that the files leave out: first from the
// service_defaults of the files, then from the built-in defaults.
func applyDefaults(root *node) {
	tier := root.get("tier")
	if tier == nil {
		tier = newObject(Origin{File: DefaultFile})
		root.set("tier", tier)
	}
	setMissing(tier, tierDefaults)
	services := root.get("services")
	if services == nil || services.kind != '{' {
		return
	}
	for _, id := range services.keys {
		svc := services.members[id]
		if svc.kind != '{' {
			continue
		}
		kind := serviceKind(svc)
		if d := root.get("service_defaults", kind); d != nil && d.kind == '{' {
			copyMissing(svc, d)
		}
		setMissing(svc, serviceDefaults)
		if kind == string(model.Search) {
			setMissing(svc, searchDefaults)
		}
	}
}

func serviceKind(svc *node) string {
	if k := svc.get("kind"); k != nil {
		return k.text()
	}
	return ""
}

// copyMissing copies the members of from that n does not have, at all levels.
func copyMissing(n, from *node) {
	for _, key := range from.keys {
		current, inherited := n.members[key], from.members[key]
		switch {
		case current == nil:
			n.set(key, inherited.clone())
		case current.kind == '{' && inherited.kind == '{':
			copyMissing(current, inherited)
		}
	}
}

// setMissing sets the members of n that are in values and that n does not have.
func setMissing(n *node, values map[string]any) {
	if n.kind != '{' {
		return
	}
	for _, key := range sortedKeys(values) {
		if n.members[key] == nil {
			n.set(key, newLiteral(values[key], Origin{File: DefaultFile}))
		}
	}
}
