package measure

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// maxExamples bounds the violations that a report describes.
const maxExamples = 5

// promises checks what must always hold.
func (r *run) promises() []Promise {
	list := []Promise{
		broken("no answer is untrue (P1, P2, P5)", r.report.Wrong),
		broken("no booking runs twice (P7)", r.doubled()),
		broken("a did_not_run refusal is true (P6)", r.falseRefusals()),
		broken("connections stay within the limit", r.connections()),
		broken("no VM goes back to an older configuration (P10)", r.watcher.reverts),
		broken("an accepted configuration is in force everywhere (P10)", r.lost),
	}
	late := Promise{Name: "a failure domain that was taken out gets no work after 3 s (P4)", Broken: r.late}
	list = append(list, late)
	if !r.scenario.UpstreamsBound {
		list = append(list, broken("concurrent work at a replica stays within slots + 1", r.concurrency()))
	}
	return list
}

func broken(name string, violations []string) Promise {
	return Promise{Name: name, Broken: len(violations), Examples: violations[:min(len(violations), maxExamples)]}
}

func held(promises []Promise) bool {
	return !slices.ContainsFunc(promises, func(p Promise) bool { return p.Broken > 0 })
}

// doubled returns the bookings that ran more than once.
func (r *run) doubled() []string {
	var out []string
	for name, e := range r.cluster.Executions {
		for _, token := range e.Repeated() {
			out = append(out, fmt.Sprintf("%s ran %s %d times", name, token, e.Count(token)))
		}
	}
	slices.Sort(out)
	return out
}

// falseRefusals compares what callers were told of their bookings with what
// the upstreams ran. A booking whose every send was refused as not run must
// not have run, and one that was answered must have.
func (r *run) falseRefusals() []string {
	var out []string
	for _, o := range r.report.Once {
		var body struct {
			Token string `json:"token"`
		}
		if err := json.Unmarshal(o.Body, &body); err != nil {
			continue // bodies are generated with a token
		}
		ran := r.cluster.Executions[o.Service].Count(body.Token)
		switch {
		case ran > 0 && !slices.ContainsFunc(o.Results, mayHaveRun):
			out = append(out, fmt.Sprintf("%s ran, but all %d sends were refused as not run", o.Key, len(o.Results)))
		case ran == 0 && slices.ContainsFunc(o.Results, answered):
			out = append(out, fmt.Sprintf("%s was answered but never ran", o.Key))
		}
	}
	return out
}

func answered(res loadgen.Result) bool { return res.Code == "" }

func mayHaveRun(res loadgen.Result) bool {
	return res.Code == "" || res.Ran != errs.DidNotRun.String()
}

// concurrency returns the replicas that had more work at a time than their
// slots and one. Upstreams accept two runs more than that, so that a breach
// shows.
func (r *run) concurrency() []string {
	return r.perReplica(func(id model.ReplicaID, svc *model.Service) string {
		c := r.cluster.Upstream(id).Counters()
		if c.MaxConcurrency <= svc.Slots+1 && c.Refused["busy"] == 0 {
			return ""
		}
		return fmt.Sprintf("%s ran %d requests at a time with %d slots and refused %d more",
			id, c.MaxConcurrency, svc.Slots, c.Refused["busy"])
	})
}

func (r *run) connections() []string {
	return r.perReplica(func(id model.ReplicaID, svc *model.Service) string {
		c := r.cluster.Upstream(id).Counters()
		if c.RefusedConnections == 0 {
			return ""
		}
		return fmt.Sprintf("%s had %d connections and refused %d beyond its limit of %d",
			id, c.MaxConnections, c.RefusedConnections, svc.Connections)
	})
}

// perReplica applies a check to every replica of the first document.
func (r *run) perReplica(check func(model.ReplicaID, *model.Service) string) []string {
	var out []string
	for _, svc := range r.cluster.Document.Services {
		for _, m := range svc.ShardMaps {
			for _, g := range m.Groups {
				for _, replica := range g.Replicas {
					if fault := check(replica.ID, svc); fault != "" {
						out = append(out, fault)
					}
				}
			}
		}
	}
	slices.Sort(out)
	return out
}

// lostConfigurations returns accepted versions that never were in force on
// every VM, and accepted edits that the final configuration lacks.
func (r *run) lostConfigurations() []string {
	var out []string
	_, missing := r.watcher.inForce()
	for _, v := range missing {
		out = append(out, fmt.Sprintf("version %d was accepted and is not in force on every VM", v))
	}
	if len(r.wanted) == 0 {
		return out
	}
	doc, _, err := config.Fetch(r.ctx, r.cluster.Store())
	if err != nil {
		return append(out, fmt.Sprintf("the final configuration cannot be read: %v", err))
	}
	out = append(out, r.compareDrained("the platform", doc)...)
	for _, vm := range r.cluster.Running() {
		out = append(out, r.compareDrained(string(vm.ID), vm.Node.View().Config)...)
	}
	return out
}

func (r *run) compareDrained(where string, doc *model.Document) []string {
	var out []string
	for id, drained := range r.wanted {
		if slices.Contains(doc.Overrides.Drained, id) != drained {
			out = append(out, fmt.Sprintf("%s has version %d without the accepted edit of %s", where, doc.Version, id))
		}
	}
	return out
}
