package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// queryTimeout bounds the wait for the other entries' part of a query.
	queryTimeout = 2 * time.Second
	// gatheredCells bounds the cells that an entry gathers for a query. A cell
	// takes 40 B and its text, so that they stay well below the 256 MB that a
	// daemon may use.
	gatheredCells = 1_000_000
)

// source gives the tables that queries read. It implements oplang.Source.
type source struct {
	entry *Entry
	// statement is the query, for the other entries.
	statement string
}

// sourceTable is a table and where its rows come from.
type sourceTable struct {
	columns []oplang.Column
	// everywhere says that each entry has a part of the rows.
	everywhere bool
	rows       func(source, context.Context) [][]oplang.Value
	// fromAudit says that the region's audit stream is read for the rows.
	fromAudit bool
	// once gives rows that only the entry that was asked adds.
	once func(source, context.Context) [][]oplang.Value
}

func text(name string) oplang.Column { return oplang.Column{Name: name} }
func count(name string) oplang.Column {
	return oplang.Column{Name: name, Kind: oplang.KindInt, Sum: true}
}
func number(name string) oplang.Column { return oplang.Column{Name: name, Kind: oplang.KindInt} }
func size(name string) oplang.Column {
	return oplang.Column{Name: name, Kind: oplang.KindBytes, Sum: true}
}
func duration(name string) oplang.Column { return oplang.Column{Name: name, Kind: oplang.KindDuration} }
func instant(name string) oplang.Column  { return oplang.Column{Name: name, Kind: oplang.KindTime} }
func truth(name string) oplang.Column    { return oplang.Column{Name: name, Kind: oplang.KindBool} }

// sourceTables are the tables after "show".
var sourceTables = map[string]sourceTable{
	"loaded": {
		columns:    []oplang.Column{text("model"), text("version"), text("upstream"), text("host"), text("data_centre"), size("memory"), count("replicas")},
		everywhere: true, rows: source.loaded,
	},
	"replicas": {
		columns:    []oplang.Column{text("model"), text("version"), text("upstream"), text("host"), text("data_centre"), text("state"), text("adapters"), text("home")},
		everywhere: true, rows: source.replicas,
	},
	"waiting": {
		columns:    []oplang.Column{text("model"), text("version"), text("adapter"), text("caller"), text("class"), text("entry"), count("requests")},
		everywhere: true, rows: source.waiting,
	},
	"refused": {
		columns:    []oplang.Column{instant("time"), text("request"), text("caller"), text("model"), text("adapter"), text("class"), text("verdict"), text("reason"), text("upstream"), number("attempts"), text("fingerprint"), text("entry")},
		everywhere: true, rows: source.refused,
	},
	"counts": {
		columns:    []oplang.Column{text("caller"), text("outcome"), text("reason"), count("requests"), instant("from"), instant("to"), text("entry"), text("complete")},
		everywhere: true, rows: source.counts, once: source.endedCounts, fromAudit: true,
	},
	"audit": {
		columns: []oplang.Column{instant("time"), text("actor"), text("action"), text("entity"), text("name"), truth("accepted"), text("reason"), text("before"), text("after"), text("detail"), number("offset")},
		rows:    source.audit, fromAudit: true,
	},
	"claims": {
		columns:    []oplang.Column{number("shard"), text("entry"), count("waiting")},
		everywhere: true, rows: source.claims,
	},
	"grants": {
		columns: []oplang.Column{text("model"), text("version"), text("upstream"), number("grant"), number("epoch"), truth("revoked")},
		rows:    source.grants,
	},
	"upstreams": {
		columns: []oplang.Column{text("name"), text("kind"), text("host"), text("data_centre"), text("region"), size("memory"), text("fencing"), truth("drained"), number("agent"), count("grants")},
		rows:    source.upstreams,
	},
	"hosts": {
		columns: []oplang.Column{text("name"), text("data_centre"), text("state"), truth("drained"), count("upstreams")},
		rows:    source.hosts,
	},
	"models": {
		columns: []oplang.Column{text("name"), text("team"), text("active"), number("min_replicas"), number("max_replicas"), duration("keep_alive"), number("revision")},
		rows:    source.models,
	},
	"versions": {
		columns: []oplang.Column{text("model"), text("name"), size("weights"), size("kv_headroom"), number("revision")},
		rows:    source.versions,
	},
	"adapters": {
		columns: []oplang.Column{text("name"), text("team"), text("model"), size("size"), number("revision")},
		rows:    source.adapters,
	},
	"callers": {
		columns: []oplang.Column{text("name"), text("team"), text("highest"), number("weight"), number("max_in_flight"), number("revision")},
		rows:    source.callers,
	},
	"services": {
		columns: []oplang.Column{text("name"), text("team"), number("calls"), number("revision")},
		rows:    source.services,
	},
}

