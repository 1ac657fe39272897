package rpc

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// deflateFrom is the length from which a message is compressed. Shorter
	// ones gain little and stay readable on the wire.
	deflateFrom = 512
	// maxMessage bounds a message as sent and as decompressed. The largest
	// one, a snapshot of the tables at 12,000 upstreams, has 3.3 MB.
	maxMessage = 64 << 20
	// The lowest bit of a frame's header says whether the message is
	// compressed; the other bits are its length.
	deflated  = 1
	lengthBit = 1
)

var deflaters = sync.Pool{New: func() any {
	// The only error is that of an unknown level.
	w, _ := flate.NewWriter(io.Discard, flate.DefaultCompression)
	return w
}}

// FrameCodec is the form of messages between processes. It puts a varint in
// front of each message in place of the Content-Length header, which takes 23
// bytes, and compresses long messages.
type FrameCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (FrameCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	var flag uint64
	if len(data) >= deflateFrom {
		if data, err = deflate(data); err != nil {
			return err
		}
		flag = deflated
	}
	frame := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64), uint64(len(data))<<lengthBit|flag)
	if _, err := stream.Write(frame); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (FrameCodec) ReadObject(stream *bufio.Reader, v any) error {
	header, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	length := header >> lengthBit
	if length > maxMessage {
		return errors.Errorf("message of %d bytes", length)
	}
	limited := &io.LimitedReader{R: stream, N: int64(length)}
	var body io.Reader = limited
	if header&deflated != 0 {
		body = io.LimitReader(flate.NewReader(limited), maxMessage)
	}
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return err
	}
	// The next frame begins after whatever the decoders did not need.
	_, err = io.Copy(io.Discard, limited)
	return err
}

func deflate(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
