package state

import (
	"cmp"
	"encoding/json"
	"iter"
	"slices"

	"github.com/go-faster/errors"
	"github.com/google/btree"
)

// treeDegree is the degree of the B-trees. A clone shares all nodes and a write
// after it copies the nodes on its path, so small nodes keep such writes cheap.
const treeDegree = 16

// maxTombstones bounds how many deletions a table keeps as tombstones. They
// name the winner when a change conflicts with a deletion, and hold the revision
// from which an entity that is created again continues.
const maxTombstones = 4096

// stamp identifies the record that last wrote or deleted a row.
type stamp struct {
	Revision Revision `json:"revision"`
	Offset   Offset   `json:"offset"`
	Actor    string   `json:"actor,omitempty"`
}

func (s stamp) winner() Winner { return Winner{Actor: s.Actor, Offset: s.Offset, Revision: s.Revision} }

type row[K, V any] struct {
	key   K
	value V
	stamp stamp
}

// rows is an ordered map that can be cloned cheaply by copy-on-write.
type rows[K, V any] struct {
	tree *btree.BTreeG[row[K, V]]
}

func newRows[K, V any](less func(a, b K) bool) rows[K, V] {
	return rows[K, V]{btree.NewG(treeDegree, func(a, b row[K, V]) bool { return less(a.key, b.key) })}
}

func (r rows[K, V]) get(key K) (row[K, V], bool) { return r.tree.Get(row[K, V]{key: key}) }

func (r rows[K, V]) set(key K, value V, s stamp) {
	r.tree.ReplaceOrInsert(row[K, V]{key, value, s})
}

func (r rows[K, V]) remove(key K) { r.tree.Delete(row[K, V]{key: key}) }

func (r rows[K, V]) lookup(key K) (V, Revision, bool) {
	found, ok := r.get(key)
	return found.value, found.stamp.Revision, ok
}

func (r rows[K, V]) all() iter.Seq[V] {
	return func(yield func(V) bool) {
		r.tree.Ascend(func(item row[K, V]) bool { return yield(item.value) })
	}
}

// from iterates over the values whose keys are at or after key.
func (r rows[K, V]) from(key K) iter.Seq[V] {
	return func(yield func(V) bool) {
		r.tree.AscendGreaterOrEqual(row[K, V]{key: key}, func(item row[K, V]) bool { return yield(item.value) })
	}
}

func (r rows[K, V]) clone() rows[K, V] { return rows[K, V]{r.tree.Clone()} }

// schema holds the key functions and rules of one kind of configured entity.
type schema[K comparable, V any] struct {
	less  func(a, b K) bool
	parse func(name string) (K, bool)
	key   func(V) K
	// owner returns the team that owns the entity. Entities without one
	// belong to the platform's operators.
	owner func(*Config, V) TeamName
	// validate adds every reason why the value is invalid.
	validate func(*Config, V, *violationList)
	// checkUnused adds every reference that forbids deleting the entity.
	checkUnused func(*Config, V, *violationList)
}

// table is the table of one kind of configured entity.
type table[K comparable, V any] struct {
	schema[K, V]
	rows       rows[K, V]
	tombstones map[K]stamp
	// minRevision is the highest revision among the tombstones that were
	// dropped. A new entity starts above it, so that a late change that
	// expects a revision of a deleted entity of the same name never matches.
	minRevision Revision
	// shared is set while a published view uses the same tree.
	shared bool
}

func newTable[K comparable, V any](kind schema[K, V]) *table[K, V] {
	return &table[K, V]{schema: kind, rows: newRows[K, V](kind.less), tombstones: map[K]stamp{}}
}

// view returns the rows as they are; later changes modify a clone.
func (t *table[K, V]) view() rows[K, V] {
	t.shared = true
	return t.rows
}

// cloneIfShared makes the rows safe to modify: it clones them if a published
// view uses them.
func (t *table[K, V]) cloneIfShared() {
	if t.shared {
		t.rows = t.rows.clone()
		t.shared = false
	}
}

