package rpc

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// codeVerdict marks a jsonrpc2 error whose data is a verdict.
const codeVerdict = -32050

// maxEncoding bounds the answers that are being encoded. Only what is sent is charged.
const maxEncoding = 2

// discardLog keeps jsonrpc2 from logging a line for each connection that ends while
// calls are in progress; the callers get those errors.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// MethodFunc handles the calls of one method.
type MethodFunc func(ctx context.Context, params json.RawMessage) (any, error)

// Method returns a MethodFunc that decodes the params and calls f.
func Method[P, R any](f func(ctx context.Context, params P) (R, error)) MethodFunc {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, params)
	}
}

// Server serves jsonrpc2 calls on the connections of a listener.
type Server struct {
	// Counter counts the bytes of the connections if not nil. It must be set
	// before Serve is called.
	Counter ByteCounter
	methods map[string]MethodFunc
	// encoding has an element for each answer that is being encoded.
	encoding chan struct{}

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
	closed bool
}

// NewServer returns a server for the given methods, by name.
func NewServer(methods map[string]MethodFunc) *Server {
	return &Server{methods: methods, encoding: make(chan struct{}, maxEncoding), conns: make(map[*jsonrpc2.Conn]struct{})}
}

// Serve accepts and serves connections until ctx ends, then closes them all.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.closeAll()
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	in := newInbound(conn, maxParamsSize+envelopeSize, true)
	counted := countBytes(conn, s.Counter)
	stream := jsonrpc2.NewBufferedStream(counted, FrameCodec{in})
	peer := jsonrpc2.NewConn(ctx, stream, &connHandler{server: s, in: in, out: counted}, discardLog)
	s.conns[peer] = struct{}{}
	go func() {
		<-peer.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, peer)
		s.mu.Unlock()
	}()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	s.closed = true
	peers := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for peer := range s.conns {
		peers = append(peers, peer)
	}
	s.mu.Unlock()
	for _, peer := range peers {
		_ = peer.Close()
	}
}

// connHandler handles the requests of a connection, each in a goroutine of its own, and writes
// the answers.
type connHandler struct {
	server *Server
	in     *inbound
	out    net.Conn
	// writing is held while an answer is encoded and written, so that a connection whose
	// peer doesn't read has one encoded answer at most.
	writing sync.Mutex
}

// Handle implements jsonrpc2.Handler. What the request is charged is released with its end, and
// the rest once its answer has been written.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	params, held := h.in.take()
	go func() {
		defer h.in.budget.Release(callCost)
		result, err := h.server.handle(ctx, req.Method, params)
		h.in.budget.Release(held - callCost)
		if req.Notif {
			return
		}
		h.writing.Lock()
		defer h.writing.Unlock()
		if ctx.Err() == nil && h.answer(req.ID, result, err) != nil {
			_ = conn.Close()
		}
	}()
}

// answer writes an answer. The lock for writing is held.
func (h *connHandler) answer(id jsonrpc2.ID, result any, err error) error {
	frame, err := h.server.encode(id, result, err)
	if err != nil {
		return err
	}
	if err := h.in.budget.Hold(int64(len(frame))); err != nil {
		return err
	}
	defer h.in.budget.Release(int64(len(frame)))
	_, err = h.out.Write(frame)
	return err
}

// encode returns the frame of an answer. Few are encoded at a time.
func (s *Server) encode(id jsonrpc2.ID, result any, failure error) ([]byte, error) {
	s.encoding <- struct{}{}
	defer func() { <-s.encoding }()
	resp := &jsonrpc2.Response{ID: id}
	if failure == nil {
		failure = resp.SetResult(result)
	}
	if failure != nil && !errors.As(failure, &resp.Error) {
		resp.Error = &jsonrpc2.Error{Message: failure.Error()}
	}
	return encodeFrame(resp)
}

func (s *Server) handle(ctx context.Context, name string, params json.RawMessage) (any, error) {
	method, ok := s.methods[name]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + name}
	}
	result, err := method(ctx, params)
	if err != nil {
		return nil, encodeError(err)
	}
	return result, nil
}

// encodeError returns err as a jsonrpc2 error. One that is not yet a jsonrpc2 error
// carries the verdict of err as its data.
func encodeError(err error) error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
	}
	v := verdict.Of(err)
	out := &jsonrpc2.Error{Code: codeVerdict, Message: v.Error()}
	out.SetError(v)
	return out
}
