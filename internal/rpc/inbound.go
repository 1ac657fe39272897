package rpc

import (
	"bufio"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxAnswerSize bounds an answer in bytes, both on the wire and decompressed. The
	// longest known ones are an explanation with 3,000 upstreams (1 MB), a page of the log
	// (1 MiB) and the rows of a query; the longest that gateways poll has 128 KB.
	maxAnswerSize = 16 << 20
	// firstBuffer is the size of the buffer for the first part of a message.
	firstBuffer = 512
	// messageTimeout bounds the time of a message from its header to its last byte.
	messageTimeout = 30 * time.Second

	// callCost is the memory of a call beyond its message: two goroutines and the answer.
	callCost = 8 << 10
	// flateCost is the memory of a decompressor.
	flateCost = 48 << 10
	// byteCost is how often a message is held while it is decoded.
	byteCost = 3
	// elementCost is the memory of an element of an array in a request beyond its bytes: it
	// is decoded into a struct of up to 208 bytes, and can be given by two bytes. Params have
	// no maps, so that other values take no memory beyond that of the element they are in.
	elementCost = 256
	// valueCost is the memory of any value in an answer, which jsonrpc2 decodes into maps
	// and slices before it is decoded into its type.
	valueCost = 64
)

// errTooLong is returned for a message over the limit of its kind.
var errTooLong = errors.New("message is too long")

// MemoryBudget is implemented by connections that bound the memory of the messages read
// from them.
type MemoryBudget interface {
	// Hold charges memory until it is released, or returns an error if there is no room.
	Hold(bytes int64) error
	Release(bytes int64)
	// InMessage says whether a part of a message has been read.
	InMessage(yes bool)
	// RefuseMessage counts a message that is longer than its limit.
	RefuseMessage()
}

// unbounded is the budget of other connections.
type unbounded struct{}

func (unbounded) Hold(int64) error { return nil }
func (unbounded) Release(int64)    {}
func (unbounded) InMessage(bool)   {}
func (unbounded) RefuseMessage()   {}

// inbound reads the messages of a connection. Only the goroutine that reads it uses the
// fields below budget.
type inbound struct {
	conn   net.Conn
	limit  int
	server bool
	budget MemoryBudget
	// held is what the last message is charged, and params those of the last request.
	held   int64
	params json.RawMessage
}

func newInbound(conn net.Conn, limit int, server bool) *inbound {
	in := &inbound{conn: conn, limit: limit, server: server, budget: unbounded{}}
	if budget, ok := conn.(MemoryBudget); ok {
		in.budget = budget
	}
	return in
}

// take returns the params of the last request, and what it is charged, which the caller has
// to release.
func (in *inbound) take() (params json.RawMessage, held int64) {
	params, held = in.params, in.held
	in.params, in.held = nil, 0
	return params, held
}

func (in *inbound) hold(n int64) error {
	if err := in.budget.Hold(n); err != nil {
		return err
	}
	in.held += n
	return nil
}

func (in *inbound) release(n int64) {
	in.held -= n
	in.budget.Release(n)
}

// readMessage reads and decodes one message. What it is charged is released if that fails, and
// with the next message unless it is taken.
func (in *inbound) readMessage(stream *bufio.Reader, v any) error {
	in.release(in.held)
	err := in.readFrame(stream, v)
	if err != nil {
		in.release(in.held)
	}
	if errors.Is(err, errTooLong) {
		in.budget.RefuseMessage()
	}
	return err
}

func (in *inbound) readFrame(stream *bufio.Reader, v any) error {
	header, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	length, compressed := header>>lengthShift, header&compressedFlag != 0
	if length > uint64(in.limit) {
		return errors.Wrapf(errTooLong, "%d bytes", length)
	}
	if in.conn != nil && uint64(stream.Buffered()) < length {
		_ = in.conn.SetReadDeadline(time.Now().Add(messageTimeout))
		in.budget.InMessage(true)
		defer func() {
			in.budget.InMessage(false)
			_ = in.conn.SetReadDeadline(time.Time{})
		}()
	}
	data, err := in.readData(stream, length, compressed)
	if err != nil {
		return err
	}
	return in.decode(data, v)
}

// readData reads, and decompresses, what follows the header of a frame.
func (in *inbound) readData(stream *bufio.Reader, length uint64, compressed bool) (data []byte, err error) {
	limited := &io.LimitedReader{R: stream, N: int64(length)}
	if compressed {
		if err := in.hold(flateCost); err != nil {
			return nil, err
		}
		data, err = in.readAll(flate.NewReader(limited), in.limit)
		in.release(flateCost)
	} else if data, err = in.readAll(limited, int(length)); err == nil && limited.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	// The decompressor may stop before the end of the message; skip the rest, so that the
	// next read begins at the next frame.
	_, err = io.Copy(io.Discard, limited)
	return data, err
}

// readAll reads at most limit bytes into a buffer that grows with what has arrived. Each
// buffer is charged before it is allocated.
func (in *inbound) readAll(r io.Reader, limit int) ([]byte, error) {
	var data []byte
	for {
		if len(data) > limit {
			return nil, errTooLong
		}
		if old := cap(data); len(data) == old {
			size := min(max(2*old, firstBuffer), limit+1)
			if err := in.hold(int64(size)); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
			in.release(int64(old))
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// decode decodes a message into v. Of a request, v receives only the method and the id: the
// params, which can be long, are decoded once, into the type that the method takes.
func (in *inbound) decode(data []byte, v any) error {
	if !in.server {
		elements, others := countValues(data, maxDepth)
		if err := in.hold(int64(len(data)*byteCost + (elements+others)*valueCost)); err != nil {
			return err
		}
		return json.Unmarshal(data, v)
	}
	if err := in.hold(callCost + int64(len(data))*byteCost); err != nil {
		return err
	}
	type header struct {
		ID     json.RawMessage `json:"id,omitempty"`
		Method string          `json:"method"`
	}
	var request struct {
		header
		Params json.RawMessage `json:"params"`
	}
	if err := json.Unmarshal(data, &request); err != nil {
		return err
	}
	method := request.Method
	if method == "" {
		return errors.New("message is no request")
	}
	if len(method) > maxNameSize || len(request.ID) > maxNameSize || len(request.Params) > paramsLimit(method) {
		return errTooLong
	}
	elements, _ := countValues(request.Params, decodedDepth(method))
	if err := in.hold(int64(elements * elementCost)); err != nil {
		return err
	}
	in.params = request.Params
	rest, err := json.Marshal(request.header)
	if err != nil {
		return err
	}
	return json.Unmarshal(rest, v)
}

// countValues returns about how many elements of arrays and how many other values a JSON text
// has down to a depth.
func countValues(data []byte, depth int) (elements, others int) {
	var inArray []bool // for each level
	text := false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case text && c == '\\':
			i++
		case c == '"':
			text = !text
		case text:
		case c == '{' || c == '[':
			inArray = append(inArray, c == '[')
			if len(inArray) <= depth {
				others++
			}
		case (c == '}' || c == ']') && len(inArray) > 0:
			inArray = inArray[:len(inArray)-1]
		case c != ',' || len(inArray) == 0 || len(inArray) > depth:
		case inArray[len(inArray)-1]:
			elements++
		default:
			others++
		}
	}
	return elements, others
}
