package agent_test

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// memNet is a network in memory, so that tests run in virtual time.
type memNet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
}

type memListener struct {
	addr   string
	net    *memNet
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

func (n *memNet) Listen(_ context.Context, addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, errors.New("address in use")
	}
	l := &memListener{addr: addr, net: n, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

func (n *memNet) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		delete(l.net.listeners, l.addr)
		l.net.mu.Unlock()
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.addr) }