// Rows implements oplang.Source.
func (s source) Rows(ctx context.Context, q *oplang.Show, now time.Time) (oplang.Table, error) {
	found, ok := sourceTables[q.Table]
	if !ok {
		return oplang.Table{}, verdict.Refuse(verdict.ReasonNotFound, "no such table: "+q.Table)
	}
	if refusal := s.entry.control.view().unready(); refusal != nil {
		return oplang.Table{}, refusal
	}
	var lacks []string
	if found.fromAudit {
		lacks = s.readAudit(ctx, q, now)
	}
	answer, err := q.Filter(oplang.Table{Columns: found.columns, Rows: found.rows(s, ctx)}, now)
	if err != nil {
		return oplang.Table{}, err
	}
	if found.everywhere {
		s.askOthers(ctx, rpc.QueryParams{Table: q.Table, Statement: s.statement, At: now}, &answer)
	}
	answer.Incomplete = append(answer.Incomplete, lacks...)
	if found.once != nil {
		answer.Rows = append(answer.Rows, found.once(s, ctx)...)
	}
	return answer, checkGathered(answer)
}

func checkGathered(answer oplang.Table) error {
	if len(answer.Rows)*len(answer.Columns) > gatheredCells {
		return verdict.Refuse(verdict.ReasonAnswerTooLarge, fmt.Sprintf(
			"the query has to gather more than %d cells; narrow it with where or since", gatheredCells))
	}
	return nil
}

// askOthers adds the other entries' rows, up to one answer beyond the bound,
// and names those that did not answer.
func (s source) askOthers(ctx context.Context, params rpc.QueryParams, answer *oplang.Table) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	columns := answer.Columns
	var mu sync.Mutex
	var wait sync.WaitGroup
	for name, address := range s.entry.control.view().addresses {
		if name == s.entry.control.cfg.name {
			continue
		}
		wait.Go(func() {
			rows, err := s.askOne(ctx, address, params, columns)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				answer.Incomplete = append(answer.Incomplete, string(name))
				return
			}
			if checkGathered(*answer) == nil {
				answer.Rows = append(answer.Rows, rows...)
			}
		})
	}
	wait.Wait()
	slices.Sort(answer.Incomplete)
}

func (s source) askOne(ctx context.Context, address string, params rpc.QueryParams, columns []oplang.Column) ([][]oplang.Value, error) {
	var result rpc.QueryResult
	if err := s.entry.caller.Call(ctx, address, rpc.MethodQuery, params, &result); err != nil {
		return nil, err
	}
	rows := make([][]oplang.Value, 0, len(result.Rows))
	for _, cells := range result.Rows {
		// A later version may have added columns at the end.
		if len(cells) < len(columns) {
			return nil, errors.Errorf("table %s: row of %d columns, want %d", params.Table, len(cells), len(columns))
		}
		row := make([]oplang.Value, 0, len(columns))
		for i, cell := range cells[:len(columns)] {
			value, err := oplang.ParseValue(columns[i].Kind, cell)
			if err != nil {
				return nil, err
			}
			row = append(row, value)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// query answers another entry with this entry's rows of a table.
func (e *Entry) query(ctx context.Context, p rpc.QueryParams) (rpc.QueryResult, error) {
	found, ok := sourceTables[p.Table]
	if !ok || !found.everywhere {
		return rpc.QueryResult{}, verdict.Refuse(verdict.ReasonNotFound, "no such table: "+p.Table)
	}
	if refusal := e.control.view().unready(); refusal != nil {
		return rpc.QueryResult{}, refusal
	}
	rows := found.rows(source{entry: e}, ctx)
	// A statement of another version that this one can't read filters nothing.
	if parsed, err := oplang.Parse(p.Statement); err == nil && parsed.Show != nil && parsed.Show.Table == p.Table {
		if kept, err := parsed.Show.Filter(oplang.Table{Columns: found.columns, Rows: rows}, p.At); err == nil {
			rows = kept.Rows
		}
	}
	var result rpc.QueryResult
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, value := range row {
			cells[i] = value.String()
		}
		result.Rows = append(result.Rows, cells)
	}
	return result, nil
}

// replicaRow is a replica as a home of this entry knows it.
type replicaRow struct {
	rpc.ReplicaAt
	memory state.Bytes
	host   state.HostName
}

// replicasAsked asks for the replicas that the homes of this entry know.
type replicasAsked struct{ reply chan []replicaRow }

func (e replicasAsked) apply(c *control, _ time.Time) {
	config := c.config.View()
	var rows []replicaRow
	for _, h := range c.homes.byKey {
		version, _, _ := config.Version(h.key)
		for name, replica := range h.replicas {
			upstream, _, _ := config.Upstream(name)
			rows = append(rows, replicaRow{ReplicaAt: replica.at, memory: version.Footprint(), host: upstream.Host})
		}
	}
	slices.SortFunc(rows, func(a, b replicaRow) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Upstream, b.Upstream))
	})
	e.reply <- rows
}

