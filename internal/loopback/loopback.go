// Package loopback finds free ports on the loopback interface for the demo and
// for tests.
package loopback

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// The ports lie below the kernel's ephemeral range, from which an outgoing
// connection could take a port between its choice and its use.
const (
	firstPort = 8100
	portCount = 24_000
)

// ports is the allocator of this process. It starts at its own offset, so that
// concurrent processes seldom try the same ports.
var ports = allocator{next: os.Getpid() * 97 % portCount}

// FreeAddress returns an address on which no process listens, and which no process
// gets from this function until this one ends.
func FreeAddress(ctx context.Context) (string, error) { return ports.take(ctx) }

// allocator gives out ports. It claims each by a socket in the abstract namespace, which
// ends with the process: the port itself stays free until its user binds it, and may be
// bound again after a restart.
type allocator struct {
	mu     sync.Mutex
	next   int
	claims []net.Listener
}

func (a *allocator) take(ctx context.Context) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for range portCount {
		port := firstPort + a.next%portCount
		a.next++
		claim, err := listen(ctx, "unix", fmt.Sprintf("@lagoonvalve-port-%d", port))
		if err != nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := listen(ctx, "tcp", address)
		if err != nil {
			_ = claim.Close()
			continue
		}
		a.claims = append(a.claims, claim)
		if err := listener.Close(); err != nil {
			return "", errors.Wrap(err, "close")
		}
		return address, nil
	}
	return "", errors.New("no free port on the loopback interface")
}

func listen(ctx context.Context, network, address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(ctx, network, address)
}
