// Package loopback finds free addresses of the loopback interface for the demo
// and for tests.
package loopback

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// The ports lie below the range that kernels take for outgoing connections,
// which could take a port between its choice and its use.
const (
	firstPort = 8100
	portCount = 3800
)

// next is the place of the next port to try. Processes start at different
// places.
var next atomic.Uint32

func init() { next.Store(uint32(os.Getpid()) * 97) }

// FreeAddress returns an address that nobody listens on. A process gets each
// address once in portCount calls.
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
