package watch_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/watch"
)

// fakeStore is a store whose objects, history and availability are set by the test.
type fakeStore struct {
	catkinspindle.ObjectStore
	mu             sync.Mutex
	objects        map[string]bool
	revision       int64
	era            int64
	oldestRevision int64
	down           bool
	changes        []catkinspindle.ObjectChange
	lists          int
	calls          int
}

var errUnreachable = errors.New("down")

func (s *fakeStore) List(context.Context, string) ([]catkinspindle.StoredObject, catkinspindle.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, catkinspindle.Position{}, errUnreachable
	}
	s.lists++
	var list []catkinspindle.StoredObject
	for name := range s.objects {
		list = append(list, catkinspindle.StoredObject{Name: name})
	}
	return list, s.position(), nil
}

func (s *fakeStore) Changes(ctx context.Context, _ string, after catkinspindle.Position, wait time.Duration) ([]catkinspindle.ObjectChange, catkinspindle.Position, error) {
	end := time.Now().Add(wait)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		var list []catkinspindle.ObjectChange
		for _, c := range s.changes {
			if c.Object.Revision > after.Revision {
				list = append(list, c)
			}
		}
		down, historyGone, position := s.down, after.Revision < s.oldestRevision || after.Era != s.era, s.position()
		s.mu.Unlock()
		switch {
		case down:
			return nil, after, errUnreachable
		case historyGone:
			return nil, after, catkinspindle.ErrHistoryGone
		case len(list) > 0 || time.Now().After(end):
			return list, position, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *fakeStore) position() catkinspindle.Position {
	return catkinspindle.Position{Era: s.era, Revision: s.revision}
}

func (s *fakeStore) change(name string, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.objects[name] = true
	if !present {
		delete(s.objects, name)
	}
	s.changes = append(s.changes, catkinspindle.ObjectChange{Object: catkinspindle.StoredObject{Name: name, Revision: s.revision}, Deleted: !present})
}

// recordingSink records the known objects and the last mayReturn.
type recordingSink struct {
	mu        sync.Mutex
	known     map[string]bool
	mayReturn time.Time
}

func (k *recordingSink) Reset(objects []catkinspindle.StoredObject, _ catkinspindle.Position, mayReturn time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.known, k.mayReturn = map[string]bool{}, mayReturn
	for _, o := range objects {
		k.known[o.Name] = true
	}
}

func (k *recordingSink) Apply(changes []catkinspindle.ObjectChange, _ catkinspindle.Position, mayReturn time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mayReturn = mayReturn
	for _, c := range changes {
		k.known[c.Object.Name] = true
		if c.Deleted {
			delete(k.known, c.Object.Name)
		}
	}
}

func startFollower(t *testing.T, s *fakeStore, opts ...watch.Option) (*recordingSink, func()) {
	t.Helper()
	k := &recordingSink{known: map[string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	f := watch.New(s, "k", time.Second, slog.New(slog.DiscardHandler), k, opts...)
	time.AfterFunc(0, func() {
		f.Run(ctx)
		close(done)
	})
	return k, func() {
		cancel()
		<-done
	}
}

func (k *recordingSink) check(t *testing.T, when string, want ...string) {
	t.Helper()
	k.mu.Lock()
	defer k.mu.Unlock()
	set := map[string]bool{}
	for _, name := range want {
		set[name] = true
	}
	if diff := cmp.Diff(set, k.known); diff != "" {
		t.Errorf("%s (-want +got):\n%s", when, diff)
	}
}

func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{objects: map[string]bool{"a": true}, revision: 1}
		k, stop := startFollower(t, s)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		k.check(t, "after the list", "a")
		s.change("b", true)
		s.change("a", false)
		time.Sleep(100 * time.Millisecond)
		k.check(t, "after two changes", "b")
		if !k.mayReturn.IsZero() {
			t.Error("entries may return although the store had no outage")
		}
	})
}

// After a compaction of the history the objects are listed again, and no change made in the
// meantime is missed.
func TestFollowerListsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{objects: map[string]bool{"a": true}, revision: 1}
		k, stop := startFollower(t, s)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		s.objects, s.revision, s.oldestRevision = map[string]bool{"c": true}, 9, 9
		s.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		k.check(t, "after the compaction", "c")
	})
}

// After an outage missing entries may return, but no later than two seconds after the end
// of the outage, when a replica that has left must get no requests.
func TestFollowerAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{objects: map[string]bool{"a": true}, revision: 1}
		k, stop := startFollower(t, s)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(4 * time.Second)
		s.mu.Lock()
		s.down, s.objects, s.revision = false, map[string]bool{}, 5
		s.mu.Unlock()
		outageEnd := time.Now()
		time.Sleep(time.Second)
		k.mu.Lock()
		until := k.mayReturn
		k.mu.Unlock()
		if until.Before(outageEnd.Add(1200*time.Millisecond)) || until.After(outageEnd.Add(2*time.Second)) {
			t.Errorf("entries may return until %v after the end of the outage, want 1.2 s to 2 s", until.Sub(outageEnd))
		}
	})
}

// A series of changes takes few calls, and no change is delayed by more than the minimum
// interval between calls. The first change after an idle period is received at once.
func TestSeriesOfChangesTakesFewCalls(t *testing.T) {
	const minInterval = 150 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{objects: map[string]bool{}, revision: 1}
		k, stop := startFollower(t, s, watch.WithMinInterval(minInterval))
		defer stop()
		time.Sleep(700 * time.Millisecond)
		s.mu.Lock()
		s.calls = 0
		s.mu.Unlock()
		s.change("first", true)
		time.Sleep(20 * time.Millisecond)
		k.check(t, "right after the first change", "first")
		const series = 100
		want := []string{"first"}
		for i := range series {
			name := fmt.Sprint(i)
			s.change(name, true)
			want = append(want, name)
			time.Sleep(15 * time.Millisecond)
		}
		time.Sleep(minInterval)
		k.check(t, "after the series", want...)
		s.mu.Lock()
		defer s.mu.Unlock()
		if most := int(series*15*time.Millisecond/minInterval) + 3; s.calls > most {
			t.Errorf("%d calls for %d changes, want %d at most", s.calls, series, most)
		}
	})
}

// A store that was restored between two watches is listed again even if no call failed, and
// entries that the restore has lost may return.
func TestFollowerOfRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{objects: map[string]bool{"a": true}, revision: 7, era: 1}
		k, stop := startFollower(t, s)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		s.objects, s.revision, s.era = map[string]bool{"b": true}, 3, 2
		s.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		k.check(t, "after the restore", "b")
		s.change("c", true)
		time.Sleep(100 * time.Millisecond)
		k.check(t, "after a change with a lower revision", "b", "c")
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.mayReturn.Before(time.Now()) {
			t.Error("mayReturn has passed: entries lost in the restore are not kept")
		}
	})
}
