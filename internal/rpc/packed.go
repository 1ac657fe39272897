package rpc

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// maxPackedSize bounds the length in bytes of unpacked entries. A result has up to 128 of
// them, which take less than 0.2 MB with ten models each.
const maxPackedSize = 2 << 20

// PackUpstreams encodes entries for ResidencyResult.Packed.
func PackUpstreams(entries []UpstreamResidency) ([]byte, error) {
	data, err := json.Marshal(entries)
	if err != nil {
		return nil, err
	}
	return compress(data)
}

// Unpack moves the entries of Packed to Upstreams.
func (r *ResidencyResult) Unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Packed)), maxPackedSize+1))
	if err != nil {
		return errors.Wrap(err, "packed entries")
	}
	if len(data) > maxPackedSize {
		return errors.Errorf("packed entries of over %d bytes", maxPackedSize)
	}
	if err := json.Unmarshal(data, &r.Upstreams); err != nil {
		return errors.Wrap(err, "packed entries")
	}
	r.Packed = nil
	return nil
}
