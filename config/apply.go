package config

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/manifest"
)

// envelope is the value of the platform object: the configuration and the ids of recent
// edits, which make a repeated edit idempotent.
type envelope struct {
	Text string `json:"text"`
	// Edits are the last maxEdits accepted edits, newest first.
	Edits []edit `json:"edits"`
}

// edit records an accepted edit, so that a retry with the same id is recognized.
type edit struct {
	ID string `json:"id"`
	// Version is the configuration version that the edit produced. It is zero for the
	// newest edit, whose version is that of the object and not known before the write.
	Version int64 `json:"version,omitempty"`
}

// versionOf returns the version that the edit with the id produced; objectVersion is the
// version of the platform object. It reports false when the edit is not recorded.
func (e envelope) versionOf(id string, objectVersion int64) (int64, bool) {
	for _, ed := range e.Edits {
		if ed.ID == id {
			return cmp.Or(ed.Version, objectVersion), true
		}
	}
	return 0, false
}

// withEdit returns the envelope with text as the result of the edit id on the version
// base.
func (e envelope) withEdit(id, text string, base int64) envelope {
	edits := []edit{{ID: id}}
	for _, ed := range e.Edits {
		edits = append(edits, edit{ID: ed.ID, Version: cmp.Or(ed.Version, base)})
	}
	return envelope{Text: text, Edits: edits[:min(len(edits), maxEdits)]}
}

// Apply validates the configuration raw, an edit of the version base, and writes it to
// the platform if base is still the current version. A retry with the same edit id has no
// further effect. It returns the accepted version. The error is a catkinspindle.Failure
// with verdict MayHaveRun when the outcome of the write is unknown.
func (s *Config) Apply(ctx context.Context, base int64, editID string, raw []byte) (int64, error) {
	if _, err := manifest.Parse("text", raw); err != nil {
		return 0, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "%w", err)
	}
	current, version, err := s.readEnvelope(ctx)
	if err != nil {
		return 0, err
	}
	if _, ok := current.versionOf(editID, version); ok || version != base {
		return s.confirmEdit(ctx, editID)
	}
	value, err := json.Marshal(current.withEdit(editID, string(raw), base))
	if err != nil {
		return 0, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "%w", err)
	}
	return s.putUntilKnown(ctx, base, editID, raw, value)
}

// readEnvelope reads the object from the platform. The version is zero when the object does
// not exist.
func (s *Config) readEnvelope(ctx context.Context) (envelope, int64, error) {
	var e envelope
	o, err := s.platform.Get(ctx, objectKind, objectName)
	if errors.Is(err, catkinspindle.ErrNotFound) {
		return e, 0, nil
	}
	if err != nil {
		return e, 0, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonStoreUnavailable, "%w", err).WithRetryAfter(retryDelay)
	}
	if err := json.Unmarshal(o.Value, &e); err != nil {
		return e, 0, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonStoreUnavailable, "object %s/%s: %w", objectKind, objectName, err)
	}
	return e, o.Version, nil
}

// putUntilKnown repeats the conditional update until its outcome is known or ctx ends. When a
// retry conflicts, the recorded edit id shows whether an earlier attempt took effect.
func (s *Config) putUntilKnown(ctx context.Context, base int64, editID string, raw, value []byte) (int64, error) {
	tried := false
	for {
		o, err := s.platform.Put(ctx, objectKind, objectName, base, value)
		switch {
		case err == nil:
			s.logAccepted(editID, o.Version)
			return o.Version, s.adoptText(raw, o.Version)
		case errors.Is(err, catkinspindle.ErrConflict):
			return s.confirmEdit(ctx, editID)
		case !errors.Is(err, context.DeadlineExceeded) && catkinspindle.AsFailure(err).Verdict == catkinspindle.NotRun && !tried:
			return 0, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonStoreUnavailable, "%w", err).WithRetryAfter(retryDelay)
		}
		tried = true
		select {
		case <-ctx.Done():
			return 0, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonStoreUnavailable, "edit %s has no known outcome; apply it again with the same id: %w", editID, err)
		case <-time.After(retryDelay):
		}
	}
}

// confirmEdit reads the object after a conflict. The edit took effect if the object records
// its id.
func (s *Config) confirmEdit(ctx context.Context, editID string) (int64, error) {
	o, err := s.platform.Get(ctx, objectKind, objectName)
	if err != nil {
		return 0, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonStoreUnavailable, "edit %s has no known outcome; apply it again with the same id: %w", editID, err)
	}
	s.adopt(o)
	var e envelope
	if err := json.Unmarshal(o.Value, &e); err != nil {
		return 0, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonStoreUnavailable, "%w", err)
	}
	if version, ok := e.versionOf(editID, o.Version); ok {
		s.logAccepted(editID, version)
		return version, nil
	}
	s.log.Info("configuration edit rejected", events.ConfigRefused.Attr(), "edit", editID, "version", o.Version)
	return 0, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonConflict, "the text has version %d now", o.Version)
}

func (s *Config) logAccepted(editID string, version int64) {
	s.log.Info("configuration edit accepted", events.ConfigAccepted.Attr(), "edit", editID, "version", version)
}