func (s source) knownReplicas(ctx context.Context) []replicaRow {
	rows, err := exchangeEvent(ctx, s.entry.control, func(reply chan []replicaRow) event { return replicasAsked{reply} })
	if err != nil {
		return nil
	}
	return rows
}

func (s source) loaded(ctx context.Context) [][]oplang.Value {
	var rows [][]oplang.Value
	for _, r := range s.knownReplicas(ctx) {
		if r.State != state.ReplicaReady {
			continue
		}
		rows = append(rows, []oplang.Value{
			oplang.Text(r.Model), oplang.Text(r.Version), oplang.Text(r.Upstream), oplang.Text(r.host),
			oplang.Text(r.DataCentre), oplang.Size(r.memory), oplang.Int(1),
		})
	}
	return rows
}

func (s source) replicas(ctx context.Context) [][]oplang.Value {
	var rows [][]oplang.Value
	for _, r := range s.knownReplicas(ctx) {
		rows = append(rows, []oplang.Value{
			oplang.Text(r.Model), oplang.Text(r.Version), oplang.Text(r.Upstream), oplang.Text(r.host),
			oplang.Text(r.DataCentre), oplang.Text(r.State), oplang.Text(joinNames(r.Adapters)), oplang.Text(s.entry.cfg.Name),
		})
	}
	return rows
}

func (s source) waiting(context.Context) [][]oplang.Value {
	var rows [][]oplang.Value
	s.entry.gateway.routes.each(func(r *route) {
		for group, n := range r.room.groups() {
			rows = append(rows, []oplang.Value{
				oplang.Text(cmp.Or(r.target.key.Model, state.ModelName(r.target.String()))), oplang.Text(r.target.key.Version),
				oplang.Text(group.adapter), oplang.Text(group.caller), oplang.Text(group.class.String()),
				oplang.Text(s.entry.cfg.Name), oplang.Int(n),
			})
		}
	})
	return rows
}

func (s source) refused(context.Context) [][]oplang.Value {
	var rows [][]oplang.Value
	s.entry.ledger.each(func(e ended) {
		if e.outcome == audit.Served {
			return
		}
		rows = append(rows, []oplang.Value{
			oplang.Time(e.at), oplang.Text(e.id), oplang.Text(e.caller), oplang.Text(e.target), oplang.Text(e.adapter),
			oplang.Text(e.class.String()), oplang.Text(e.verdict.Execution.String()), oplang.Text(e.verdict.Reason),
			oplang.Text(e.upstream), oplang.Int(e.attempts), oplang.Text(fingerprintText(e.fingerprint)), oplang.Text(s.entry.cfg.Name),
		})
	})
	return rows
}

func (s source) counts(context.Context) [][]oplang.Value {
	window := s.entry.ledger.counts.Total(time.Now())
	var rows [][]oplang.Value
	for _, r := range window.Rows {
		rows = append(rows, countRow(r, window.From, window.To, s.entry.cfg.Name, "running"))
	}
	return rows
}

func (s source) audit(context.Context) [][]oplang.Value {
	var rows [][]oplang.Value
	for _, a := range s.entry.trail.Recent(time.Time{}, ledgerSize) {
		rows = append(rows, []oplang.Value{
			oplang.Time(a.Time), oplang.Text(a.Actor), oplang.Text(a.Action), oplang.Text(a.Entity), oplang.Text(a.Name),
			oplang.Bool(a.Accepted), oplang.Text(a.Reason), oplang.Text(string(a.Before)), oplang.Text(string(a.After)),
			oplang.Text(a.Detail), oplang.Int(a.Offset),
		})
	}
	return rows
}

func (s source) claims(ctx context.Context) [][]oplang.Value {
	var rows [][]oplang.Value
	for shard, waiting := range s.entry.shards.waiting(ctx) {
		rows = append(rows, []oplang.Value{oplang.Int(shard), oplang.Text(s.entry.cfg.Name), oplang.Int(waiting)})
	}
	return rows
}
