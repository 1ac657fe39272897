//go:build review

package main

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"
)

// model is a model as the manifest describes it.
type model struct {
	name     string
	mb       float64
	adapters int
}

// engine is what a model runner holds, and how it carries out orders. A nil engine is that of
// a plain runner.
type engine struct {
	catalogue []model
	memoryMB  float64
	slots     int
	loadTime  time.Duration
	diskTime  time.Duration

	mu     sync.Mutex
	models map[string][]string
	onDisk []string
	busy   bool
	seq    int
	// crashed says that the engine was ordered to load more than it holds.
	crashed bool
}

func newEngine(catalogue []model, memoryMB float64, loaded ...string) *engine {
	e := &engine{catalogue: catalogue, memoryMB: memoryMB, slots: 8, loadTime: 6 * time.Second, diskTime: 1300 * time.Millisecond, models: map[string][]string{}}
	for _, m := range loaded {
		e.models[m] = []string{}
		e.onDisk = append(e.onDisk, m)
	}
	return e
}

func (e *engine) find(name string) (model, bool) {
	i := slices.IndexFunc(e.catalogue, func(m model) bool { return m.name == name })
	if i < 0 {
		return model{}, false
	}
	return e.catalogue[i], true
}

func (e *engine) list() []map[string]any {
	list := []map[string]any{}
	for name, adapters := range e.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": adapters})
	}
	return list
}

func (e *engine) held() []map[string]any {
	if e == nil {
		return []map[string]any{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list()
}

func (e *engine) hand() map[string]any {
	if e == nil {
		return map[string]any{"inMemory": []string{}, "onDisk": []string{}}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{"inMemory": []string{}, "onDisk": slices.Clone(e.onDisk)}
}

// holds reports whether a request for a target, MODEL or MODEL/ADAPTER, can run.
func (e *engine) holds(target string) bool {
	if e == nil {
		return true
	}
	name, adapter, _ := strings.Cut(target, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, ok := e.models[name]
	return ok && (adapter == "" || slices.Contains(adapters, adapter))
}

func (e *engine) report(queued, running int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	text, err := json.Marshal(map[string]any{
		"stage": "colocated", "models": e.list(), "busy": e.busy, "seq": e.seq, "queued": queued, "running": running, "kvUsed": 0, "kvTotal": 250000, "handles": 0,
		"coming": []string{}, "atHand": map[string]any{"inMemory": []string{}, "onDisk": e.onDisk},
	})
	check(err)
	return string(text)
}

// order carries out an order and returns the status of its answer.
func (e *engine) order(runner string, body []byte) string {
	var o struct {
		Opcode, Model, Adapter, Holder string
		Expect                         *int
		Fence                          *int64
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == nil {
		return "400 Bad Request"
	}
	status := e.carryOut(o.Opcode, o.Model, o.Adapter, o.Expect)
	note("runner %s order %s %s %s of %s, fence %d: %s", runner, o.Opcode, o.Model, o.Adapter, o.Holder, *o.Fence, status[:3])
	return status
}

func (e *engine) carryOut(opcode, name, adapter string, expect *int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	spec, ok := e.find(name)
	adapters, loaded := e.models[name]
	switch {
	case !ok || opcode != "load" && opcode != "unload":
		return "400 Bad Request"
	case adapter != "" && !spec.has(adapter):
		return "400 Bad Request" // There is no such adapter, so the order does not exist.
	case expect != nil && *expect != e.seq || e.busy:
		return "409 Conflict"
	case adapter != "" && !loaded:
		return "400 Bad Request"
	case adapter != "":
		e.seq++
		has := slices.Contains(adapters, adapter)
		if opcode == "unload" {
			e.models[name] = slices.DeleteFunc(adapters, func(a string) bool { return a == adapter })
			return "200 OK"
		}
		if has {
			e.seq--
			return "200 OK"
		}
		n := 0
		for _, list := range e.models {
			n += len(list)
		}
		e.crashed = e.crashed || n >= e.slots
		time.AfterFunc(10*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if list, ok := e.models[name]; ok && !slices.Contains(list, adapter) {
				e.models[name] = append(list, adapter)
			}
		})
		return "202 Accepted"
	case opcode == "unload":
		if !loaded {
			return "200 OK"
		}
		e.seq++
		delete(e.models, name)
		return "202 Accepted"
	case loaded:
		return "200 OK"
	default:
		used := spec.mb
		for m := range e.models {
			other, _ := e.find(m)
			used += other.mb
		}
		e.crashed = e.crashed || used > e.memoryMB
		e.seq++
		e.busy = true
		took := e.loadTime
		if slices.Contains(e.onDisk, name) {
			took = e.diskTime
		} else {
			e.onDisk = append(e.onDisk, name)
		}
		time.AfterFunc(took, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy = false
			e.models[name] = []string{}
		})
		return "202 Accepted"
	}
}

// has reports whether a model has an adapter: they are named a1, a2 and so on.
func (m model) has(adapter string) bool {
	for i := 1; i <= m.adapters; i++ {
		if adapter == "a"+itoa(i) {
			return true
		}
	}
	return false
}

// engineService is the manifest's entry of a service of models.
func engineService(name string, maxConns int, memoryMB float64, catalogue []model) map[string]any {
	models := []map[string]any{}
	for _, m := range catalogue {
		models = append(models, map[string]any{"name": m.name, "weightsMb": m.mb, "loadS": 6.0, "adapters": m.adapters, "adapterMb": 66.0, "warmS": 0.6, "diskS": 1.3})
	}
	s := plainService(name, maxConns)
	s["engine"] = map[string]any{"slots": 64, "kvCapacity": 256000, "weightsMb": memoryMB, "adapterSlots": 8, "loadsPerS": 2.8, "models": models}
	return s
}
