package config

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// Prefix is the key prefix to watch for changes of the configuration.
const Prefix = "config/"

// ManifestKey is the platform key of the manifest.
const ManifestKey = Prefix + "manifest"

const (
	sectionPrefix = Prefix + "section/"
	// recentTokens bounds Manifest.Recent. It covers the publications that
	// can overtake one publisher while it resolves a lost reply.
	recentTokens = 16
	// publishAttempts and retryPause bound the resolution of lost replies
	// to about six seconds when the platform stays down.
	publishAttempts = 7
	// fetchAttempts bounds re-reads when a publication replaces the manifest
	// while its sections are being read.
	fetchAttempts = 5
	// editAttempts bounds the retries of EditOverrides. Operators' edits
	// conflict rarely; ten losses in a row mean that a script is looping.
	editAttempts = 10
)

// retryPause is the wait before the first repetition; it doubles each time. It
// is a variable so that tests with injected faults do not wait.
var retryPause = 50 * time.Millisecond

// SectionKey returns the platform key of a section.
func SectionKey(name, hash string) string { return sectionPrefix + name + "@" + hash }

// stored is a manifest together with the platform's version of its object.
type stored struct {
	manifest Manifest
	object   string
}

// FetchManifest returns the manifest in the platform, or PlatformNotFound
// when no configuration was ever published.
func FetchManifest(ctx context.Context, s platform.Store) (Manifest, error) {
	cur, err := readManifest(ctx, s)
	return cur.manifest, err
}

func readManifest(ctx context.Context, s platform.Store) (stored, error) {
	obj, err := s.Get(ctx, ManifestKey)
	if errs.Is(err, errs.PlatformNotFound) {
		return stored{}, errs.Refuse(errs.PlatformNotFound, "no configuration was published")
	}
	if err != nil {
		return stored{}, err
	}
	var m Manifest
	if err := json.Unmarshal(obj.Value, &m); err != nil {
		return stored{}, &SectionError{Name: "manifest", Hash: obj.Version, Reason: SectionMalformed}
	}
	return stored{manifest: m, object: obj.Version}, nil
}

// readSince returns the manifest in force, which is empty when there is none.
// It reads again while the platform shows an older one than the caller has
// already seen.
func readSince(ctx context.Context, s platform.Store, seen uint64) (stored, error) {
	for attempt := range publishAttempts {
		cur, err := readManifest(ctx, s)
		if err != nil && !errs.Is(err, errs.PlatformNotFound) {
			return stored{}, err
		}
		if cur.manifest.Version >= seen {
			return cur, nil
		}
		if err := pause(ctx, attempt); err != nil {
			return stored{}, err
		}
	}
	return stored{}, errs.Refuse(errs.PlatformDown, "the platform does not show configuration %d", seen)
}

// FetchSections reads the sections that m names and have does not know from
// the platform. It returns all bodies by hash.
func FetchSections(ctx context.Context, s platform.Store, m Manifest, have func(hash string) ([]byte, bool)) (map[string][]byte, error) {
	bodies := make(map[string][]byte, len(m.Sections))
	for name, hash := range m.Sections {
		if body, ok := have(hash); ok {
			bodies[hash] = body
			continue
		}
		obj, err := s.Get(ctx, SectionKey(name, hash))
		if err != nil {
			return nil, err
		}
		bodies[hash] = obj.Value
	}
	return bodies, nil
}

// Fetch returns the published document and its manifest. It fails with
// PlatformNotFound when no configuration was ever published.
func Fetch(ctx context.Context, s platform.Store) (*model.Document, Manifest, error) {
	var last error
	known := map[string][]byte{}
	for range fetchAttempts {
		m, err := FetchManifest(ctx, s)
		if err != nil {
			return nil, Manifest{}, err
		}
		bodies, err := FetchSections(ctx, s, m, lookup(known))
		if errs.Is(err, errs.PlatformNotFound) {
			// A later publication has removed a section that m names.
			last = errs.Refuse(errs.PlatformDown, "a section of configuration %d is missing", m.Version)
			continue
		}
		if err != nil {
			return nil, Manifest{}, err
		}
		d, err := Join(m, lookup(bodies))
		return d, m, err
	}
	return nil, Manifest{}, last
}

func lookup(bodies map[string][]byte) func(string) ([]byte, bool) {
	return func(hash string) ([]byte, bool) {
		b, ok := bodies[hash]
		return b, ok
	}
}

