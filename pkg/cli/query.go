package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// defaultDeadline is how long a command waits for a request whose deadline
// the service chooses.
const defaultDeadline = 60 * time.Second

func (a *app) callerFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "vm", Usage: "callers' URL of one VM", Sources: cli.EnvVars("NUTMEGHITCH_VM")},
		&cli.StringFlag{Name: "caller", Usage: "caller identity"},
		&cli.DurationFlag{Name: "deadline", Usage: "deadline of the request; the service's own if not set"},
		a.jsonFlag(),
	}
}

func (a *app) queryCommand() *cli.Command {
	return &cli.Command{
		Name:        "query",
		Usage:       "search a service",
		ArgsUsage:   "SERVICE QUERY",
		Description: "QUERY is JSON, or - to read it from the standard input.\nExample:\n  nutmeghitch query assistance-search '{\"equals\": {\"gate\": \"B4\"}}' --vm http://127.0.0.1:8080 --limit 5",
		Flags: append(a.callerFlags(),
			&cli.StringFlag{Name: "operation", Usage: "search operation, such as quick-check"},
			&cli.IntFlag{Name: "limit", Usage: "greatest number of results"}),
		Action: a.query,
	}
}

type searchBody struct {
	Query     json.RawMessage `json:"query"`
	Operation string          `json:"operation,omitempty"`
	Limit     int             `json:"limit,omitempty"`
}

type searchAnswer struct {
	Snapshot struct {
		Version uint64 `json:"version"`
	} `json:"snapshot"`
	Coverage struct {
		Covered int `json:"covered"`
		Total   int `json:"total"`
		Missing []struct {
			Shard  string `json:"shard"`
			Group  string `json:"group"`
			Reason string `json:"reason"`
		} `json:"missing"`
	} `json:"coverage"`
	Results []json.RawMessage `json:"results"`
}

func (a *app) query(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "SERVICE", "QUERY")
	if err != nil {
		return err
	}
	query, err := a.payload(args[1])
	if err != nil {
		return err
	}
	body, err := json.Marshal(searchBody{Query: query, Operation: c.String("operation"), Limit: c.Int("limit")})
	if err != nil {
		return &UsageError{Problem: err.Error()}
	}
	raw, err := a.caller(ctx, c, body, nil, "v1", "search", args[0])
	if err != nil {
		return err
	}
	if a.json {
		a.print(json.RawMessage(raw))
		return nil
	}
	var answer searchAnswer
	if err := json.Unmarshal(raw, &answer); err != nil {
		return errs.Ambiguous(errs.ProtocolMismatch, "answer is not as expected: %v", err)
	}
	for _, row := range answer.Results {
		fmt.Fprintf(a.Stdout, "%s\n", row)
	}
	fmt.Fprintf(a.Stdout, "%d result(s) from %d of %d shards, index version %d\n", len(answer.Results), answer.Coverage.Covered, answer.Coverage.Total, answer.Snapshot.Version)
	for _, m := range answer.Coverage.Missing {
		fmt.Fprintf(a.Stdout, "missing shard %s of group %s: %s\n", m.Shard, m.Group, m.Reason)
	}
	return nil
}

func (a *app) callCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "call an operation of a lookup service",
		ArgsUsage: "SERVICE OPERATION BODY",
		Description: "BODY is a JSON object, or - to read it from the standard input. An operation that may run only once\n" +
			"needs --key; repeat a call whose outcome is unknown with the same key.\n" +
			"Example:\n  nutmeghitch call itinerary-lookup book '{\"id\": \"MS-000007\"}' --key 7-2026-12-04 --vm http://127.0.0.1:8080",
		Flags:  append(a.callerFlags(), &cli.StringFlag{Name: "key", Usage: "idempotency key"}),
		Action: a.call,
	}
}

func (a *app) call(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "SERVICE", "OPERATION", "BODY")
	if err != nil {
		return err
	}
	body, err := a.payload(args[2])
	if err != nil {
		return err
	}
	raw, err := a.caller(ctx, c, body, map[string]string{"Idempotency-Key": c.String("key")}, "v1", "call", args[0], args[1])
	if err != nil {
		return err
	}
	if a.json {
		a.print(json.RawMessage(raw))
		return nil
	}
	var answer struct {
		Result json.RawMessage `json:"result"`
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return errs.Ambiguous(errs.ProtocolMismatch, "answer is not as expected: %v", err)
	}
	fmt.Fprintf(a.Stdout, "%s\n", answer.Result)
	return nil
}

// payload returns the JSON of an argument or of the standard input.
func (a *app) payload(argument string) (json.RawMessage, error) {
	data := []byte(argument)
	if argument == "-" {
		var err error
		if data, err = io.ReadAll(a.Stdin); err != nil {
			return nil, &UsageError{Problem: "read the standard input: " + err.Error()}
		}
	}
	if !json.Valid(data) {
		return nil, &UsageError{Problem: "not JSON: " + string(data)}
	}
	return data, nil
}

// caller sends a request to the callers' interface of a VM.
func (a *app) caller(ctx context.Context, c *cli.Command, body []byte, header map[string]string, path ...string) ([]byte, error) {
	if c.String("vm") == "" {
		return nil, &UsageError{Problem: "missing --vm; the environment variable NUTMEGHITCH_VM can hold it"}
	}
	all := map[string]string{"Content-Type": "application/json", "Nutmeghitch-Caller": c.String("caller")}
	for name, value := range header {
		all[name] = value
	}
	timeout := defaultDeadline
	if c.IsSet("deadline") {
		timeout = c.Duration("deadline")
		if timeout < time.Millisecond {
			return nil, &UsageError{Problem: "--deadline must be at least 1ms"}
		}
		all["Nutmeghitch-Deadline-Ms"] = strconv.FormatInt(timeout.Milliseconds(), 10)
	}
	return a.send(ctx, exchange{method: http.MethodPost, base: c.String("vm"), path: path, header: all, body: body, timeout: timeout})
}
