// Package notices exchanges datagrams between gateways. With them, a gateway
// reports to the others which prompts it has just sent to upstreams, so that
// several gateways don't send long prompts to the same upstream at the same
// moment, and the controller announces itself. A notice is a jsonrpc2
// notification; it is only a hint and may be lost.
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

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// SentNotice reports a prompt that a gateway has sent to an upstream.
type SentNotice struct {
	Upstream state.UpstreamName `json:"u"`
	// Started is the upstream's start time in Unix milliseconds.
	Started int64 `json:"s"`
	// ExpectedPrefill is the expected prefill time of the prompt.
	ExpectedPrefill state.Duration `json:"w"`
	// Parts holds the identifiers of the parts of the prompt that other
	// requests share.
	Parts []uint64 `json:"p,omitempty"`
	// Gateway is the sender, and Held the tokens of the upstream's memory that all its
	// requests there hold. Gateway is empty if it doesn't count them.
	Gateway string       `json:"g,omitempty"`
	Held    fleet.Tokens `json:"h,omitempty"`
}

// ControllerNotice announces that its sender is the controller.
type ControllerNotice struct {
	// Holder is the sender's name as the holder of the lease, and Control the
	// address at which other processes reach it.
	Holder  string `json:"holder"`
	Control string `json:"control"`
	// LeaseOffset is the offset of the sender's newest lease record.
	LeaseOffset state.Offset `json:"at"`
	// LeaseEpoch is the epoch of the log in which LeaseOffset is valid.
	LeaseEpoch uint64 `json:"epoch,omitempty"`
}

// Handler holds the callbacks for notices from other gateways.
type Handler struct {
	Sent       func(SentNotice)
	Controller func(ControllerNotice)
}

const (
	methodSent       = "upstream.sent"
	methodController = "controller.acts"
	// queueSize is how many notices may wait to be sent.
	queueSize = 128
	// maxDatagram is the size of the receive buffer in bytes. Longer datagrams
	// are cut.
	maxDatagram = 2 << 10
	// MaxPeers bounds the gateways that receive each notice.
	MaxPeers = 32
)

// Exchange sends and receives notices. Its methods may be called from any
// goroutine.
type Exchange struct {
	conn   net.PacketConn
	logger *slog.Logger
	queue  chan []byte
	peers  atomic.Pointer[[]net.Addr]
	// dropped counts the notices that were dropped because the queue was full.
	dropped atomic.Int64
}

// New returns an exchange that sends and receives on conn.
func New(conn net.PacketConn, logger *slog.Logger) *Exchange {
	e := &Exchange{conn: conn, logger: logger, queue: make(chan []byte, queueSize)}
	e.peers.Store(&[]net.Addr{})
	return e
}

// SetPeers sets the addresses of the other gateways, the most important first.
// It logs and skips invalid addresses, and keeps the first MaxPeers of the
// others.
func (e *Exchange) SetPeers(addresses []string) {
	peers := make([]net.Addr, 0, min(len(addresses), MaxPeers))
	for _, address := range addresses {
		addr, err := netip.ParseAddrPort(address)
		if err != nil {
			e.logger.Warn("peer address invalid", "address", address, "error", err)
			continue
		}
		if len(peers) < MaxPeers {
			peers = append(peers, net.UDPAddrFromAddrPort(addr))
		}
	}
	e.peers.Store(&peers)
}

// NotifySent queues a notice to all peers of a prompt that was sent to an
// upstream. It never blocks, and drops the notice if the queue is full.
func (e *Exchange) NotifySent(n SentNotice) { e.enqueue(methodSent, n) }

// Announce queues a notice to all peers that this process is the controller. It
// never blocks, and drops the notice if the queue is full.
func (e *Exchange) Announce(n ControllerNotice) { e.enqueue(methodController, n) }

func (e *Exchange) enqueue(method string, params any) {
	datagram, err := encode(method, params)
	if err != nil {
		e.logger.Error("notice not sent", "method", method, "error", err)
		return
	}
	select {
	case e.queue <- datagram:
	default:
		if n := e.dropped.Add(1); n%queueSize == 1 {
			e.logger.Warn("notices dropped", "total", n)
		}
	}
}

// Run sends and receives notices until ctx ends, and then closes the
// connection.
func (e *Exchange) Run(ctx context.Context, handler Handler) {
	defer context.AfterFunc(ctx, func() { _ = e.conn.Close() })()
	go e.sendQueued(ctx)
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := e.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				e.logger.Error("notice receiver stopped", "error", err)
			}
			return
		}
		if err := handler.dispatch(buffer[:n]); err != nil {
			e.logger.Warn("notice ignored", "error", err)
		}
	}
}

func (e *Exchange) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case datagram := <-e.queue:
			for _, peer := range *e.peers.Load() {
				// Errors are ignored: a notice may be lost, and a peer that is
				// gone is removed from the list.
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

// dispatch decodes a datagram and calls the handler for its notice. It returns
// an error if the datagram is not a valid notice.
func (h Handler) dispatch(datagram []byte) error {
	var req jsonrpc2.Request
	if err := json.Unmarshal(datagram, &req); err != nil {
		return errors.Wrap(err, "decode notice")
	}
	if !req.Notif || req.Params == nil {
		return errors.Errorf("message %q is not a notification with parameters", req.Method)
	}
	switch req.Method {
	case methodSent:
		var n SentNotice
		if err := json.Unmarshal(*req.Params, &n); err != nil {
			return errors.Wrap(err, "decode notice")
		}
		if n.Upstream == "" || n.ExpectedPrefill < 0 || n.Held < 0 {
			return errors.New("sent notice lacks an upstream or has a negative time or size")
		}
		h.Sent(n)
	case methodController:
		var n ControllerNotice
		if err := json.Unmarshal(*req.Params, &n); err != nil {
			return errors.Wrap(err, "decode notice")
		}
		if n.Holder == "" || n.Control == "" || n.LeaseOffset < 0 {
			return errors.New("controller notice lacks a holder or control address, or has a negative offset")
		}
		h.Controller(n)
	default:
		return errors.Errorf("unknown notice method %q", req.Method)
	}
	return nil
}
