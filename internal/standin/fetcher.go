package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// HTTPFetcher loads from a Store in another process.
type HTTPFetcher struct {
	// Base is the store's URL.
	Base string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
}

// FetchWeights implements Fetcher.
func (f *HTTPFetcher) FetchWeights(ctx context.Context, size state.Bytes) error {
	return f.fetch(ctx, storeLoad{Size: size})
}

// FetchAdapter implements Fetcher.
func (f *HTTPFetcher) FetchAdapter(ctx context.Context) error {
	return f.fetch(ctx, storeLoad{Adapter: true})
}

func (f *HTTPFetcher) fetch(ctx context.Context, load storeLoad) error {
	body, err := json.Marshal(load)
	if err != nil {
		return errors.Wrap(err, "encode load")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.Base+PathStoreLoads, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build load request")
	}
	client := f.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(platform.ErrUnavailable, "store: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(platform.ErrUnavailable, "store status %d", resp.StatusCode)
	}
	return nil
}
