// Package state holds the entities, tables and log records of the system and
// the rules by which records take effect. It is pure: it uses no network, no
// clock and no logger.
package state

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Names of entities. A name is unique within its kind.
type (
	// TeamName names a team that shares the platform.
	TeamName string
	// ModelName names a model.
	ModelName string
	// VersionName names a version of a model.
	VersionName string
	// AdapterName names an adapter of a model.
	AdapterName string
	// CallerName names a caller (a customer).
	CallerName string
	// ServiceName names a plain service.
	ServiceName string
	// UpstreamName names an upstream: a model runner, an application runner
	// or an instance of a plain service.
	UpstreamName string
	// HostName names a host.
	HostName string
	// DataCentre names a data centre.
	DataCentre string
	// Region names a region, a group of data centres about 1 ms apart.
	Region string
	// EntryName names an entry daemon.
	EntryName string
)

// Bytes is an amount of memory or data in bytes.
type Bytes int64

// Binary multiples of Bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// Offset is the place of a record in a stream of the log. Offsets grow by at
// least one from record to record and are never reused.
type Offset int64

// NoOffset is the offset of a record that does not exist.
const NoOffset Offset = -1

// Epoch is the term of a decider: the offset of its lease.take record.
type Epoch = Offset

// FencingToken orders the agents of an upstream: the offset of the agent's
// agent.start record.
type FencingToken = Offset

// Revision counts the accepted changes of an entity. Zero means that the
// entity does not exist.
type Revision uint64

// Duration is a time.Duration that reads and writes as text such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "parse duration")
	}
	*d = Duration(parsed)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

var byteUnits = []struct {
	suffix string
	size   Bytes
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// ParseBytes reads a size such as "16GiB", "512MiB" or "100B".
func ParseBytes(text string) (Bytes, error) {
	for _, unit := range byteUnits {
		number, ok := cutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		value, err := strconv.ParseInt(number, 10, 64)
		if err != nil || value < 0 || value > int64(1<<62)/int64(unit.size) {
			return 0, errors.Errorf("size %q: want a whole number before %s", text, unit.suffix)
		}
		return Bytes(value) * unit.size, nil
	}
	return 0, errors.Errorf("size %q: want a unit of B, KiB, MiB or GiB", text)
}

func cutSuffix(text, suffix string) (string, bool) {
	if len(text) <= len(suffix) || text[len(text)-len(suffix):] != suffix {
		return "", false
	}
	return text[:len(text)-len(suffix)], true
}

// String writes b in the largest unit that divides it.
func (b Bytes) String() string {
	for _, unit := range byteUnits {
		if b != 0 && b%unit.size == 0 {
			return strconv.FormatInt(int64(b/unit.size), 10) + unit.suffix
		}
	}
	return "0B"
}

// TransferTime returns how long b takes at a rate in bytes per second; zero if there
// is no rate.
func (b Bytes) TransferTime(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(b) / perSecond * float64(time.Second))
}

// MarshalText implements encoding.TextMarshaler.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(text []byte) error {
	parsed, err := ParseBytes(string(text))
	if err != nil {
		return err
	}
	*b = parsed
	return nil
}

// ProcessID names one run of a process.
type ProcessID struct {
	// Name is the entry's or the upstream's name.
	Name string `json:"name"`
	// Incarnation is unique to this run.
	Incarnation string `json:"incarnation"`
}

// Record is one record of the log as its writer made it.
type Record struct {
	// ID is a UUID, unique to this record; appends of unknown outcome are
	// resolved by looking for it.
	ID     string          `json:"id"`
	Writer ProcessID       `json:"writer"`
	Kind   Kind            `json:"kind"`
	Body   json.RawMessage `json:"body"`
}

// StoredRecord is a record at its place in a stream.
type StoredRecord struct {
	Offset Offset `json:"offset"`
	// Time is when the log stored the record, by the log's clock.
	Time time.Time `json:"time"`
	Record
}
