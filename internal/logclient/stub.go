package logclient

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// WriterConfig configures a Writer.
type WriterConfig struct {
	// Delay is how long a record waits for others to share its append;
	// default 50 ms. A negative value means no delay.
	Delay time.Duration
	// MaxBatch and MaxBatchBytes bound an append; default 500 records and
	// 1 MiB.
	MaxBatch      int
	MaxBatchBytes int
	// AppendsPerSecond and AppendBurst are the append budget of the process
	// over all streams; default 20 and 5.
	AppendsPerSecond float64
	AppendBurst      int
	// MaxBuffered and MaxBufferedBytes bound what waits over all streams;
	// default 10,000 records and 16 MiB.
	MaxBuffered      int
	MaxBufferedBytes int
	// Settle is how long after its sending an append may still take effect;
	// only then is a record that the log does not show sent again. It must
	// exceed the log client's timeout. Default 10 s.
	Settle time.Duration
}

// Writer appends records in batches. It implements Appender.
type Writer struct{}

// NewWriter returns a writer to log. Records wait until Run is called.
func NewWriter(log platform.Log, cfg WriterConfig) *Writer { return nil }

// Append queues records, which become neighbours in one append, and returns
// their offsets once they are stored.
//
// If ctx ends first, the error wraps platform.ErrUnavailable if the records
// were not stored and never will be, otherwise platform.ErrUnknownOutcome.
func (w *Writer) Append(ctx context.Context, stream platform.Stream, records ...state.Record) ([]state.Offset, error) {
	return nil, ErrStopped
}

// Run sends appends until ctx ends.
func (w *Writer) Run(ctx context.Context) error { return nil }

// Tail reads stream from offset from on and hands its pages to handle, each
// offset once and in order. A page may be empty; it then tells the caller that
// it has read up to page.End. Tail returns the error of handle, a
// *TruncatedError or the context's error.
func Tail(ctx context.Context, log platform.Log, stream platform.Stream, from state.Offset, opts TailOptions,
	handle func(page platform.Page) error,
) error {
	return nil
}

// RelayConfig configures a Relay.
type RelayConfig struct {
	// Window and WindowBytes bound what is kept of each stream; default
	// 20,000 records and 16 MiB.
	Window      int
	WindowBytes int
	// AppendTimeout bounds an append for another process; default 3 s. It
	// must be shorter than the Settle of the other processes' writers.
	AppendTimeout time.Duration
	// Tail configures the reading from the log.
	Tail TailOptions
}

// Relay keeps the recent part of streams in memory and answers reads from it.
// It implements platform.Log.
type Relay struct{}

// NewRelay returns a relay of streams of log. Appends of other processes go
// through appender. Reads of other streams go to the log.
func NewRelay(log platform.Log, appender Appender, cfg RelayConfig, streams ...platform.Stream) *Relay {
	return nil
}

// Run follows the streams until ctx ends.
func (r *Relay) Run(ctx context.Context) error { return nil }

// Append implements platform.Log.
func (r *Relay) Append(ctx context.Context, stream platform.Stream, records []state.Record) (state.Offset, error) {
	return state.NoOffset, ErrStopped
}

// Read implements platform.Log. Offsets older than the window, and reads
// without wait, are answered by the log.
func (r *Relay) Read(ctx context.Context, stream platform.Stream, from state.Offset, limit int, wait time.Duration) (platform.Page, error) {
	return platform.Page{}, ErrStopped
}

// Methods returns the handlers of rpc.MethodRelayRead and
// rpc.MethodRelayAppend.
func (r *Relay) Methods() map[string]rpc.MethodFunc { return nil }

// RelayClient reads and appends through the relays of entries. It implements
// platform.Log.
type RelayClient struct{}

// NewRelayClient returns a client that tries the addresses that entries
// returns, in their order but for the one that answered last, which is tried
// first while it is listed.
func NewRelayClient(caller rpc.Caller, entries func() []string) *RelayClient { return nil }

// Append implements platform.Log.
func (c *RelayClient) Append(ctx context.Context, stream platform.Stream, records []state.Record) (state.Offset, error) {
	return state.NoOffset, ErrStopped
}

// Read implements platform.Log.
func (c *RelayClient) Read(ctx context.Context, stream platform.Stream, from state.Offset, limit int, wait time.Duration) (platform.Page, error) {
	return platform.Page{}, ErrStopped
}

// Snapshot is a complete snapshot of a stream's tables.
type Snapshot struct {
	Set string
	// Covered is the last offset whose effect Data holds.
	Covered state.Offset
	Data    []byte
}

// SnapshotRecords splits data into snapshot records of at most 64 KiB each.
// newID makes record ids.
func SnapshotRecords(writer state.ProcessID, newID func() string, covered state.Offset, data []byte) ([]state.Record, error) {
	return nil, nil
}

// WriteSnapshot appends a snapshot to stream, one part after the other.
func WriteSnapshot(ctx context.Context, appender Appender, stream platform.Stream, records []state.Record) error {
	return nil
}

// SnapshotReader puts snapshots together from the records of a stream.
type SnapshotReader struct{}

// NewSnapshotReader returns a reader for a process that has applied the
// stream up to have; older snapshots are ignored.
func NewSnapshotReader(have state.Offset) *SnapshotReader { return nil }

// Add takes a record of any kind. It returns a snapshot if the record
// completes one that is newer than all before.
func (r *SnapshotReader) Add(record state.Positioned) (Snapshot, bool) { return Snapshot{}, false }

// LatestSnapshot reads all that the log has of stream and returns the newest
// complete snapshot that covers more than have; ok is false if there is none.
func LatestSnapshot(ctx context.Context, log platform.Log, stream platform.Stream, have state.Offset) (snapshot Snapshot, ok bool, err error) {
	return Snapshot{}, false, nil
}
