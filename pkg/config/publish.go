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

// Prefix is the prefix of all platform keys of the configuration. A watch on it
// reports changes of the configuration.
const Prefix = "config/"

// ManifestKey is the platform key of the manifest.
const ManifestKey = Prefix + "manifest"

const (
	sectionPrefix = Prefix + "section/"
	// maxRecentTokens is the largest length of Manifest.RecentTokens. It must
	// cover the publications that others can make while one publisher finds
	// out whether its own write, whose reply was lost, took effect.
	maxRecentTokens = 16
	// publishAttempts and initialBackoff limit the retries after lost replies
	// to about six seconds when the platform stays down.
	publishAttempts = 7
	// fetchAttempts limits how often Fetch starts again because a publication
	// replaced the manifest while its sections were being read.
	fetchAttempts = 5
	// editAttempts limits the retries of EditOverrides. Operators' edits
	// conflict rarely; ten conflicts in a row mean that a script repeats them
	// in a loop.
	editAttempts = 10
)

// initialBackoff is the wait before the first retry; it doubles with each
// retry. It is a variable so that tests with injected faults do not wait.
var initialBackoff = 50 * time.Millisecond

// SectionKey returns the platform key of a section.
func SectionKey(name, hash string) string { return sectionPrefix + name + "@" + hash }

// storedManifest is a manifest and the version of the platform object that
// holds it.
type storedManifest struct {
	manifest      Manifest
	objectVersion string
}

// FetchManifest returns the manifest that the platform stores. It fails with
// PlatformNotFound when no configuration was ever published.
func FetchManifest(ctx context.Context, s platform.Store) (Manifest, error) {
	cur, err := readManifest(ctx, s)
	return cur.manifest, err
}

func readManifest(ctx context.Context, s platform.Store) (storedManifest, error) {
	obj, err := s.Get(ctx, ManifestKey)
	if errs.Is(err, errs.PlatformNotFound) {
		return storedManifest{}, errs.Refuse(errs.PlatformNotFound, "no configuration was published")
	}
	if err != nil {
		return storedManifest{}, err
	}
	var m Manifest
	if err := json.Unmarshal(obj.Value, &m); err != nil {
		return storedManifest{}, &SectionError{Name: "manifest", Hash: obj.Version, Reason: SectionMalformed}
	}
	return storedManifest{manifest: m, objectVersion: obj.Version}, nil
}

// readManifestSince returns the manifest in force, which is empty when there is
// none. It reads again while the platform returns a version below minVersion,
// which the caller has already seen.
func readManifestSince(ctx context.Context, s platform.Store, minVersion uint64) (storedManifest, error) {
	for attempt := range publishAttempts {
		cur, err := readManifest(ctx, s)
		if err != nil && !errs.Is(err, errs.PlatformNotFound) {
			return storedManifest{}, err
		}
		if cur.manifest.Version >= minVersion {
			return cur, nil
		}
		if err := backoff(ctx, attempt); err != nil {
			return storedManifest{}, err
		}
	}
	return storedManifest{}, errs.Refuse(errs.PlatformDown, "the platform does not show configuration %d", minVersion)
}

// FetchSections returns the bodies of all sections that m names, by hash. It
// reads those that cached does not return from the platform.
func FetchSections(ctx context.Context, s platform.Store, m Manifest, cached func(hash string) ([]byte, bool)) (map[string][]byte, error) {
	bodies := make(map[string][]byte, len(m.Sections))
	for name, hash := range m.Sections {
		if body, ok := cached(hash); ok {
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
		bodies, err := FetchSections(ctx, s, m, bodyByHash(known))
		if errs.Is(err, errs.PlatformNotFound) {
			// A later publication has removed a section that m names.
			last = errs.Refuse(errs.PlatformDown, "a section of configuration %d is missing", m.Version)
			continue
		}
		if err != nil {
			return nil, Manifest{}, err
		}
		d, err := Join(m, bodyByHash(bodies))
		return d, m, err
	}
	return nil, Manifest{}, last
}

// bodyByHash returns a function that looks up section bodies by hash.
func bodyByHash(bodies map[string][]byte) func(string) ([]byte, bool) {
	return func(hash string) ([]byte, bool) {
		b, ok := bodies[hash]
		return b, ok
	}
}

// Publish writes d as the successor of readVersion, which is 0 when no
// configuration exists, and returns the new version. It fails with
// PlatformConflict when another operator has published since readVersion was
// read. When a reply is lost, it reads the manifest back to see whether the
// write took effect; a refusal with run state MayHaveRun means that this was
// not possible, because the platform stayed unreachable.
func Publish(ctx context.Context, s platform.Store, d *model.Document, readVersion uint64) (uint64, error) {
	cur, err := readManifestSince(ctx, s, readVersion)
	if err != nil {
		return 0, err
	}
	if cur.manifest.Version != readVersion {
		return 0, conflictError(readVersion, cur.manifest.Version)
	}
	next, bodies := Split(d)
	next.Version = readVersion + 1
	if err := writeSections(ctx, s, cur.manifest, next, bodies); err != nil {
		return 0, err
	}
	obsolete, err := obsoleteSections(ctx, s, cur.manifest, next)
	if err != nil {
		return 0, err
	}
	token := uuid.NewString()
	next.RecentTokens = appendRecent(cur.manifest.RecentTokens, token)
	if err := writeManifest(ctx, s, cur, next, token); err != nil {
		return 0, err
	}
	deleteSections(ctx, s, obsolete)
	return next.Version, nil
}

func conflictError(readVersion, currentVersion uint64) error {
	return errs.Refuse(errs.PlatformConflict,
		"configuration %d was replaced by %d after it was read", readVersion, currentVersion)
}

// appendRecent appends token and drops the oldest tokens beyond
// maxRecentTokens.
func appendRecent(old []string, token string) []string {
	all := append(slices.Clone(old), token)
	return all[max(0, len(all)-maxRecentTokens):]
}

// writeSections writes the sections that cur does not name. The writes are
// unconditional, although an object under the same key has the same content:
// each write changes the object version, so that deleteSections of an earlier
// publisher, which is conditional on the version, does not delete the section.
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

// writeSection writes one section, and again when the reply was lost. This is
// safe because a key has the same content in every write.
func writeSection(ctx context.Context, s platform.Store, key string, body []byte) error {
	var err error
	for attempt := range publishAttempts {
		_, err = s.Put(ctx, key, body, platform.Condition{})
		if !outcomeUnknown(err) {
			return err
		}
		if perr := backoff(ctx, attempt); perr != nil {
			return perr
		}
	}
	// No manifest names the section yet, so the configuration has not changed.
	return errs.Refuse(errs.PlatformDown, "section %s not confirmed: %v", key, err)
}

// writeManifest puts next into force. The write is conditional on the object
// version of cur, so cur has at most one successor and a retry cannot take
// effect twice.
func writeManifest(ctx context.Context, s platform.Store, cur storedManifest, next Manifest, token string) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errs.Refuse(errs.Internal, "encode manifest: %v", err)
	}
	cond := platform.Condition{Match: cur.objectVersion, Absent: cur.objectVersion == ""}
	mayBeWritten := false
	for attempt := range publishAttempts {
		_, err = s.Put(ctx, ManifestKey, value, cond)
		if err == nil {
			return nil
		}
		mayBeWritten = mayBeWritten || outcomeUnknown(err)
		if !mayBeWritten {
			return describeConflict(ctx, s, cur, err)
		}
		done, rerr := resolveLostReply(ctx, s, cur, token)
		if done {
			return rerr
		}
		if perr := backoff(ctx, attempt); perr != nil {
			err = perr
			break
		}
	}
	return errs.Ambiguous(errs.PlatformDown, "publication of configuration %d not confirmed: %v", next.Version, err)
}

