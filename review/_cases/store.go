package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's store: keyed topics with conditional
// appends, long reads and the newest record of each key.
type store struct {
	addr string

	mu     sync.Mutex
	topics map[string]*topic
	// down says that the store answers each call with 503.
	down bool
}

type topic struct {
	records [][]byte
	newest  map[string]int
	values  map[string][]byte
	changed chan struct{}
}

func startStore() *store {
	s := &store{topics: map[string]*topic{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /lagoonvalve/log-append", s.handleAppend)
	mux.HandleFunc("GET /lagoonvalve/log-read", s.handleRead)
	mux.HandleFunc("GET /lagoonvalve/log-newest", s.handleNewest)
	go func() { _ = http.Serve(l, s.unlessDown(mux)) }()
	return s
}

// unlessDown answers with 503 while the store is down: nothing was done.
func (s *store) unlessDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// topic returns a topic; the lock is held.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}, values: map[string][]byte{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	t.records = append(t.records, append(content, value...))
	if len(value) == 0 {
		delete(t.newest, key)
		delete(t.values, key)
	} else {
		t.newest[key], t.values[key] = len(t.records)-1, value
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a key as the operator and the runners do. Its return is the store's
// confirmation.
func (s *store) put(name, key string, value any) {
	var encoded []byte
	if value != nil {
		var err error
		encoded, err = json.Marshal(value)
		must(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(key, encoded)
}

// leaseHolder returns the host in the newest lease record.
func (s *store) leaseHolder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var record struct{ Host string }
	_ = json.Unmarshal(s.topic("keyed.lease").values["controller"], &record)
	return record.Host
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	content := body[4:]
	key := string(content[1 : 1+content[0]])
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": len(t.records)})
		return
	}
	t.add(key, content[1+len(key):])
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": len(t.records) - 1, "end": len(t.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	changed, end := t.changed, len(t.records)
	s.mu.Unlock()
	if from >= end {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, content := range t.records[min(from, len(t.records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
		out = append(out, content...)
	}
	_, _ = w.Write(out)
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, at := range t.newest {
		items = append(items, item{key, base64.StdEncoding.EncodeToString(t.values[key]), at})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": len(t.records)})
}
