package bench

import "time"

// naive is the version to compare with: first in, first out, round robin over
// ready replicas, a load on the first miss of each entry, up to three retries
// and no budgets.
type naive struct {
	*world
	turn    []int
	waiting []map[int][]*request
	loading []map[int]bool
	queues  [][]naiveJob
	tries   map[*request]int
}

type naiveJob struct {
	r *request
}

const naiveKeepAlive = 5 * time.Minute

func newNaive(w *world) *naive {
	n := &naive{world: w, turn: make([]int, w.size.models), queues: make([][]naiveJob, len(w.ups)), tries: make(map[*request]int)}
	for range w.size.entries {
		n.waiting = append(n.waiting, make(map[int][]*request))
		n.loading = append(n.loading, make(map[int]bool))
	}
	w.every(10*time.Second, n.unloadIdle)
	return n
}

func (n *naive) arrive(r *request) {
	n.after(r.deadline.Sub(n.now)+1, func() { n.end(r, outcomeRefused) })
	n.route(r)
}

func (n *naive) ready(model int) []*upstream {
	var ready []*upstream
	for _, id := range n.grants[model] {
		u := n.ups[id]
		if rep := u.replicas[model]; rep != nil && rep.ready && !u.lost {
			ready = append(ready, u)
		}
	}
	return ready
}

func (n *naive) route(r *request) {
	ready := n.ready(r.model)
	if len(ready) == 0 {
		n.waiting[r.entry][r.model] = append(n.waiting[r.entry][r.model], r)
		n.loadOnMiss(r.entry, r.model)
		return
	}
	n.turn[r.model]++
	u := ready[n.turn[r.model]%len(ready)]
	n.countVolume(r, u)
	u.replicas[r.model].users++
	n.after(n.delay(r.entry, u), func() {
		if u.lost {
			n.retry(r)
			return
		}
		n.queues[u.id] = append(n.queues[u.id], naiveJob{r: r})
		n.pump(u)
	})
}

func (n *naive) countVolume(r *request, u *upstream) {
	if n.remote(r.entry, u) {
		n.result.crossed += r.volume
	}
}

func (n *naive) pump(u *upstream) {
	for len(u.running) < slotsPerRunner && len(n.queues[u.id]) > 0 && !u.lost {
		job := n.queues[u.id][0]
		if !n.naiveAdapter(u, job.r) {
			return
		}
		n.queues[u.id] = n.queues[u.id][1:]
		back := n.delay(job.r.entry, u)
		u.useAdapter(job.r, 1)
		u.run(job.r, func() {
			n.after(back, func() { n.begin(job.r) })
		}, func(ok bool) {
			if rep := u.replicas[job.r.model]; rep != nil {
				rep.users--
			}
			u.useAdapter(job.r, -1)
			if !ok {
				n.after(back, func() { n.retry(job.r) })
				return
			}
			n.after(back, func() { n.end(job.r, outcomeServed) })
			n.pump(u)
		})
	}
	if u.lost {
		for _, job := range n.queues[u.id] {
			n.retry(job.r)
		}
		n.queues[u.id] = nil
	}
}

func (n *naive) retry(r *request) {
	n.tries[r]++
	if n.tries[r] > 3 {
		n.end(r, outcomeFailed)
		return
	}
	n.route(r)
}

// loadOnMiss starts a load for an entry that has none under way.
func (n *naive) loadOnMiss(entry, model int) {
	if n.loading[entry][model] {
		return
	}
	for _, id := range n.grants[model] {
		u := n.ups[id]
		if u.lost || u.replicas[model] != nil || !n.makeRoom(u) {
			continue
		}
		n.loading[entry][model] = true
		u.load(model, func(bool) {
			n.loading[entry][model] = false
			n.flush(model)
		})
		return
	}
	n.loading[entry][model] = true
	n.after(time.Second, func() {
		n.loading[entry][model] = false
		if len(n.waiting[entry][model]) > 0 {
			n.loadOnMiss(entry, model)
		}
	})
}

// makeRoom unloads the least recently used idle replica if needed.
func (n *naive) makeRoom(u *upstream) bool {
	if len(u.replicas) < replicasPerRunner {
		return true
	}
	var oldest *replica
	for _, rep := range u.replicas {
		if !rep.ready || rep.users > 0 {
			continue
		}
		if oldest == nil || rep.lastUsed.Before(oldest.lastUsed) || rep.lastUsed.Equal(oldest.lastUsed) && rep.model < oldest.model {
			oldest = rep
		}
	}
	if oldest == nil {
		return false
	}
	u.unload(oldest.model)
	return true
}

func (n *naive) flush(model int) {
	for entry := range n.waiting {
		queue := n.waiting[entry][model]
		n.waiting[entry][model] = nil
		for _, r := range queue {
			n.route(r)
		}
	}
}

func (n *naive) unloadIdle() {
	for _, u := range n.ups {
		for model, rep := range u.replicas {
			if rep.ready && rep.users == 0 && n.now.Sub(rep.lastUsed) >= naiveKeepAlive {
				u.unload(model)
			}
		}
	}
}
