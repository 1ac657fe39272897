// Package loopback finds free ports on the loopback interface for the demo and
// for tests.
package loopback

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// The ports lie below the kernel's ephemeral range, from which an outgoing
// connection could take a port between its choice and its use.
const (
	firstPort = 8100
	portCount = 3800
)

// next determines the next port to try. Each process starts at its own offset,
// so that concurrent processes seldom try the same ports.
var next atomic.Uint32

func init() { next.Store(uint32(os.Getpid()) * 97) }

// FreeAddress returns an address on which no process listens. The process
// does not return an address again before it has tried all portCount ports.
func FreeAddress(ctx context.Context) (string, error) {
	for range portCount {
		port := firstPort + next.Add(1)%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return "", errors.Wrap(err, "close")
		}
		return address, nil
	}
	return "", errors.New("no free port on the loopback interface")
}
