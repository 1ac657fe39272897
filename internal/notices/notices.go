// Package notices lets gateways tell each other by datagrams what they have just
// sent to upstreams, so that several of them don't send long prompts to the same
// one at the same moment, and which of them is the controller. A notice is a
// jsonrpc2 notification; it is a hint that may be lost.
package notices

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

// SentNotice says what was sent to an upstream.
type SentNotice struct {
	Upstream state.UpstreamName `json:"u"`
	// Started is the Unix millisecond of the upstream's start.
	Started int64 `json:"s"`
	// ExpectedPrefill is how long the upstream is expected to read the prompt.
	ExpectedPrefill state.Duration `json:"w"`
	// Parts names the parts of the prompt that other requests share.
	Parts []uint64 `json:"p,omitempty"`
}

// ControllerNotice says that its sender is the controller.
type ControllerNotice struct {
	// Holder is the sender's name as the holder of the lease, and Control its
	// address for other processes.
	Holder  string `json:"holder"`
	Control string `json:"control"`
	// LeaseOffset is the offset of its newest lease record.
	LeaseOffset state.Offset `json:"at"`
}

// Handler takes the notices of other gateways.
type Handler struct {
	Sent       func(SentNotice)
	Controller func(ControllerNotice)
}

const (
	methodSent = "upstream.sent"
	methodActs = "controller.acts"
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
	queue  chan []byte
	peers  atomic.Pointer[[]net.Addr]
	// dropped counts the notices that found no room.
	dropped atomic.Int64
}

// New returns an exchange that uses conn.
func New(conn net.PacketConn, logger *slog.Logger) *Exchange {
	e := &Exchange{conn: conn, logger: logger, queue: make(chan []byte, queueRoom)}
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

// NotifySent tells all peers what was sent to an upstream. It never waits.
func (e *Exchange) NotifySent(n SentNotice) { e.post(methodSent, n) }

// Announce tells all peers that this process is the controller. It never waits.
func (e *Exchange) Announce(n ControllerNotice) { e.post(methodActs, n) }

func (e *Exchange) post(method string, params any) {
	datagram, err := encode(method, params)
	if err != nil {
		e.logger.Error("notice not sent", "method", method, "error", err)
		return
	}
	select {
	case e.queue <- datagram:
	default:
		if n := e.dropped.Add(1); n%queueRoom == 1 {
			e.logger.Warn("notices dropped", "total", n)
		}
	}
}

// Run sends and receives until ctx ends, and then closes the connection.
func (e *Exchange) Run(ctx context.Context, handler Handler) {
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
		if err := handler.take(buffer[:n]); err != nil {
			e.logger.Warn("notice ignored", "error", err)
		}
	}
}

func (e *Exchange) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case datagram := <-e.queue:
			for _, peer := range *e.peers.Load() {
				// A notice is a hint, and a peer that is gone leaves the list.
				_, _ = e.conn.WriteTo(datagram, peer)
			}
		}
	}
}

func encode(method string, params any) ([]byte, error) {
	req := jsonrpc2.Request{Method: method, Notif: true}
	if err := req.SetParams(params); err != nil {
		return nil, errors.Wrap(err, "encode notice")
	}
	datagram, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode notice")
	}
	return datagram, nil
}

// take hands a datagram over. It returns an error for one that is no notice.
func (h Handler) take(datagram []byte) error {
	var req jsonrpc2.Request
	if err := json.Unmarshal(datagram, &req); err != nil {
		return errors.Wrap(err, "decode notice")
	}
	if !req.Notif || req.Params == nil {
		return errors.Errorf("%q is no notice", req.Method)
	}
	switch req.Method {
	case methodSent:
		var n SentNotice
		if err := json.Unmarshal(*req.Params, &n); err != nil {
			return errors.Wrap(err, "decode notice")
		}
		if n.Upstream == "" || n.ExpectedPrefill < 0 {
			return errors.New("notice without an upstream, or with a negative time")
		}
		h.Sent(n)
	case methodActs:
		var n ControllerNotice
		if err := json.Unmarshal(*req.Params, &n); err != nil {
			return errors.Wrap(err, "decode notice")
		}
		if n.Holder == "" || n.Control == "" || n.LeaseOffset < 0 {
			return errors.New("notice without a holder")
		}
		h.Controller(n)
	default:
		return errors.Errorf("unknown notice %q", req.Method)
	}
	return nil
}
