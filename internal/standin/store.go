package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// PathStoreLoads is the path of the store's HTTP interface.
const PathStoreLoads = "/v1/store/loads"

// StoreConfig configures a Store.
type StoreConfig struct {
	// LoadsPerSecond is how many loads of weights may start; default 3.
	LoadsPerSecond float64
	// FullSpeed is how many loads run at full speed; beyond it all slow down
	// in proportion; default 4.
	FullSpeed int
	// BytesPerSecond is the full speed of one load; default 2 GiB.
	BytesPerSecond state.Bytes
	// AdapterTime is the time of an adapter's load; default 8 ms.
	AdapterTime time.Duration
	// AdaptersInTransit is how many adapters load at full speed; default 30.
	AdaptersInTransit int
}

// Fetcher loads from a weight store. *Store and *HTTPFetcher implement it.
type Fetcher interface {
	// FetchWeights returns once size bytes of weights have arrived.
	FetchWeights(ctx context.Context, size state.Bytes) error
	// FetchAdapter returns once an adapter has arrived.
	FetchAdapter(ctx context.Context) error
}

// Store is a weight store that limits starts and shares its bandwidth.
type Store struct {
	switches[StoreFaults]
	cfg      StoreConfig
	starts   *rate.Limiter
	weights  *sharedRate
	adapters *sharedRate
}

// NewStore returns a store without faults.
func NewStore(cfg StoreConfig) *Store {
	defaults.Set(&cfg.LoadsPerSecond, 3)
	defaults.Set(&cfg.FullSpeed, 4)
	defaults.Set(&cfg.BytesPerSecond, 2*state.GiB)
	defaults.Set(&cfg.AdapterTime, 8*time.Millisecond)
	defaults.Set(&cfg.AdaptersInTransit, 30)
	s := &Store{cfg: cfg, starts: rate.NewLimiter(rate.Limit(cfg.LoadsPerSecond), 1)}
	slowdown := func() float64 { return s.Faults().Slowdown }
	s.weights = newSharedRate(cfg.FullSpeed, slowdown)
	s.adapters = newSharedRate(cfg.AdaptersInTransit, slowdown)
	return s
}

// Active returns how many loads of weights run now.
func (s *Store) Active() int { return s.weights.count() }

// FetchWeights implements Fetcher.
func (s *Store) FetchWeights(ctx context.Context, size state.Bytes) error {
	if s.Faults().Outage {
		return errors.Wrap(platform.ErrUnavailable, "store outage")
	}
	if err := s.starts.Wait(ctx); err != nil {
		return errors.Wrap(platform.ErrUnavailable, "store rate")
	}
	work := size.TransferTime(float64(s.cfg.BytesPerSecond))
	return s.weights.run(ctx, work)
}

// FetchAdapter implements Fetcher.
func (s *Store) FetchAdapter(ctx context.Context) error {
	if s.Faults().Outage {
		return errors.Wrap(platform.ErrUnavailable, "store outage")
	}
	return s.adapters.run(ctx, s.cfg.AdapterTime)
}

// storeLoad is the body of a load request.
type storeLoad struct {
	Adapter bool        `json:"adapter,omitempty"`
	Size    state.Bytes `json:"size,omitempty"`
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathFaults:
		s.serveFaults(w, r)
	case PathStoreLoads:
		s.serveLoad(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveLoad(w http.ResponseWriter, r *http.Request) {
	var load storeLoad
	if !readJSON(w, r, &load) {
		return
	}
	err := s.fetch(r.Context(), load)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Store) fetch(ctx context.Context, load storeLoad) error {
	if load.Adapter {
		return s.FetchAdapter(ctx)
	}
	return s.FetchWeights(ctx, load.Size)
}
