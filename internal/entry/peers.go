package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// peerTable knows the other entries of the region.
type peerTable struct {
	cfg      controlConfig
	settings membership.DetectorSettings
	detector *membership.Detector
	// version is the detector's at the last refresh.
	version uint64
	ring    *membership.Ring
	ringSum uint64
	live    []state.EntryName
	control map[state.EntryName]string
	// runs holds the last known process of each entry.
	runs map[state.EntryName]string
	// held keeps the addresses that were published; it is replaced, never
	// changed.
	held map[state.EntryName]string
}

func newPeerTable(cfg controlConfig, now time.Time) peerTable {
	self := membership.Update{
		Name: cfg.name, Control: cfg.address, Run: membership.RunID(cfg.self.Incarnation), Incarnation: uint64(now.UnixMilli()),
	}
	detectorSettings := membership.DefaultDetectorSettings()
	t := peerTable{
		cfg:      cfg,
		settings: detectorSettings,
		detector: membership.NewDetector(self, detectorSettings, rand.New(rand.NewPCG(cfg.seed, uint64(len(cfg.peers))))),
		control:  make(map[state.EntryName]string),
		runs:     make(map[state.EntryName]string),
	}
	for _, peer := range cfg.peers {
		t.detector.Seed(peer.Name, peer.Control)
	}
	t.refreshControl()
	t.setLive([]state.EntryName{cfg.name})
	return t
}

func (t *peerTable) setLive(live []state.EntryName) {
	t.live = live
	t.ring = membership.NewRing(live)
	t.ringSum = namesHash(live)
}

func namesHash(names []state.EntryName) uint64 {
	text := make([]string, len(names))
	for i, name := range names {
		text[i] = string(name)
	}
	return contentHash(strings.Join(text, "\x00"), nil)
}

// addresses returns the control addresses of all known entries, the own one
// included.
func (t *peerTable) addresses() map[state.EntryName]string {
	if t.held == nil {
		t.held = make(map[state.EntryName]string, len(t.control)+1)
		for name, address := range t.control {
			t.held[name] = address
		}
		t.held[t.cfg.name] = t.cfg.address
	}
	return t.held
}

// refreshControl takes over the addresses that the detector knows and reports
// whether any differs.
func (t *peerTable) refreshControl() bool {
	control := make(map[state.EntryName]string, len(t.control))
	for _, peer := range t.detector.Members() {
		control[peer.Name] = peer.Control
	}
	if maps.Equal(control, t.control) {
		return false
	}
	t.control = control
	t.held = nil
	return true
}

// restarted returns the entries whose process has been replaced since the last
// call.
func (t *peerTable) restarted() []state.EntryName {
	var names []state.EntryName
	for _, peer := range t.detector.Members() {
		if peer.Run == "" {
			continue
		}
		if old, ok := t.runs[peer.Name]; ok && old != peer.Run {
			names = append(names, peer.Name)
		}
		t.runs[peer.Name] = peer.Run
	}
	maps.DeleteFunc(t.runs, func(name state.EntryName, _ string) bool {
		_, known := t.detector.Member(name)
		return !known
	})
	return names
}

// process reports whether the last known process of the entry is id, and its
// state.
func (t *peerTable) process(id state.ProcessID) (membership.Health, bool) {
	peer, known := t.detector.Member(state.EntryName(id.Name))
	return peer.Health, known && peer.Run == membership.RunID(id.Incarnation)
}

// liveAddresses returns the control addresses of the live entries.
func (t *peerTable) liveAddresses() []string {
	addresses := t.addresses()
	live := make([]string, 0, len(t.live))
	for _, name := range t.live {
		live = append(live, addresses[name])
	}
	return live
}

// probePeers keeps the picture of the region's entries.
func (c *control) probePeers(ctx context.Context, now time.Time) {
	probes := c.peers.detector.Tick(now)
	c.refreshPeers()
	for _, probe := range probes {
		to := probe.Target
		if probe.Through != "" {
			to = probe.Through
		}
		question := c.peers.detector.PingRequest(to)
		if probe.Through != "" {
			question.Target = probe.Target
		}
		c.start(ctx, c.pingCommand(pingCall{to: to, address: c.peers.control[to], question: question}))
	}
}

// refreshPeers takes over what has changed in the detector's picture.
func (c *control) refreshPeers() {
	if c.peers.version == c.peers.detector.Version() {
		return
	}
	c.peers.version = c.peers.detector.Version()
	if c.peers.refreshControl() {
		c.dirty = true
	}
	for _, name := range c.peers.restarted() {
		// The entry has restarted and knows nothing as a home.
		c.agents.ResendToHome(name)
	}
	if live := c.peers.detector.Live(); !slices.Equal(live, c.peers.live) {
		c.deps.logger.Info("live entries of the region changed", "entries", len(live))
		c.peers.setLive(live)
		c.loseHomes()
		c.dirty = true
	}
}

// pingCall is a ping to send.
type pingCall struct {
	to       state.EntryName
	address  string
	question rpc.Ping
}

func (c *control) pingCommand(call pingCall) command {
	return func(ctx context.Context) event {
		answer, err := c.sendPing(ctx, call)
		if err != nil {
			return nil
		}
		reached := call.to
		if call.question.Target != "" {
			reached = call.question.Target
		}
		return pingAnswered{reached: reached, answer: answer}
	}
}

// sendPing waits for an answer as long as it can change the judgement.
func (c *control) sendPing(ctx context.Context, call pingCall) (rpc.Ping, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*c.peers.settings.Timeout)
	defer cancel()
	var answer rpc.Ping
	if err := c.deps.caller.Call(ctx, call.address, rpc.MethodPing, call.question, &answer); err != nil {
		return answer, err
	}
	if answer.From != call.to {
		return answer, errors.Errorf("the address of entry %s now belongs to %s", call.to, answer.From)
	}
	return answer, nil
}

// pingAnswered is the answer to an own ping.
type pingAnswered struct {
	reached state.EntryName
	answer  rpc.Ping
}

func (e pingAnswered) apply(c *control, now time.Time) {
	c.peers.detector.Receive(now, e.answer)
	c.peers.detector.Answered(e.reached)
}

// pingReceived is a ping of another entry.
type pingReceived struct {
	ping  rpc.Ping
	reply chan pingReply
}

// pingReply is the answer to a ping and, if the ping asks for it, the ping to
// send before.
type pingReply struct {
	answer rpc.Ping
	before pingCall
}

func (e pingReceived) apply(c *control, now time.Time) {
	c.peers.detector.Receive(now, e.ping)
	reply := pingReply{answer: c.peers.detector.PingResponse(e.ping)}
	if target := e.ping.Target; target != "" {
		reply.before = pingCall{to: target, address: c.peers.control[target], question: c.peers.detector.PingRequest(target)}
	}
	e.reply <- reply
}

// ping answers a ping of another entry. With a target it answers only after the
// target has answered.
func (c *control) ping(ctx context.Context, ping rpc.Ping) (rpc.Ping, error) {
	reply, err := exchangeEvent(ctx, c, func(reply chan pingReply) event { return pingReceived{ping: ping, reply: reply} })
	if err != nil || ping.Target == "" {
		return reply.answer, err
	}
	answer, err := c.sendPing(ctx, reply.before)
	if err != nil {
		return rpc.Ping{}, err
	}
	c.post(ctx, pingAnswered{reached: ping.Target, answer: answer})
	return reply.answer, nil
}

func addressesHash(addresses []string) uint64 {
	return contentHash(strings.Join(addresses, "\x00"), nil)
}
