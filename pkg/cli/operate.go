package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// operatorTimeout bounds the commands that ask a VM for its state.
const operatorTimeout = 5 * time.Second

func operatorsFlag() cli.Flag {
	return &cli.StringFlag{Name: "operators", Usage: "operators' URL of one VM; its token is read from " + OperatorTokenEnv,
		Sources: cli.EnvVars("NUTMEGHITCH_OPERATORS")}
}

// admin sends a request to the operators' interface of a VM and decodes the answer.
func (a *app) admin(ctx context.Context, c *cli.Command, method string, into any, path ...string) error {
	if c.String("operators") == "" {
		return &UsageError{Problem: "missing --operators; the environment variable NUTMEGHITCH_OPERATORS can hold it"}
	}
	header := map[string]string{}
	if token := os.Getenv(OperatorTokenEnv); token != "" {
		header["Authorization"] = "Bearer " + token
	}
	body, err := a.send(ctx, exchange{method: method, base: c.String("operators"), path: path, header: header, timeout: operatorTimeout})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errs.Ambiguous(errs.ProtocolMismatch, "answer is not as expected: %v", err)
	}
	return nil
}

// vmStatus is the part of /admin/status that the text form shows.
type vmStatus struct {
	Self          string   `json:"self"`
	Site          string   `json:"site"`
	ConfigVersion uint64   `json:"config_version"`
	InFlight      int      `json:"in_flight"`
	DomainsOut    []string `json:"domains_out"`
	VMs           []struct {
		ID     string `json:"id"`
		Addr   string `json:"addr"`
		Domain string `json:"domain"`
		State  string `json:"state"`
	} `json:"vms"`
	Owners   map[string]string `json:"owners"`
	Excluded map[string]string `json:"excluded"`
	Suspects int               `json:"suspect_fingerprints"`
	Blocked  int               `json:"blocked_fingerprints"`
}

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the state of the tier as one VM sees it",
		Description: "Example:\n  nutmeghitch status --operators http://127.0.0.1:8083",
		Flags:       []cli.Flag{operatorsFlag(), a.jsonFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := arguments(c); err != nil {
				return err
			}
			var raw json.RawMessage
			if err := a.admin(ctx, c, http.MethodGet, &raw, "admin", "status"); err != nil {
				return err
			}
			if a.json {
				a.print(raw)
				return nil
			}
			var s vmStatus
			if err := json.Unmarshal(raw, &s); err != nil {
				return errs.Ambiguous(errs.ProtocolMismatch, "answer is not as expected: %v", err)
			}
			a.statusText(s)
			return nil
		},
	}
}

func (a *app) statusText(s vmStatus) {
	fmt.Fprintf(a.Stdout, "%s: site %s, configuration %d, %d requests in flight\n", s.Self, s.Site, s.ConfigVersion, s.InFlight)
	owned := map[string]int{}
	for _, vm := range s.Owners {
		owned[vm]++
	}
	for _, vm := range s.VMs {
		fmt.Fprintf(a.Stdout, "VM %s at %s in %s: %s, owns %d replicas\n", vm.ID, vm.Addr, vm.Domain, vm.State, owned[vm.ID])
	}
	for _, id := range s.DomainsOut {
		fmt.Fprintf(a.Stdout, "failure domain %s is out of service\n", id)
	}
	fmt.Fprintf(a.Stdout, "%d replicas excluded, %d fingerprints suspect, %d blocked\n", len(s.Excluded), s.Suspects, s.Blocked)
}

type poisonEntry struct {
	Fingerprint string `json:"fingerprint"`
	Losses      int    `json:"losses"`
	Blocked     bool   `json:"blocked"`
	TTLMS       int64  `json:"ttl_ms"`
}

func (a *app) poisonCommand() *cli.Command {
	return &cli.Command{
		Name:  "poison",
		Usage: "list and lift the blocks of requests that crash upstreams",
		Commands: []*cli.Command{
			{
				Name:        "list",
				Usage:       "list suspect and blocked fingerprints",
				Description: "Example:\n  nutmeghitch poison list --operators http://127.0.0.1:8083",
				Flags:       []cli.Flag{operatorsFlag(), a.jsonFlag()},
				Action:      a.poisonList,
			},
			{
				Name:        "lift",
				Usage:       "lift the block of a fingerprint in the whole tier",
				ArgsUsage:   "FINGERPRINT",
				Description: "Example:\n  nutmeghitch poison lift 00000000075bcd15 --operators http://127.0.0.1:8083",
				Flags:       []cli.Flag{operatorsFlag(), a.jsonFlag()},
				Action:      a.poisonLift,
			},
		},
	}
}

func (a *app) poisonList(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	list := []poisonEntry{}
	if err := a.admin(ctx, c, http.MethodGet, &list, "admin", "poison"); err != nil {
		return err
	}
	if a.json {
		a.print(list)
		return nil
	}
	for _, e := range list {
		state := "suspect"
		if e.Blocked {
			state = "blocked"
		}
		left := time.Duration(e.TTLMS) * time.Millisecond
		fmt.Fprintf(a.Stdout, "%s %s after %d lost upstream(s), ends in %s\n", e.Fingerprint, state, e.Losses, left)
	}
	fmt.Fprintf(a.Stdout, "%d fingerprint(s)\n", len(list))
	return nil
}

func (a *app) poisonLift(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "FINGERPRINT")
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(args[0], 16, 64); err != nil {
		return &UsageError{Problem: fmt.Sprintf("a fingerprint is up to 16 hexadecimal digits, got %q", args[0])}
	}
	var out map[string]bool
	if err := a.admin(ctx, c, http.MethodDelete, &out, "admin", "poison", args[0]); err != nil {
		return err
	}
	a.result(out, "lifted %s", args[0])
	return nil
}