// change applies ch. If dryRun is set, it only returns the outcome that ch
// would have.
func (t *table[K, V]) change(c *Config, ch ConfigChange, p StoredRecord, dryRun bool) Outcome {
	key, ok := t.parse(ch.Name)
	if !ok {
		return invalid(p, "the name is not valid for this kind of entity")
	}
	old, exists := t.rows.get(key)
	if ch.Expected != old.stamp.Revision {
		return t.conflict(p, key, old, exists)
	}
	if !exists && len(ch.Value) == 0 {
		return invalid(p, "the entity to delete does not exist")
	}
	var violations violationList
	if exists {
		violations.checkOwner(ch.Team, t.owner(c, old.value))
	}
	if len(ch.Value) == 0 {
		t.checkUnused(c, old.value, &violations)
		if len(violations) > 0 {
			return invalid(p, violations...)
		}
		if dryRun {
			return Outcome{Effect: EffectApplied, Offset: p.Offset}
		}
		return t.remove(p, key, old, ch.Actor)
	}
	var value V
	if err := json.Unmarshal(ch.Value, &value); err != nil {
		violations.add("the value cannot be decoded: %v", err)
		return invalid(p, violations...)
	}
	if t.key(value) != key {
		violations.add("the name in the value differs from %q", ch.Name)
	}
	if owner := t.owner(c, value); !exists || owner != t.owner(c, old.value) {
		violations.checkOwner(ch.Team, owner)
	}
	t.validate(c, value, &violations)
	if len(violations) > 0 {
		return invalid(p, violations...)
	}
	if dryRun {
		return Outcome{Effect: EffectApplied, Offset: p.Offset, Revision: old.stamp.Revision + 1}
	}
	return t.put(p, key, value, old, ch.Actor)
}

func (t *table[K, V]) conflict(p StoredRecord, key K, old row[K, V], exists bool) Outcome {
	winner := Winner{Offset: NoOffset}
	if exists {
		winner = old.stamp.winner()
	} else if tomb, known := t.tombstones[key]; known {
		winner = Winner{Actor: tomb.Actor, Offset: tomb.Offset}
	}
	return Outcome{Effect: EffectConflict, Offset: p.Offset, Winner: winner}
}

func (t *table[K, V]) put(p StoredRecord, key K, value V, old row[K, V], actor string) Outcome {
	revision := old.stamp.Revision + 1
	if revision == 1 {
		revision = max(t.minRevision, t.tombstones[key].Revision) + 1
		delete(t.tombstones, key)
	}
	t.cloneIfShared()
	t.rows.set(key, value, stamp{revision, p.Offset, actor})
	return Outcome{Effect: EffectApplied, Offset: p.Offset, Revision: revision}
}

func (t *table[K, V]) remove(p StoredRecord, key K, old row[K, V], actor string) Outcome {
	t.cloneIfShared()
	t.rows.remove(key)
	t.tombstones[key] = stamp{old.stamp.Revision, p.Offset, actor}
	if len(t.tombstones) > maxTombstones {
		t.dropOldestTombstone()
	}
	return Outcome{Effect: EffectApplied, Offset: p.Offset}
}

// dropOldestTombstone removes the tombstone of the oldest deletion and raises
// minRevision to its revision.
func (t *table[K, V]) dropOldestTombstone() {
	var oldest K
	oldestOffset := Offset(-1)
	for key, tomb := range t.tombstones {
		if oldestOffset < 0 || tomb.Offset < oldestOffset {
			oldest, oldestOffset = key, tomb.Offset
		}
	}
	t.minRevision = max(t.minRevision, t.tombstones[oldest].Revision)
	delete(t.tombstones, oldest)
}

// rowSnapshot is a row in a snapshot, or a tombstone if Value is nil.
type rowSnapshot[K, V any] struct {
	Key   K     `json:"key"`
	Value *V    `json:"value,omitempty"`
	Stamp stamp `json:"stamp"`
}

type tableSnapshot[K, V any] struct {
	Floor Revision            `json:"floor,omitempty"`
	Rows  []rowSnapshot[K, V] `json:"rows"`
}

func (t *table[K, V]) save() (json.RawMessage, error) {
	saved := tableSnapshot[K, V]{Floor: t.minRevision, Rows: make([]rowSnapshot[K, V], 0, t.rows.tree.Len()+len(t.tombstones))}
	t.rows.tree.Ascend(func(item row[K, V]) bool {
		saved.Rows = append(saved.Rows, rowSnapshot[K, V]{item.key, &item.value, item.stamp})
		return true
	})
	live := len(saved.Rows)
	for key, tomb := range t.tombstones {
		saved.Rows = append(saved.Rows, rowSnapshot[K, V]{Key: key, Stamp: tomb})
	}
	slices.SortFunc(saved.Rows[live:], func(a, b rowSnapshot[K, V]) int { return cmp.Compare(a.Stamp.Offset, b.Stamp.Offset) })
	return json.Marshal(saved)
}

func (t *table[K, V]) load(data json.RawMessage) error {
	var saved tableSnapshot[K, V]
	if err := json.Unmarshal(data, &saved); err != nil {
		return errors.Wrap(err, "decode table")
	}
	t.minRevision = saved.Floor
	for _, item := range saved.Rows {
		if item.Value == nil {
			t.tombstones[item.Key] = item.Stamp
			continue
		}
		t.rows.set(item.Key, *item.Value, item.Stamp)
	}
	return nil
}

func invalid(p StoredRecord, reasons ...string) Outcome {
	return Outcome{Effect: EffectInvalid, Offset: p.Offset, Reasons: reasons}
}
