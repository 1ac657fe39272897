package standin

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	// Name starts the incarnations of the engine.
	Name string
	// Memory is what replicas and adapters share.
	Memory state.Bytes
	// Fencing says what happens to orders with an old token; default
	// enforced.
	Fencing state.FencingKind
	// Concurrency is how many requests run in one batch; default 8.
	Concurrency int
	// FirstToken is the time to the first token; default 20 ms.
	FirstToken time.Duration
	// PerToken is the time between tokens; default 5 ms.
	PerToken time.Duration
	// MemorySpeed and DiskSpeed are the bytes per second of a load from a
	// cache; default 16 GiB and 4 GiB.
	MemorySpeed state.Bytes
	DiskSpeed   state.Bytes
	// CachedInMemory and CachedOnDisk are how many checkpoints the caches
	// hold; default 2 and 8.
	CachedInMemory int
	CachedOnDisk   int
	// RestartTime is how long a crashed engine refuses everything; default
	// 1 s.
	RestartTime time.Duration
	// ResumeFor is how long the engine keeps a stream whose reader has left,
	// without generating. The default, zero, gives streams no event ids and
	// keeps none.
	ResumeFor time.Duration
}

func (c EngineConfig) withDefaults() EngineConfig {
	defaults.Set(&c.Concurrency, 8)
	defaults.Set(&c.FirstToken, 20*time.Millisecond)
	defaults.Set(&c.PerToken, 5*time.Millisecond)
	defaults.Set(&c.MemorySpeed, 16*state.GiB)
	defaults.Set(&c.DiskSpeed, 4*state.GiB)
	defaults.Set(&c.CachedInMemory, 2)
	defaults.Set(&c.CachedOnDisk, 8)
	defaults.Set(&c.RestartTime, time.Second)
	if c.Fencing == "" {
		c.Fencing = state.FencingEnforced
	}
	return c
}

// Engine is a model engine. It implements platform.Engine for orders, and
// http.Handler for orders and completions.
type Engine struct {
	switches[EngineFaults]
	cfg   EngineConfig
	store Fetcher
	batch *batch
	cache *cacheTiers

	mu       sync.Mutex
	replicas map[state.ReplicaKey]*engineReplica
	used     state.Bytes
	token    state.FencingToken
	role     string
	restarts int
	// alive ends when the engine crashes; up is when it is back.
	alive context.Context
	kill  context.CancelFunc
	up    time.Time
	kept  keptStreams
	// counters for tests
	started int
	refused int
}

// engineReplica is a replica in memory.
type engineReplica struct {
	key      state.ReplicaKey
	state    state.ReplicaState
	size     state.Bytes
	adapters map[state.AdapterName]state.Bytes
	running  int
	// settled is closed when a load has ended; failure is its error.
	settled chan struct{}
	failure error
	// idle is closed when an unloading replica runs nothing more.
	idle chan struct{}
}

// NewEngine returns an empty engine that loads through store.
func NewEngine(cfg EngineConfig, store Fetcher) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:      cfg,
		store:    store,
		batch:    newBatch(cfg.Concurrency),
		cache:    newCacheTiers(cfg.CachedInMemory, cfg.CachedOnDisk),
		replicas: make(map[state.ReplicaKey]*engineReplica),
		token:    state.NoOffset,
		role:     "both",
		kept:     keptStreams{until: make(map[string]time.Time)},
	}
	e.alive, e.kill = context.WithCancel(context.Background())
	return e
}

// Started returns how many requests the engine has started to run.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// MemoryRefusals returns how many orders did not fit the memory.
func (e *Engine) MemoryRefusals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}

// Crash drops all requests and loads and empties the memory. The engine
// comes back as a new incarnation after the restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
	e.alive, e.kill = context.WithCancel(context.Background())
	e.up = time.Now().Add(e.cfg.RestartTime)
	e.restarts++
	e.replicas = make(map[state.ReplicaKey]*engineReplica)
	e.used = 0
	e.role = "both"
	clear(e.kept.until)
	e.batch.reset()
	e.cache.loseMemory()
}

// Cache puts a checkpoint into the disk cache.
func (e *Engine) Cache(key state.ReplicaKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.use(key)
	e.cache.loseMemory()
}

// Status implements platform.Engine.
func (e *Engine) Status(context.Context) (platform.EngineStatus, error) {
	lag := e.Faults().ReportLag.Std()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkUp(); err != nil {
		return platform.EngineStatus{}, err
	}
	load := e.batch.loadAt(time.Now().Add(-lag))
	status := platform.EngineStatus{
		Incarnation: e.cfg.Name + "-" + strconv.Itoa(e.restarts),
		Memory:      e.cfg.Memory,
		Replicas:    e.list(),
		Cached:      e.cache.list(),
		Running:     load.running,
		Waiting:     load.waiting,
		Role:        e.role,
	}
	return status, nil
}
