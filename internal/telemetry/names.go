package telemetry

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
)

// Other is the label value that stands for all names without their own.
const Other = "other"

// maxTracked bounds the names whose use is counted. It covers twice the 590
// models and 1,600 adapters of the two-year size.
const maxTracked = 4096

// TopNames limits the values of a label to the most used names. The first
// names get a value at once; each Rotate gives values to the names that were
// used most since the one before. A name that got a value once may get it
// back, so that at most twice the limit and Other are ever seen: a time
// series never disappears, and the sum over the label stays exact.
type TopNames struct {
	limit int

	mu    sync.RWMutex
	names map[string]*nameUse
	// issued counts the names that ever had a value.
	issued int
}

type nameUse struct {
	uses   atomic.Uint64
	shown  atomic.Bool
	issued bool
}

// NewTopNames returns a label limiter for limit names at a time.
func NewTopNames(limit int) *TopNames {
	return &TopNames{limit: limit, names: make(map[string]*nameUse)}
}

// Label counts a use of name and returns its label value: name or Other.
func (t *TopNames) Label(name string) string {
	use := t.use(name)
	if use != nil {
		use.uses.Add(1)
	}
	return use.value(name)
}

// Value returns the label value of name without counting a use.
func (t *TopNames) Value(name string) string { return t.use(name).value(name) }

func (u *nameUse) value(name string) string {
	if u != nil && u.shown.Load() {
		return name
	}
	return Other
}

// use returns the record of name, nil if there is no room for one.
func (t *TopNames) use(name string) *nameUse {
	t.mu.RLock()
	use, ok := t.names[name]
	t.mu.RUnlock()
	if !ok {
		use = t.add(name)
	}
	return use
}

func (t *TopNames) add(name string) *nameUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	if use, ok := t.names[name]; ok {
		return use
	}
	if len(t.names) >= maxTracked {
		return nil
	}
	use := &nameUse{}
	t.names[name] = use
	if t.issued < t.limit {
		t.show(use)
	}
	return use
}

func (t *TopNames) show(use *nameUse) {
	if !use.issued {
		use.issued = true
		t.issued++
	}
	use.shown.Store(true)
}

// Rotate gives label values to the most used names and halves all counts. A
// caller runs it about once a minute. Names that are no longer used are
// forgotten unless they had a value.
func (t *TopNames) Rotate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for rank, name := range t.ranked() {
		use := t.names[name]
		switch {
		case rank >= t.limit:
			use.shown.Store(false)
		case use.issued || t.issued < 2*t.limit:
			t.show(use)
		}
		uses := use.uses.Load()
		if uses == 0 && !use.issued {
			delete(t.names, name)
		}
		use.uses.Store(uses / 2)
	}
}

// ranked orders the names by use, ties by name.
func (t *TopNames) ranked() []string {
	type ranking struct {
		name string
		uses uint64
	}
	rankings := make([]ranking, 0, len(t.names))
	for name, use := range t.names {
		rankings = append(rankings, ranking{name: name, uses: use.uses.Load()})
	}
	slices.SortFunc(rankings, func(a, b ranking) int {
		return cmp.Or(cmp.Compare(b.uses, a.uses), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(rankings))
	for i, r := range rankings {
		names[i] = r.name
	}
	return names
}
