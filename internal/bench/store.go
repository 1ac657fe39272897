package bench

import "time"

// store is the weight store: it starts 3 loads a second and runs 4 at full
// speed; more share that speed. Adapters have a store of their own.
type store struct {
	w     *world
	speed float64
	// spacing is the least time between two starts.
	spacing time.Duration
	// atOnce is how many transfers run at full speed.
	atOnce    float64
	transfers []*transfer
	updated   time.Time
	nextStart time.Time
	round     int
}

type transfer struct {
	left float64
	done func()
}

const (
	storeStarts = 3
	storeAtOnce = 4
)

func (s *store) fetch(work time.Duration, done func()) {
	start := s.nextStart
	if start.Before(s.w.now) {
		start = s.w.now
	}
	s.nextStart = start.Add(s.spacing)
	s.w.after(start.Sub(s.w.now), func() {
		s.advance()
		s.transfers = append(s.transfers, &transfer{left: work.Seconds(), done: done})
		s.schedule()
	})
}

func (s *store) rate() float64 {
	return s.speed * min(1, s.atOnce/float64(max(len(s.transfers), 1)))
}

func (s *store) advance() {
	progress := s.w.now.Sub(s.updated).Seconds() * s.rate()
	s.updated = s.w.now
	for _, t := range s.transfers {
		t.left -= progress
	}
}

// schedule plans the next end of a transfer; an earlier plan is void.
func (s *store) schedule() {
	s.round++
	round := s.round
	if len(s.transfers) == 0 {
		return
	}
	next := s.transfers[0].left
	for _, t := range s.transfers {
		next = min(next, t.left)
	}
	wait := time.Duration(max(next, 0)/s.rate()*float64(time.Second)) + time.Nanosecond
	s.w.after(wait, func() {
		if round == s.round {
			s.complete()
		}
	})
}

func (s *store) complete() {
	s.advance()
	var done []func()
	kept := s.transfers[:0]
	for _, t := range s.transfers {
		if t.left <= 1e-8 {
			done = append(done, t.done)
		} else {
			kept = append(kept, t)
		}
	}
	s.transfers = kept
	s.schedule()
	for _, f := range done {
		f()
	}
}