// Publish writes d as the successor of readVersion, which is 0 when no
// configuration exists, and returns the new version. It fails with
// PlatformConflict when another operator has published since readVersion was
// read. Lost replies are resolved by reading the manifest back; a refusal
// with run state MayHaveRun means that the platform stayed unreachable.
func Publish(ctx context.Context, s platform.Store, d *model.Document, readVersion uint64) (uint64, error) {
	cur, err := readSince(ctx, s, readVersion)
	if err != nil {
		return 0, err
	}
	if cur.manifest.Version != readVersion {
		return 0, conflict(readVersion, cur.manifest.Version)
	}
	next, bodies := Split(d)
	next.Version = readVersion + 1
	if err := writeSections(ctx, s, cur.manifest, next, bodies); err != nil {
		return 0, err
	}
	dropped, err := droppedSections(ctx, s, cur.manifest, next)
	if err != nil {
		return 0, err
	}
	token := uuid.NewString()
	next.Recent = recent(cur.manifest.Recent, token)
	if err := writeManifest(ctx, s, cur, next, token); err != nil {
		return 0, err
	}
	deleteSections(ctx, s, dropped)
	return next.Version, nil
}

func conflict(read, now uint64) error {
	return errs.Refuse(errs.PlatformConflict,
		"configuration %d was replaced by %d after it was read", read, now)
}

func recent(old []string, token string) []string {
	all := append(slices.Clone(old), token)
	return all[max(0, len(all)-recentTokens):]
}

// writeSections writes the sections that cur does not name. The writes are
// unconditional, although the content is fixed by the key: a fresh object
// version makes deleteSections of an earlier publisher leave the section.
func writeSections(ctx context.Context, s platform.Store, cur, next Manifest, bodies map[string][]byte) error {
	for name, hash := range next.Sections {
		if cur.Sections[name] == hash {
			continue
		}
		if err := writeSection(ctx, s, SectionKey(name, hash), bodies[hash]); err != nil {
			return err
		}
	}
	return nil
}

// writeSection repeats a write whose reply was lost, which is safe because
// the content of the key never differs.
func writeSection(ctx context.Context, s platform.Store, key string, body []byte) error {
	var err error
	for attempt := range publishAttempts {
		_, err = s.Put(ctx, key, body, platform.Condition{})
		if !ambiguous(err) {
			return err
		}
		if perr := pause(ctx, attempt); perr != nil {
			return perr
		}
	}
	// No manifest names the section yet, so nothing has taken effect.
	return errs.Refuse(errs.PlatformDown, "section %s not confirmed: %v", key, err)
}

// writeManifest makes next the manifest in force. The condition on cur's
// object version lets at most one successor of cur succeed, so a repeated
// write cannot take effect twice.
func writeManifest(ctx context.Context, s platform.Store, cur stored, next Manifest, token string) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errs.Refuse(errs.Internal, "encode manifest: %v", err)
	}
	cond := platform.Condition{Match: cur.object, Absent: cur.object == ""}
	written := false
	for attempt := range publishAttempts {
		_, err = s.Put(ctx, ManifestKey, value, cond)
		if err == nil {
			return nil
		}
		written = written || ambiguous(err)
		if !written {
			return lostRace(ctx, s, cur, err)
		}
		done, rerr := resolve(ctx, s, cur, token)
		if done {
			return rerr
		}
		if perr := pause(ctx, attempt); perr != nil {
			err = perr
			break
		}
	}
	return errs.Ambiguous(errs.PlatformDown, "publication of configuration %d not confirmed: %v", next.Version, err)
}

// lostRace names the version that won, if the refusal is a conflict.
func lostRace(ctx context.Context, s platform.Store, cur stored, err error) error {
	if !errs.Is(err, errs.PlatformConflict) {
		return err
	}
	now, rerr := readManifest(ctx, s)
	if rerr != nil || now.manifest.Version <= cur.manifest.Version {
		return errs.Refuse(errs.PlatformConflict, "configuration %d was replaced after it was read", cur.manifest.Version)
	}
	return conflict(cur.manifest.Version, now.manifest.Version)
}

