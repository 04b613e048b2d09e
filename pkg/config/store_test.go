package config

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// memStore is a platform in memory that can lose replies to writes of the
// manifest.
type memStore struct {
	objects     map[string]platform.Object
	lastVersion int
	// beforeManifestPut runs once, before the next write of the manifest.
	beforeManifestPut func()
	// lostAfterWrite and lostBeforeWrite are the numbers of next manifest
	// writes that report a lost reply: lostAfterWrite of those that take
	// effect, lostBeforeWrite of those that do not.
	lostAfterWrite, lostBeforeWrite int
	// deliverLate makes the writes of lostBeforeWrite take effect before the
	// next write of the manifest, if their condition still holds.
	deliverLate bool
	lateWrites  []func()
}

// deliverLateWrites makes the writes take effect that deliverLate has held back.
func (m *memStore) deliverLateWrites() {
	for _, f := range m.lateWrites {
		f()
	}
	m.lateWrites = nil
}

func newMemStore() *memStore { return &memStore{objects: map[string]platform.Object{}} }

func (m *memStore) Get(_ context.Context, key string) (platform.Object, error) {
	o, ok := m.objects[key]
	if !ok {
		return o, errs.Refuse(errs.PlatformNotFound, "%s", key)
	}
	return o, nil
}

// check returns the conflict of a condition that does not hold.
func (m *memStore) check(key string, c platform.Condition) error {
	o, ok := m.objects[key]
	if (c.Absent && ok) || (c.Match != "" && c.Match != o.Version) {
		return errs.Refuse(errs.PlatformConflict, "%s", key)
	}
	return nil
}

func (m *memStore) Put(_ context.Context, key string, value []byte, c platform.Condition) (string, error) {
	errReplyLost := errs.Ambiguous(errs.PlatformDown, "reply lost")
	if key == ManifestKey {
		if f := m.beforeManifestPut; f != nil {
			m.beforeManifestPut = nil
			f()
		}
		m.deliverLateWrites()
		if m.lostBeforeWrite > 0 {
			m.lostBeforeWrite--
			if m.deliverLate {
				m.lateWrites = append(m.lateWrites, func() { _, _ = m.write(key, value, c) })
			}
			return "", errReplyLost
		}
	}
	version, err := m.write(key, value, c)
	if err == nil && key == ManifestKey && m.lostAfterWrite > 0 {
		m.lostAfterWrite--
		return "", errReplyLost
	}
	return version, err
}

func (m *memStore) write(key string, value []byte, c platform.Condition) (string, error) {
	if err := m.check(key, c); err != nil {
		return "", err
	}
	m.lastVersion++
	o := platform.Object{Key: key, Value: value, Version: fmt.Sprint(m.lastVersion)}
	m.objects[key] = o
	return o.Version, nil
}

func (m *memStore) Delete(_ context.Context, key string, c platform.Condition) error {
	if err := m.check(key, c); err != nil {
		return err
	}
	delete(m.objects, key)
	return nil
}

func (m *memStore) List(_ context.Context, prefix string) ([]platform.Object, error) {
	var all []platform.Object
	for k, o := range m.objects {
		if strings.HasPrefix(k, prefix) {
			all = append(all, o)
		}
	}
	return all, nil
}

func (m *memStore) Watch(context.Context, string, uint64, time.Duration) (platform.WatchResult, error) {
	return platform.WatchResult{}, nil
}

func (m *memStore) VMs(context.Context) ([]model.VM, error) { return nil, nil }
