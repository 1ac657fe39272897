//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's store: a log with keyed topics, as PROTOCOL.md says.
type store struct {
	listener net.Listener

	mu     sync.Mutex
	topics map[string]*topic
	// era counts how often the store has come back as an older copy of itself, and away is
	// until when it does not answer.
	era  int
	away time.Time
}

type topic struct {
	records []record
	changed chan struct{}
}

type record struct {
	at    time.Time
	key   string
	value []byte
}

func startStore() *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &store{listener: l, topics: map[string]*topic{}}
	go func() { _ = http.Serve(l, s) }()
	return s
}

func (s *store) addr() string { return s.listener.Addr().String() }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator and the runners do; a nil value drops the key.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).add(record{time.Now(), key, value})
}

func (t *topic) add(r record) {
	t.records = append(t.records, r)
	close(t.changed)
	t.changed = make(chan struct{})
}

// rewind makes the store come back as a copy that is some seconds old, after a moment.
func (s *store) rewind(age, away time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = time.Now().Add(away)
	s.era++
	for _, t := range s.topics {
		for len(t.records) > 0 && time.Since(t.records[len(t.records)-1].at) < age {
			t.records = t.records[:len(t.records)-1]
		}
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := time.Now().Before(s.away)
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/lagoonvalve/log-append":
		s.append(w, r)
	case "/lagoonvalve/log-read":
		s.read(w, r)
	case "/lagoonvalve/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end":%d}`, len(t.records))
		return
	}
	first := len(t.records)
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		content := body[4 : 4+n]
		t.add(record{time.Now(), string(content[1 : 1+content[0]]), content[1+content[0]:]})
		body = body[4+n:]
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, first, len(t.records))
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
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
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if from > len(t.records) {
		w.WriteHeader(http.StatusGone)
		_, _ = io.WriteString(w, `{"first":0}`)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range t.records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	last := map[string]int{}
	for i, r := range t.records {
		last[r.key] = i
		if len(r.value) == 0 {
			delete(last, r.key)
		}
	}
	items := []item{}
	for key, at := range last {
		items = append(items, item{key, base64.StdEncoding.EncodeToString(t.records[at].value), at})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": len(t.records)})
}
