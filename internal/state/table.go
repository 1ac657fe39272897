package state

import (
	"cmp"
	"encoding/json"
	"iter"
	"slices"

	"github.com/go-faster/errors"
	"github.com/google/btree"
)

// degree of the trees. A clone shares all nodes; a write copies the nodes on
// its path, so small nodes keep writes after a clone cheap.
const degree = 16

// maxTombstones bounds the deletions that a table remembers in order to name
// the winner of a conflict.
const maxTombstones = 4096

// stamp says which record wrote a row last.
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

// rows is an ordered map with cheap immutable copies.
type rows[K, V any] struct {
	tree *btree.BTreeG[row[K, V]]
}

func newRows[K, V any](less func(a, b K) bool) rows[K, V] {
	return rows[K, V]{btree.NewG(degree, func(a, b row[K, V]) bool { return less(a.key, b.key) })}
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

func (r rows[K, V]) from(key K) iter.Seq[V] {
	return func(yield func(V) bool) {
		r.tree.AscendGreaterOrEqual(row[K, V]{key: key}, func(item row[K, V]) bool { return yield(item.value) })
	}
}

func (r rows[K, V]) clone() rows[K, V] { return rows[K, V]{r.tree.Clone()} }

// kindOf describes a kind of configured entity.
type kindOf[K comparable, V any] struct {
	less  func(a, b K) bool
	parse func(name string) (K, bool)
	key   func(V) K
	// team returns the team that owns the entity. Entities without one
	// belong to the platform's operators.
	team func(*Config, V) TeamName
	// check reports every reason against the value.
	check func(*Config, V, *reasons)
	// used reports every reference that forbids the deletion.
	used func(*Config, V, *reasons)
}

// table is the table of one kind of configured entity.
type table[K comparable, V any] struct {
	kindOf[K, V]
	rows  rows[K, V]
	tombs map[K]stamp
	// floor is the highest revision among forgotten tombstones. A created
	// entity starts above it, so that a late change that expects a revision
	// of a deleted entity of the same name never matches.
	floor Revision
	// shared is set while rows is the tree of a published view.
	shared bool
}

func newTable[K comparable, V any](kind kindOf[K, V]) *table[K, V] {
	return &table[K, V]{kindOf: kind, rows: newRows[K, V](kind.less), tombs: map[K]stamp{}}
}

// view returns rows that later changes leave alone.
func (t *table[K, V]) view() rows[K, V] {
	t.shared = true
	return t.rows
}

func (t *table[K, V]) beforeWrite() {
	if t.shared {
		t.rows = t.rows.clone()
		t.shared = false
	}
}

// change applies ch, or only says what it would come to if check is set.
func (t *table[K, V]) change(c *Config, ch ConfigChange, p StoredRecord, check bool) Outcome {
	key, ok := t.parse(ch.Name)
	if !ok {
		return invalid(p, "the name is not valid for its kind")
	}
	old, exists := t.rows.get(key)
	if ch.Expected != old.stamp.Revision {
		return t.conflict(p, key, old, exists)
	}
	if !exists && len(ch.Value) == 0 {
		return invalid(p, "the entity to delete does not exist")
	}
	var why reasons
	if exists {
		why.owner(ch.Team, t.team(c, old.value))
	}
	if len(ch.Value) == 0 {
		t.used(c, old.value, &why)
		if len(why) > 0 {
			return invalid(p, why...)
		}
		if check {
			return Outcome{Effect: EffectApplied, Offset: p.Offset}
		}
		return t.remove(p, key, old, ch.Actor)
	}
	var value V
	if err := json.Unmarshal(ch.Value, &value); err != nil {
		why.add("the value cannot be read: %v", err)
		return invalid(p, why...)
	}
	if t.key(value) != key {
		why.add("the value's own name differs from %q", ch.Name)
	}
	if owner := t.team(c, value); !exists || owner != t.team(c, old.value) {
		why.owner(ch.Team, owner)
	}
	t.check(c, value, &why)
	if len(why) > 0 {
		return invalid(p, why...)
	}
	if check {
		return Outcome{Effect: EffectApplied, Offset: p.Offset, Revision: old.stamp.Revision + 1}
	}
	return t.put(p, key, value, old, ch.Actor)
}

func (t *table[K, V]) conflict(p StoredRecord, key K, old row[K, V], exists bool) Outcome {
	winner := Winner{Offset: NoOffset}
	if exists {
		winner = old.stamp.winner()
	} else if tomb, known := t.tombs[key]; known {
		winner = Winner{Actor: tomb.Actor, Offset: tomb.Offset}
	}
	return Outcome{Effect: EffectConflict, Offset: p.Offset, Winner: winner}
}

func (t *table[K, V]) put(p StoredRecord, key K, value V, old row[K, V], actor string) Outcome {
	revision := old.stamp.Revision + 1
	if revision == 1 {
		revision = max(t.floor, t.tombs[key].Revision) + 1
		delete(t.tombs, key)
	}
	t.beforeWrite()
	t.rows.set(key, value, stamp{revision, p.Offset, actor})
	return Outcome{Effect: EffectApplied, Offset: p.Offset, Revision: revision}
}

func (t *table[K, V]) remove(p StoredRecord, key K, old row[K, V], actor string) Outcome {
	t.beforeWrite()
	t.rows.remove(key)
	t.tombs[key] = stamp{old.stamp.Revision, p.Offset, actor}
	if len(t.tombs) > maxTombstones {
		t.forgetOldest()
	}
	return Outcome{Effect: EffectApplied, Offset: p.Offset}
}

func (t *table[K, V]) forgetOldest() {
	var oldest K
	at := Offset(-1)
	for key, tomb := range t.tombs {
		if at < 0 || tomb.Offset < at {
			oldest, at = key, tomb.Offset
		}
	}
	t.floor = max(t.floor, t.tombs[oldest].Revision)
	delete(t.tombs, oldest)
}

// savedRow is a row or tombstone in a snapshot.
type savedRow[K, V any] struct {
	Key   K     `json:"key"`
	Value *V    `json:"value,omitempty"`
	Stamp stamp `json:"stamp"`
}

type savedTable[K, V any] struct {
	Floor Revision         `json:"floor,omitempty"`
	Rows  []savedRow[K, V] `json:"rows"`
}

func (t *table[K, V]) save() (json.RawMessage, error) {
	saved := savedTable[K, V]{Floor: t.floor, Rows: make([]savedRow[K, V], 0, t.rows.tree.Len()+len(t.tombs))}
	t.rows.tree.Ascend(func(item row[K, V]) bool {
		saved.Rows = append(saved.Rows, savedRow[K, V]{item.key, &item.value, item.stamp})
		return true
	})
	live := len(saved.Rows)
	for key, tomb := range t.tombs {
		saved.Rows = append(saved.Rows, savedRow[K, V]{Key: key, Stamp: tomb})
	}
	slices.SortFunc(saved.Rows[live:], func(a, b savedRow[K, V]) int { return cmp.Compare(a.Stamp.Offset, b.Stamp.Offset) })
	return json.Marshal(saved)
}

func (t *table[K, V]) load(data json.RawMessage) error {
	var saved savedTable[K, V]
	if err := json.Unmarshal(data, &saved); err != nil {
		return errors.Wrap(err, "decode table")
	}
	t.floor = saved.Floor
	for _, item := range saved.Rows {
		if item.Value == nil {
			t.tombs[item.Key] = item.Stamp
			continue
		}
		t.rows.set(item.Key, *item.Value, item.Stamp)
	}
	return nil
}

func invalid(p StoredRecord, why ...string) Outcome {
	return Outcome{Effect: EffectInvalid, Offset: p.Offset, Reasons: why}
}
