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

// memStore is the oracle of the platform: a map with versions and faults.
type memStore struct {
	objects map[string]platform.Object
	next    int
	// before runs ahead of each write of the manifest, once.
	before func()
	// loseAfter and loseBefore count manifest writes that report a lost reply
	// with and without their effect.
	loseAfter, loseBefore int
	// delay lets writes that were lost without effect take effect when the
	// next write of the manifest arrives, if their condition still holds.
	delay   bool
	delayed []func()
}

// land delivers the delayed writes.
func (m *memStore) land() {
	for _, f := range m.delayed {
		f()
	}
	m.delayed = nil
}

func newMemStore() *memStore { return &memStore{objects: map[string]platform.Object{}} }

func (m *memStore) Get(_ context.Context, key string) (platform.Object, error) {
	o, ok := m.objects[key]
	if !ok {
		return o, errs.Refuse(errs.PlatformNotFound, "%s", key)
	}
	return o, nil
}

func (m *memStore) check(key string, c platform.Condition) error {
	o, ok := m.objects[key]
	if (c.Absent && ok) || (c.Match != "" && c.Match != o.Version) {
		return errs.Refuse(errs.PlatformConflict, "%s", key)
	}
	return nil
}

func (m *memStore) Put(_ context.Context, key string, value []byte, c platform.Condition) (string, error) {
	lost := errs.Ambiguous(errs.PlatformDown, "reply lost")
	if key == ManifestKey {
		if f := m.before; f != nil {
			m.before = nil
			f()
		}
		m.land()
		if m.loseBefore > 0 {
			m.loseBefore--
			if m.delay {
				m.delayed = append(m.delayed, func() { _, _ = m.write(key, value, c) })
			}
			return "", lost
		}
	}
	version, err := m.write(key, value, c)
	if err == nil && key == ManifestKey && m.loseAfter > 0 {
		m.loseAfter--
		return "", lost
	}
	return version, err
}

func (m *memStore) write(key string, value []byte, c platform.Condition) (string, error) {
	if err := m.check(key, c); err != nil {
		return "", err
	}
	m.next++
	o := platform.Object{Key: key, Value: value, Version: fmt.Sprint(m.next)}
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

func (m *memStore) Watch(context.Context, string, uint64, time.Duration) (platform.Watched, error) {
	return platform.Watched{}, nil
}

func (m *memStore) VMs(context.Context) ([]model.VM, error) { return nil, nil }
