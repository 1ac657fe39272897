package rpc

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"
)

const (
	// minCompressedSize is the length in bytes from which a message is
	// compressed. Shorter ones gain little and stay readable on the wire.
	minCompressedSize = 512
	// The lowest bit of a frame's header says whether the message is
	// compressed; the other bits are its length on the wire.
	compressedFlag = 1
	lengthShift    = 1
)

var flateWriters = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid compression level.
	w, _ := flate.NewWriter(io.Discard, flate.DefaultCompression)
	return w
}}

// FrameCodec frames the messages between processes: a varint header with the
// length, then the JSON, which is compressed if it is long. The varint stands in
// place of a Content-Length header, which takes 23 bytes.
type FrameCodec struct {
	// in reads the messages of a connection; nil reads messages of any kind that are no
	// longer than an answer may be.
	in *inbound
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (FrameCodec) WriteObject(stream io.Writer, obj any) error {
	frame, err := encodeFrame(obj)
	if err != nil {
		return err
	}
	_, err = stream.Write(frame)
	return err
}

// encodeFrame returns a message with its header.
func encodeFrame(obj any) ([]byte, error) {
	data, err := json.Marshal(obj)
	if err != nil {
		return nil, err
	}
	var flag uint64
	if len(data) >= minCompressedSize {
		if data, err = compress(data); err != nil {
			return nil, err
		}
		flag = compressedFlag
	}
	frame := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(data)), uint64(len(data))<<lengthShift|flag)
	return append(frame, data...), nil
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (f FrameCodec) ReadObject(stream *bufio.Reader, v any) error {
	if f.in == nil {
		f.in = newInbound(nil, maxAnswerSize, false)
	}
	return f.in.readMessage(stream, v)
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
