package claims

import (
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Unseen reports whether no claim of a key has been made, as far as this owner
// has read its shard, so that no work with the key has run. It is false while
// the table is not complete.
func (o *Owner) Unseen(caller state.CallerName, key string) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		// Owners claim no such key, so nothing was ever run with it.
		return true
	}
	if !o.caughtUp {
		return false
	}
	if o.tooOld(keyID{key: id}) {
		return false
	}
	number, known := o.callers[caller]
	if !known {
		return true
	}
	k := keyID{number, id}
	_, inLine := o.inLine[k]
	return !o.claimed(k) && !inLine
}
