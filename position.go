package catkinspindle

import (
	"cmp"
	"fmt"
	"log/slog"
)

// Position is a point in the history of the platform's store. Restoring the store from
// a backup starts a new era, in which revision numbers of the previous era are issued
// again, so revisions are comparable only within one era.
type Position struct {
	Era      int64 `cbor:"1,keyasint,omitempty"`
	Revision int64 `cbor:"2,keyasint,omitempty"`
}

// Compare returns -1, 0 or 1 when p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// String returns era and revision, such as "2/1734".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

// LogValue implements slog.LogValuer.
func (p Position) LogValue() slog.Value { return slog.StringValue(p.String()) }

// StalePosition is the position given to lists that may be stale. It precedes the position
// of every other list, so that any of them replaces a stale one.
var StalePosition = Position{Revision: 1}
