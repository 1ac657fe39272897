// Package loadshare lets gateways tell each other what they have just sent to
// upstreams, so that several of them don't send long prompts to the same one at
// the same moment. A notice is one datagram with a jsonrpc2 notification; it is
// a hint that may be lost.
package loadshare

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Notice says what was sent to an upstream.
type Notice struct {
	Upstream state.UpstreamName `json:"u"`
	// Started is the Unix millisecond of the upstream's start.
	Started int64 `json:"s"`
	// Work is how long the upstream is expected to read the prompt.
	Work state.Duration `json:"w"`
	// Parts names the parts of the prompt that other requests share.
	Parts []uint64 `json:"p,omitempty"`
}

const (
	methodSent = "upstream.sent"
	// queueRoom is how many notices may wait to be sent.
	queueRoom = 128
	// maxDatagram is the largest datagram that is read.
	maxDatagram = 2 << 10
	// MaxPeers bounds the gateways that are told of each sending.
	MaxPeers = 32
)

// Exchange sends and receives notices. Its methods may be called from any
// goroutine.
type Exchange struct {
	conn   net.PacketConn
	logger *slog.Logger
	queue  chan Notice
	peers  atomic.Pointer[[]net.Addr]
	// dropped counts the notices that found no room.
	dropped atomic.Int64
}

// New returns an exchange that uses conn.
func New(conn net.PacketConn, logger *slog.Logger) *Exchange {
	e := &Exchange{conn: conn, logger: logger, queue: make(chan Notice, queueRoom)}
	e.peers.Store(&[]net.Addr{})
	return e
}

// SetPeers sets the addresses of the other gateways, the most important first.
// Addresses that can't be read are left out.
func (e *Exchange) SetPeers(addresses []string) {
	peers := make([]net.Addr, 0, min(len(addresses), MaxPeers))
	for _, address := range addresses {
		addr, err := netip.ParseAddrPort(address)
		if err != nil {
			e.logger.Warn("peer address unread", "address", address, "error", err)
			continue
		}
		if len(peers) < MaxPeers {
			peers = append(peers, net.UDPAddrFromAddrPort(addr))
		}
	}
	e.peers.Store(&peers)
}

// Tell sends a notice to all peers. It never waits.
func (e *Exchange) Tell(n Notice) {
	select {
	case e.queue <- n:
	default:
		e.dropped.Add(1)
	}
}

// Run sends and receives until ctx ends, and then closes the connection. Each
// notice received is handed to take.
func (e *Exchange) Run(ctx context.Context, take func(Notice)) {
	defer context.AfterFunc(ctx, func() { _ = e.conn.Close() })()
	go e.send(ctx)
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := e.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				e.logger.Error("notices end", "error", err)
			}
			return
		}
		if notice, err := decode(buffer[:n]); err != nil {
			e.logger.Warn("notice ignored", "error", err)
		} else {
			take(notice)
		}
	}
}

func (e *Exchange) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-e.queue:
			e.broadcast(n)
		}
	}
}

func (e *Exchange) broadcast(n Notice) {
	datagram, err := encode(n)
	if err != nil {
		e.logger.Error("notice not sent", "error", err)
		return
	}
	for _, peer := range *e.peers.Load() {
		// A notice is a hint, and a peer that is gone leaves the list.
		_, _ = e.conn.WriteTo(datagram, peer)
	}
}

func encode(n Notice) ([]byte, error) {
	req := jsonrpc2.Request{Method: methodSent, Notif: true}
	if err := req.SetParams(n); err != nil {
		return nil, errors.Wrap(err, "encode notice")
	}
	data, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode notice")
	}
	return data, nil
}

// decode reads a datagram. It returns an error for one that is no notice.
func decode(datagram []byte) (Notice, error) {
	var req jsonrpc2.Request
	if err := json.Unmarshal(datagram, &req); err != nil {
		return Notice{}, errors.Wrap(err, "decode notice")
	}
	if req.Method != methodSent || !req.Notif || req.Params == nil {
		return Notice{}, errors.Errorf("decode notice: method %q", req.Method)
	}
	var n Notice
	if err := json.Unmarshal(*req.Params, &n); err != nil {
		return Notice{}, errors.Wrap(err, "decode notice")
	}
	if n.Upstream == "" || n.Work < 0 {
		return Notice{}, errors.New("decode notice: no upstream, or a negative time")
	}
	return n, nil
}