// describeConflict replaces a refusal with PlatformConflict by one that names
// the version that replaced cur. It returns other errors unchanged.
func describeConflict(ctx context.Context, s platform.Store, cur storedManifest, err error) error {
	if !errs.Is(err, errs.PlatformConflict) {
		return err
	}
	now, rerr := readManifest(ctx, s)
	if rerr != nil || now.manifest.Version <= cur.manifest.Version {
		return errs.Refuse(errs.PlatformConflict, "configuration %d was replaced after it was read", cur.manifest.Version)
	}
	return conflictError(cur.manifest.Version, now.manifest.Version)
}

// resolveLostReply reads the manifest back after a lost reply. It reports
// whether the outcome of the write is known, and its error if it is.
func resolveLostReply(ctx context.Context, s platform.Store, cur storedManifest, token string) (bool, error) {
	now, err := readManifest(ctx, s)
	if err != nil {
		return false, nil
	}
	if slices.Contains(now.manifest.RecentTokens, token) {
		return true, nil
	}
	if now.objectVersion == cur.objectVersion || now.manifest.Version <= cur.manifest.Version {
		// The platform has not received the write yet, or this read was stale.
		return false, nil
	}
	if now.manifest.Version > cur.manifest.Version+maxRecentTokens {
		// The token may have been dropped from RecentTokens.
		return false, nil
	}
	return true, conflictError(cur.manifest.Version, now.manifest.Version)
}

// outcomeUnknown reports whether err leaves open if the call took effect.
func outcomeUnknown(err error) bool {
	return err != nil && errs.As(err).RunState == errs.MayHaveRun
}

// backoff waits before the next attempt, twice as long after each attempt.
func backoff(ctx context.Context, attempt int) error {
	t := time.NewTimer(initialBackoff << attempt)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errs.Refuse(errs.Canceled, "%v", ctx.Err())
	}
}

// obsoleteSections returns the objects of sections that cur names and next
// does not, with the versions that they have before the manifest changes.
func obsoleteSections(ctx context.Context, s platform.Store, cur, next Manifest) ([]platform.Object, error) {
	var obsolete []platform.Object
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
		obsolete = append(obsolete, obj)
	}
	return obsolete, nil
}

// deleteSections removes sections that the manifest no longer names. A
// publisher whose manifest names such a section again writes the section
// first, which changes its object version, so the conditional delete fails and
// the section stays. This relies on the platform never giving one key the same
// version twice. A delete that fails for another reason only leaves an unused
// object.
func deleteSections(ctx context.Context, s platform.Store, obsolete []platform.Object) {
	for _, obj := range obsolete {
		_ = s.Delete(ctx, obj.Key, platform.Condition{Match: obj.Version})
	}
}

// checkOverrideNames refuses overrides that name a failure domain or a replica
// that d does not have. Names that before has in its overrides are accepted, so
// that an operator can remove them one by one.
func checkOverrideNames(d, before *model.Document) error {
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

// EditOverrides changes the operators' overrides in the published document.
// When another publication replaces the document meanwhile, it repeats the edit
// on the new document, so edit may run more than once. It returns the new
// version, or the current one when edit changed nothing. It fails with
// InvalidRequest when an override names something that the document does not
// have.
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
		if err := checkOverrideNames(&next, d); err != nil {
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
		if perr := backoff(ctx, min(attempt, 3)); perr != nil {
			return 0, perr
		}
	}
	return 0, errors.Wrapf(last, "overrides not changed, %d attempts conflicted with other publications", editAttempts)
}
