package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// PathHostsSet is the path that sets or removes a host.
const PathHostsSet = "/v1/hosts/set"

// Hosts is a host list that lags. It implements platform.HostList.
type Hosts struct {
	switches[HostsFaults]

	mu       sync.Mutex
	versions []hostsVersion
}

// hostsVersion is the list from a time on.
type hostsVersion struct {
	since time.Time
	hosts map[state.HostName]platform.HostInfo
}

// NewHosts returns a list that shows hosts at once and later changes after
// lag.
func NewHosts(lag time.Duration, hosts ...platform.HostInfo) *Hosts {
	first := hostsVersion{hosts: make(map[state.HostName]platform.HostInfo)}
	for _, host := range hosts {
		first.hosts[host.Name] = host
	}
	list := &Hosts{versions: []hostsVersion{first}}
	list.SetFaults(HostsFaults{Lag: state.Duration(lag)})
	return list
}

// Set adds or replaces a host.
func (h *Hosts) Set(host platform.HostInfo) {
	h.change(func(hosts map[state.HostName]platform.HostInfo) { hosts[host.Name] = host })
}

// Remove takes a host off the list.
func (h *Hosts) Remove(name state.HostName) {
	h.change(func(hosts map[state.HostName]platform.HostInfo) { delete(hosts, name) })
}

func (h *Hosts) change(f func(map[state.HostName]platform.HostInfo)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.versions[len(h.versions)-1]
	next := hostsVersion{since: time.Now(), hosts: make(map[state.HostName]platform.HostInfo, len(last.hosts)+1)}
	for name, host := range last.hosts {
		next.hosts[name] = host
	}
	f(next.hosts)
	h.versions = append(h.versions, next)
}

// Hosts implements platform.HostList.
func (h *Hosts) Hosts(context.Context) ([]platform.HostInfo, error) {
	faults := h.Faults()
	if faults.Outage {
		return nil, errors.Wrap(platform.ErrUnavailable, "host list outage")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	shown := 0
	limit := time.Now().Add(-faults.Lag.Std())
	for i, version := range h.versions {
		if !version.since.After(limit) {
			shown = i
		}
	}
	list := make([]platform.HostInfo, 0, len(h.versions[shown].hosts))
	for _, host := range h.versions[shown].hosts {
		list = append(list, host)
	}
	slices.SortFunc(list, func(a, b platform.HostInfo) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list, nil
}

// hostsSet is the body of a change over HTTP.
type hostsSet struct {
	Host platform.HostInfo `json:"host"`
	Gone bool              `json:"gone,omitempty"`
}

// ServeHTTP implements http.Handler.
func (h *Hosts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathFaults:
		h.serveFaults(w, r)
	case PathHostsSet:
		h.serveSet(w, r)
	case platform.PathHosts:
		list, err := h.Hosts(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, platform.HostsResponse{Hosts: list})
	default:
		http.NotFound(w, r)
	}
}

func (h *Hosts) serveSet(w http.ResponseWriter, r *http.Request) {
	var change hostsSet
	if !readJSON(w, r, &change) {
		return
	}
	if change.Gone {
		h.Remove(change.Host.Name)
	} else {
		h.Set(change.Host)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
