package main

import (
	"context"
	"fmt"
	"io"
	"time"
)

func init() { cases["lapsed-in-an-outage"] = lapsedInAnOutage }

const (
	// outage is how long the store is down, and lapseAfter when the entry of a
	// runner that can't write is removed: three heartbeats.
	outage     = 8 * time.Second
	lapseAfter = 3 * heartbeat
	// backWithin is when the runners have registered again after the store's
	// return; the pages say "within about two seconds".
	backWithin = 1900 * time.Millisecond
	// calm is contactMs, after which the store counts as stable, and settle the
	// time from the new manifest to the first request: contactMs and configApplyMs.
	calm   = 4 * time.Second
	settle = 7 * time.Second
	// judged is how long requests are counted.
	judged = 25 * time.Second
)

// lapsedInAnOutage takes the store down for some seconds. The entries of the
// runners of one service lapse meanwhile and are back soon after its return. Then
// the operator adds a route to that service.
func lapsedInAnOutage(w *world) int {
	first := route{prefix: "/lookup/", kind: "safe", service: "catalogue", timeoutMs: 1500, aimMs: 200, attempt: 2}
	added := route{prefix: "/plates/", kind: "safe", service: "plates", timeoutMs: 1500, aimMs: 200, attempt: 2}
	w.putManifest(7, []route{first}, "", nil, 0)
	serve := func(x run) { _, _ = io.WriteString(x.w, "found "+x.id) }
	var plates []*runner
	for i := range 3 {
		w.addRunner(fmt.Sprint("i-catalogue-", i), "catalogue", nil, serve)
		plates = append(plates, w.addRunner(fmt.Sprint("i-plates-", i), "plates", nil, serve))
	}
	w.addGateways(6)
	time.Sleep(8 * time.Second)

	if trouble {
		takeDown(w, plates)
	}
	time.Sleep(calm)
	w.putManifest(9, []route{first, added}, "", nil, 0)
	note("the operator has added a route for the service plates")
	time.Sleep(settle)

	c := newConsumers()
	ask := func(prefix string) {
		ctx, stop := context.WithTimeout(context.Background(), judged)
		defer stop()
		c.flow(ctx, 12, w.gateways, func(int) request { return request{path: prefix + "2f", deadlineMs: 3000} })
	}
	go ask(added.prefix)
	ask(first.prefix)
	c.open.Wait()
	asked, shareFirst, shareAdded := c.asked(added.prefix), c.servedShare(first.prefix), c.servedShare(added.prefix)
	for _, g := range w.gateways {
		note("%s: served of the added route: %.2f", g.name, c.servedShareAt(added.prefix, g.name))
	}
	note("%s", c.summary())
	note("requests on the added route: %d; served of the first route: %.2f, of the added one: %.2f", asked, shareFirst, shareAdded)
	if shareFirst < 0.9 {
		cannotRun("the first route isn't served either")
	}
	// The rule: 20 or more requests on routes that were added later, served less
	// than a quarter as often as those on the first routes.
	if asked >= 20 && shareAdded < shareFirst/4 {
		return broken
	}
	return held
}

// takeDown takes the store down. The entries of the given runners lapse meanwhile,
// and the runners register again after its return.
func takeDown(w *world, lapse []*runner) {
	for _, r := range lapse {
		r.setSilent(true)
	}
	w.store.setDown(true)
	note("the store is down")
	time.Sleep(lapseAfter)
	for _, r := range lapse {
		w.store.put("keyed.servers", r.id, nil)
	}
	note("the entries of the runners of plates have lapsed")
	time.Sleep(outage - lapseAfter)
	w.store.setDown(false)
	note("the store is back")
	time.Sleep(backWithin)
	for _, r := range lapse {
		r.setSilent(false)
		r.register()
	}
	note("the runners of plates have registered again")
}
