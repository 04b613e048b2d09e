package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// objectPath returns the URL path of an object. The key is escaped to a single
// path segment, so that no key can address another path of the API.
func objectPath(key string) string { return "/objects/" + url.PathEscape(key) }

// header returns the HTTP headers that express the condition.
func (c Condition) header() http.Header {
	h := http.Header{}
	if c.Match != "" {
		h.Set("If-Match", strconv.Quote(c.Match))
	}
	if c.Absent {
		h.Set("If-None-Match", "*")
	}
	return h
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	if key == "" {
		return Object{}, errs.Refuse(errs.InvalidRequest, "empty key")
	}
	answer, err := c.do(ctx, call{kind: KindGet, method: http.MethodGet, path: objectPath(key), maxReplyBytes: MaxValueBytes})
	if err != nil {
		return Object{}, err
	}
	if answer.version == "" {
		return Object{}, errs.Refuse(errs.PlatformDown, "get %s: reply without version", key)
	}
	return Object{Key: key, Value: answer.body, Version: answer.version}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, cond Condition) (string, error) {
	if key == "" {
		return "", errs.Refuse(errs.InvalidRequest, "empty key")
	}
	if len(value) > MaxValueBytes {
		return "", errs.Refuse(errs.TooLarge, "put %s: %d bytes exceed %d", key, len(value), MaxValueBytes)
	}
	answer, err := c.do(ctx, call{
		kind: KindPut, method: http.MethodPut, path: objectPath(key),
		header: cond.header(), body: value, maxReplyBytes: maxSmallReplyBytes,
	})
	if err != nil {
		return "", err
	}
	if answer.version == "" {
		return "", errs.Ambiguous(errs.PlatformDown, "put %s: reply without version", key)
	}
	return answer.version, nil
}

// Delete implements Store. Deleting an object that does not exist fails with
// PlatformNotFound, or with PlatformConflict when cond requires a version.
func (c *Client) Delete(ctx context.Context, key string, cond Condition) error {
	if key == "" {
		return errs.Refuse(errs.InvalidRequest, "empty key")
	}
	_, err := c.do(ctx, call{
		kind: KindDelete, method: http.MethodDelete, path: objectPath(key),
		header: cond.header(), maxReplyBytes: maxSmallReplyBytes,
	})
	return err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	answer, err := c.do(ctx, call{
		kind: KindList, method: http.MethodGet, maxReplyBytes: maxListReplyBytes,
		path: "/objects?prefix=" + url.QueryEscape(prefix),
	})
	if err != nil {
		return nil, err
	}
	var listed []struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version string `json:"version"`
	}
	if err := decode(answer.body, &listed); err != nil {
		return nil, err
	}
	objects := make([]Object, 0, len(listed))
	for _, o := range listed {
		objects = append(objects, Object{Key: o.Key, Value: o.Value, Version: o.Version})
	}
	return objects, nil
}

// Watch implements Store. With after 0 it returns at once, with an event for the
// current version of every object under prefix. After PlatformWatchGap the
// caller must start again with 0.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) (WatchResult, error) {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(max(0, timeout.Milliseconds()), 10)},
	}
	answer, err := c.do(ctx, call{
		kind: KindWatch, method: http.MethodGet, path: "/watch?" + query.Encode(),
		maxReplyBytes: maxSmallReplyBytes, extraTimeout: max(0, timeout),
	})
	if err != nil {
		return WatchResult{}, err
	}
	var body struct {
		Revision uint64 `json:"revision"`
		Events   []struct {
			Key     string `json:"key"`
			Version string `json:"version"`
			Deleted bool   `json:"deleted"`
		} `json:"events"`
	}
	if err := decode(answer.body, &body); err != nil {
		return WatchResult{}, err
	}
	result := WatchResult{Revision: body.Revision}
	for _, e := range body.Events {
		result.Events = append(result.Events, Event{Key: e.Key, Version: e.Version, Deleted: e.Deleted})
	}
	return result, nil
}

// VMs implements Store. VMs in an unknown state are omitted.
func (c *Client) VMs(ctx context.Context) ([]model.VM, error) {
	answer, err := c.do(ctx, call{kind: KindVMs, method: http.MethodGet, path: "/vms", maxReplyBytes: maxSmallReplyBytes})
	if err != nil {
		return nil, err
	}
	var listed []struct {
		ID     model.VMID     `json:"id"`
		Addr   string         `json:"addr"`
		Domain model.DomainID `json:"domain"`
		Region model.RegionID `json:"region"`
		State  string         `json:"state"`
	}
	if err := decode(answer.body, &listed); err != nil {
		return nil, err
	}
	states := map[string]model.VMState{"live": model.Alive, "leaving": model.Leaving}
	vms := make([]model.VM, 0, len(listed))
	for _, vm := range listed {
		if state, known := states[vm.State]; known {
			vms = append(vms, model.VM{ID: vm.ID, Addr: vm.Addr, Domain: vm.Domain, Region: vm.Region, State: state})
		}
	}
	return vms, nil
}

// decode parses the JSON body of a reply into target.
func decode(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return errs.Refuse(errs.PlatformDown, "malformed reply: %v", err)
	}
	return nil
}