// resolve reads the manifest back after a lost reply. It
// reports whether the outcome is known.
func resolve(ctx context.Context, s platform.Store, cur stored, token string) (bool, error) {
	now, err := readManifest(ctx, s)
	if err != nil {
		return false, nil
	}
	if slices.Contains(now.manifest.Recent, token) {
		return true, nil
	}
	if now.object == cur.object || now.manifest.Version <= cur.manifest.Version {
		// The write did not arrive yet, or this read was stale.
		return false, nil
	}
	if now.manifest.Version > cur.manifest.Version+recentTokens {
		return false, nil
	}
	return true, conflict(cur.manifest.Version, now.manifest.Version)
}

func ambiguous(err error) bool {
	return err != nil && errs.As(err).RunState == errs.MayHaveRun
}

// pause waits before the next attempt, twice as long each time.
func pause(ctx context.Context, attempt int) error {
	t := time.NewTimer(retryPause << attempt)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errs.Refuse(errs.Canceled, "%v", ctx.Err())
	}
}

// droppedSections returns the objects of sections that cur names and next
// does not, with the versions that they have before the manifest changes.
func droppedSections(ctx context.Context, s platform.Store, cur, next Manifest) ([]platform.Object, error) {
	var dropped []platform.Object
	for name, hash := range cur.Sections {
		if next.Sections[name] == hash {
			continue
		}
		obj, err := s.Get(ctx, SectionKey(name, hash))
		if errs.Is(err, errs.PlatformNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		dropped = append(dropped, obj)
	}
	return dropped, nil
}

// deleteSections removes sections that no manifest names any more. A
// publisher that brings a section back writes it again first, which changes
// its version, so the conditional delete then fails and the section stays.
// This relies on the platform never giving one key the same version twice.
// A failed delete only leaves an unused object behind.
func deleteSections(ctx context.Context, s platform.Store, dropped []platform.Object) {
	for _, obj := range dropped {
		_ = s.Delete(ctx, obj.Key, platform.Condition{Match: obj.Version})
	}
}

// checkOverrides refuses overrides that name something d does not have. What
// was already in force before is left alone, so that it can be removed.
func checkOverrides(d, before *model.Document) error {
	replicas := map[model.ReplicaID]bool{}
	for _, svc := range d.Services {
		for _, m := range svc.ShardMaps {
			for _, g := range m.Groups {
				for _, r := range g.Replicas {
					replicas[r.ID] = true
				}
			}
		}
	}
	for _, id := range d.Overrides.DomainsOut {
		if _, ok := d.Domains[id]; !ok && !slices.Contains(before.Overrides.DomainsOut, id) {
			return errs.Refuse(errs.InvalidRequest, "unknown failure domain %s%s", id, suggestion(string(id), sortedKeys(d.Domains)))
		}
	}
	for _, id := range d.Overrides.Drained {
		if !replicas[id] && !slices.Contains(before.Overrides.Drained, id) {
			return errs.Refuse(errs.InvalidRequest, "unknown upstream %s%s", id, suggestion(string(id), sortedKeys(replicas)))
		}
	}
	return nil
}

// EditOverrides changes the operators' overrides in the newest document. It
// repeats the edit on the document that won when it loses a race, so edit may
// run more than once. It returns the new version, or the current one when
// edit changed nothing. A name that the document does not have is refused with
// InvalidRequest.
func EditOverrides(ctx context.Context, s platform.Store, edit func(*model.Overrides) error) (uint64, error) {
	var last error
	for attempt := range editAttempts {
		d, m, err := Fetch(ctx, s)
		if err != nil {
			return 0, err
		}
		next := *d
		next.Overrides = model.Overrides{
			DomainsOut: slices.Clone(d.Overrides.DomainsOut),
			Drained:    slices.Clone(d.Overrides.Drained),
		}
		if err := edit(&next.Overrides); err != nil {
			return 0, err
		}
		if err := checkOverrides(&next, d); err != nil {
			return 0, err
		}
		if slices.Equal(next.Overrides.DomainsOut, d.Overrides.DomainsOut) && slices.Equal(next.Overrides.Drained, d.Overrides.Drained) {
			return m.Version, nil
		}
		version, err := Publish(ctx, s, &next, m.Version)
		if !errs.Is(err, errs.PlatformConflict) {
			return version, err
		}
		last = err
		if perr := pause(ctx, min(attempt, 3)); perr != nil {
			return 0, perr
		}
	}
	return 0, errors.Wrapf(last, "edit of the overrides lost %d races", editAttempts)
}
