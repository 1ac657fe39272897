package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// pingInterval is the time between pings of an entry.
	pingInterval = time.Second
	// pingTimeout bounds a ping; a later answer counts as none.
	pingTimeout = 900 * time.Millisecond
)

// peerTable knows the other entries of the region.
type peerTable struct {
	cfg     controlConfig
	entries *membership.Entries
	ring    *membership.Ring
	ringSum uint64
	live    []state.EntryName
	control map[state.EntryName]string
	pinged  time.Time
	// held keeps the addresses that were published; it is replaced, never
	// changed.
	held map[state.EntryName]string
}

func newPeerTable(cfg controlConfig, settings membership.Settings) peerTable {
	t := peerTable{
		cfg:     cfg,
		entries: membership.NewEntries(cfg.name, settings),
		control: make(map[state.EntryName]string),
	}
	for _, peer := range cfg.peers {
		if peer.Name != cfg.name {
			t.control[peer.Name] = peer.Control
		}
	}
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

// learn adds entries that another one knows.
func (t *peerTable) learn(peers ...rpc.Peer) {
	for _, peer := range peers {
		if peer.Name == t.cfg.name || peer.Control == "" || t.control[peer.Name] == peer.Control {
			continue
		}
		t.control[peer.Name] = peer.Control
		t.held = nil
	}
}

func (t *peerTable) peersHash() uint64 {
	names := make([]state.EntryName, 0, len(t.control)+1)
	for name, address := range t.addresses() {
		names = append(names, name+"="+state.EntryName(address))
	}
	slices.Sort(names)
	return namesHash(names)
}

func (t *peerTable) list() []rpc.Peer {
	all := make([]rpc.Peer, 0, len(t.control)+1)
	for name, address := range t.addresses() {
		all = append(all, rpc.Peer{Name: name, Control: address})
	}
	slices.SortFunc(all, func(a, b rpc.Peer) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
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

// pingPeers keeps the picture of the region's entries.
func (c *control) pingPeers(ctx context.Context, now time.Time) {
	live := c.peers.entries.Live(now)
	if !slices.Equal(live, c.peers.live) {
		c.deps.logger.Info("live entries of the region changed", "entries", len(live))
		c.peers.setLive(live)
		c.loseHomes()
		c.dirty = true
	}
	if now.Sub(c.peers.pinged) < pingInterval {
		return
	}
	c.peers.pinged = now
	own := c.ownPing()
	for name, address := range c.peers.control {
		c.start(ctx, c.pingCommand(name, address, own))
	}
}

func (c *control) ownPing() rpc.PingParams {
	return rpc.PingParams{
		From:        c.cfg.name,
		Incarnation: c.cfg.self.Incarnation,
		Config:      c.config.Offset(),
		Region:      c.region.Offset(),
		Leaving:     c.leaving,
		Control:     c.cfg.address,
		PeersHash:   c.peers.peersHash(),
	}
}

func (c *control) pingCommand(name state.EntryName, address string, own rpc.PingParams) command {
	return func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, pingTimeout)
		defer cancel()
		var answer rpc.PingResult
		if err := c.deps.caller.Call(ctx, address, rpc.MethodPing, own, &answer); err != nil {
			return nil
		}
		if answer.From != name {
			// The address now belongs to another entry.
			return nil
		}
		return pingAnswered{answer: answer}
	}
}

// pingAnswered is the answer to an own ping.
type pingAnswered struct{ answer rpc.PingResult }

func (e pingAnswered) apply(c *control, now time.Time) {
	before, known := c.peers.entries.Peer(e.answer.From)
	if known && before.Incarnation != e.answer.Incarnation {
		// The entry has restarted and knows nothing as a home.
		c.agents.Forget(e.answer.From)
	}
	c.peers.entries.Answered(e.answer, now)
	c.peers.learn(e.answer.Peers...)
}

// pingReceived is a ping of another entry.
type pingReceived struct {
	ping  rpc.PingParams
	reply chan rpc.PingResult
}

func (e pingReceived) apply(c *control, now time.Time) {
	c.peers.entries.Pinged(e.ping, now)
	c.peers.learn(rpc.Peer{Name: e.ping.From, Control: e.ping.Control})
	answer := c.ownPing()
	if answer.PeersHash != e.ping.PeersHash {
		answer.Peers = c.peers.list()
	}
	e.reply <- answer
}

func addressesHash(addresses []string) uint64 {
	return contentHash(strings.Join(addresses, "\x00"), nil)
}
