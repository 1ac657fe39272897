package entry

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
)

func TestMain(m *testing.M) { testenv.Main(m, testenv.RapidDefaults{Seed: 11}) }

// serveTimeout ends the calls that a stopped process had taken.
const serveTimeout = 5 * time.Second

// fakeNetwork connects processes in memory. It implements rpc.Caller.
type fakeNetwork struct {
	mu    sync.Mutex
	sites map[string]map[string]rpc.MethodFunc
	// loseAnswers delivers that many calls without an answer.
	loseAnswers int
	calls       map[string]int
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{sites: make(map[string]map[string]rpc.MethodFunc), calls: make(map[string]int)}
}

// serve puts methods at an address; nil makes it unreachable.
func (n *fakeNetwork) serve(address string, methods map[string]rpc.MethodFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[address] = methods
}

// Call implements rpc.Caller.
func (n *fakeNetwork) Call(ctx context.Context, addr, method string, params, result any) error {
	n.mu.Lock()
	f := n.sites[addr][method]
	n.calls[addr+" "+method]++
	lost := f != nil && n.loseAnswers > 0
	if lost {
		n.loseAnswers--
	}
	n.mu.Unlock()
	if f == nil {
		return errors.Wrap(rpc.ErrUnreachable, addr)
	}
	sent, err := json.Marshal(params)
	if err != nil {
		return err
	}
	// The server's side does not end with the caller's wait, but with its
	// process at some time.
	serving, stop := context.WithTimeout(context.WithoutCancel(ctx), serveTimeout)
	var answer any
	answered := make(chan error, 1)
	go func() {
		defer stop()
		var failed error
		answer, failed = f(serving, sent)
		if !lost {
			answered <- failed
		}
	}()
	select {
	case err := <-answered:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	received, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(received, result)
}

func (n *fakeNetwork) count(address, method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[address+" "+method]
}
