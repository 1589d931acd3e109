// Package policy decides which server gets each request, and when a request is sent again, rejected or failed.
//
// New takes the settings, a seed and a Host; then call the one method for each thing that happens, in order,
// and with the clock. It keeps no clock and starts nothing. docs/design.md tells what follows the paper.
package policy

import (
	"cmp"
	"fawnglade/internal/classdelay"
	"fawnglade/internal/estimates"
	"fawnglade/internal/ewma"
	"fawnglade/internal/idletimeout"
	"fawnglade/internal/keyfreq"
	"fawnglade/internal/quota"
	"fawnglade/internal/rendezvous"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	recalculate = time.Second          // the design's longest time between two recalculations
	settling    = 3                    // recalculations through which a rising server still sits at the mean
	floorPart   = 20                   // w is at least the mean over this
	farAway     = 6                    // w of a server in another zone is pushed up by this
	learn       = 1.0 / 12             // part of a new value in a server's running means
	highest     = 0.95                 // the quantile of answer times by which a server is judged
	overrun     = 1.5                  // what an attempt that timed out would have taken, over what it had
	smallest    = 0.25                 // part of the mean work that a request counts for at least
	nearest     = 0.1                  // the quantile that tells the way to a zone from the work
	forget      = 0.5                  // part of what answers showed that still counts a second later
	odd         = 3                    // an answer counts for at most this multiple of what its peers show
	failed      = 0.25                 // running part of failures that puts a server out of the draw
	coldSafety  = 0.75                 // part of its fair part that a cold server gets, to err on the low side
	surely      = 8                    // requests that a warm server surely does at a time
	copyPart    = 0.1                  // hedged requests for each request
	least       = 4                    // servers that a node draws from at least, and a further one
	carries     = 8.0                  // for so many requests a second
	sharers     = 16                   // nodes that draw from a server at least
	chill       = 4                    // times its breadth of cold servers, or each send opens a connection
	evenAt      = 0.4                  // where the worst class weighs so much, what work earns favours none
	probeEach   = 32                   // requests for which a server is probed
	shortIdle   = recalculate * 3 / 10 // a connection used so lately is not dead
	voices      = 3                    // that a server fails a class, within about two seconds
	grain       = 4                    // ticks of silence that tell nothing: the node may have stood still
	jam         = 2.5                  // answer times over the work at which the fleet is jammed
	inNeed      = 0.7                  // if the worst class also fares no better
	longJam     = 9                    // seconds of it after which a node gives up all requests for a while, once
	restFor     = recalculate * 5
	window      = 32 // servers of which one is drawn at most, so that no fleet costs more

	listCookie, tickCookie, firstTask = 0, 1, 2
)

type handOff struct {
	server                 *server
	sentAt                 Time
	gap                    time.Duration // gap: for how long its connection had been idle
	crowd, cost, predicted float64
	wait, alone            float64 // for which its kinds wait anywhere; its time alone at the server
	zone, pod              int     // where its server stood: by now it may be listed elsewhere, or nowhere
	open, mayHaveRun       bool
	blamed, home, dead     bool // home: of its key; dead: its connection was taken for one that died idle
}

type task struct {
	Request
	category     *Class
	limit, soft  Time // the last moments at which an answer still earns, and in full
	handOffs     []handOff
	open, crowds int // attempts out; what one counts for at its server
	cookie       uint64
	over, beyond bool // beyond: its tenant's share
	kinds        classdelay.Pair
	key          uint64
	homes        int // servers that its key is at home at; 0 where its work does not go by it
}

// standing is what a server showed of late in one class.
type standing struct {
	failing, n, told float64 // running part of failures; fading counts: over which, who say so
	unfit            bool
	retryAfter       time.Duration
	retryAt, toldAt  Time // toldAt: when this instance said so
}

type server struct {
	EndpointInfo
	rank       uint64
	near, home bool // this node draws from it; it is one of that key's homes
	left       bool // the list lacks it, and it has not failed since
	standing   []standing
	usedAt     Time // last use of a connection to it, 0: none

	estimates.EndpointEstimates
	recalculate, risingFrom Time       // recalculate: when next, if no report comes before
	sends, out, turned      int        // since the last report; out now; rejected in a row
	most                    int        // out at once since its idle connections were last closed
	pod                     *ewma.Pair // the same of its pod, as one server is heard of once in many seconds
	credit                  float64    // attempts that it has earned while cold
	silentFrom, fullTill    Time
}

// Balancer is one instance of the decisions.
type Balancer struct {
	set     Settings
	host    Effects
	draws   *rand.Rand
	cookies uint64
	started bool
	askWait time.Duration
	until   Time // until: by when the request being drawn for is to be answered

	tasks         map[RequestID]*task
	waking        map[uint64]*task
	of            []estimates.ClassEstimates
	shares        quota.Quotas
	copies, rate  float64 // hedged requests that may still go out; requests a second
	arrived, asks int     // requests since the last tick, and ever

	servers []*server // by rank
	byID    map[EndpointID]*server
	estimates.FleetEstimates
	failing, warmth     float64 // part of failures of all; work of a request at its key's home, over that elsewhere
	idle                idletimeout.Estimator
	jammed, breadth     int       // seconds for which all have been late; how many servers to draw from
	toldIdle, restTo    Time      // when that was told; until when this node gives the fleet a rest
	cameAt              Time      // when a request came last
	near, chilly, drawn []*server // those; of these the cold ones; who takes part in the draw
	keys                keyfreq.Counter
	lags                *classdelay.Tracker
	wait, active        float64   // for which the request being drawn waits anywhere, because of its kind; servers
	homes               []*server // of the key of the request being drawn, the first by rank first
	weights             []float64
}

// New makes an instance that knows nothing but its settings.
func New(settings Settings, seed uint64, host Effects) *Balancer {
	p := &Balancer{
		set: settings, host: host, draws: rand.New(rand.NewPCG(seed, 1)), cookies: firstTask,
		tasks: map[RequestID]*task{}, waking: map[uint64]*task{}, byID: map[EndpointID]*server{}, idle: idletimeout.New(),
		warmth: 1, shares: quota.New(settings.TenantShares),
	}
	p.FleetEstimates = estimates.FleetEstimates{HighLatency: 2, Pods: map[int]*ewma.Pair{}, ZoneDelay: map[int]float64{}}
	p.lags = classdelay.New(len(settings.Classes), len(settings.TenantShares))
	for _, c := range settings.Classes {
		p.lags.AddObjective(int64(c.LatencyObjective))
	}
	p.of = slices.Repeat([]estimates.ClassEstimates{{LatencySpread: 2, SuccessRate: 1, KeptShare: 1}}, len(settings.Classes))
	return p
}

// Estimates is what this instance has learned; it shares memory with it.
func (p *Balancer) Estimates() estimates.Snapshot {
	all := estimates.Snapshot{FleetEstimates: p.FleetEstimates, Classes: p.of, Endpoints: map[uint32]estimates.Endpoint{}}
	for _, s := range p.servers {
		all.Endpoints[uint32(s.ID)] = estimates.Endpoint{EndpointEstimates: s.EndpointEstimates, StartedAt: int64(s.StartedAt)}
	}
	return all
}

// Inherit begins, behind the list, with what the instance before learned of the same processes of servers.
func (p *Balancer) Inherit(all *estimates.Snapshot) {
	p.FleetEstimates.TakeOver(&all.FleetEstimates)
	copy(p.of, all.Classes)
	for _, s := range p.servers {
		if l, had := all.Endpoints[uint32(s.ID)]; had && Time(l.StartedAt) == s.StartedAt {
			s.EndpointEstimates = l.EndpointEstimates
		}
	}
}

// EndpointsUpdated takes the server list, or what changed in it.
func (p *Balancer) EndpointsUpdated(now Time, list []EndpointInfo, whole bool) {
	if !p.started {
		p.started = true
		p.host.SetTimer(now.Add(recalculate), tickCookie)
		if p.set.MustPollList {
			p.host.WatchEndpoints()
		}
	}
	if p.askWait = 0; whole {
		for _, s := range p.servers {
			s.leave(p.set.RemovedMayServe)
		}
	}
	for _, l := range list {
		s := p.byID[l.ID]
		if s == nil {
			s = &server{}
			p.byID[l.ID], p.servers = s, append(p.servers, s)
		}
		before := s.State
		if l.StartedAt > s.StartedAt || s.standing == nil {
			before = l.State
			// A new process: what was learned of the old one misleads. Where in its first part it stands is drawn,
			// or hundreds of nodes that earn less than an attempt never warm it, or all give theirs at one moment.
			*s = server{
				out: s.out, near: s.near, credit: p.draws.Float64(), standing: make([]standing, len(p.of)),
				rank: rendezvous.Score(rendezvous.NumberKey(p.set.NodeIndex), uint32(l.ID)),
			}
		}
		if p.Pods[l.Pod] == nil {
			p.Pods[l.Pod] = &ewma.Pair{}
		}
		if s.EndpointInfo, s.pod, s.left = l, p.Pods[l.Pod], false; l.State == StateRemoved {
			s.State = before
			s.leave(p.set.RemovedMayServe)
		}
	}
	slices.SortFunc(p.servers, func(a, b *server) int { return cmp.Compare(b.rank, a.rank) })
	p.choose(now)
}

// leave takes off a server that the list lacks; where that binds nothing and may be untrue, once it fails.
func (s *server) leave(keep bool) {
	if s.left = keep && s.State == StateActive; !s.left {
		s.State = StateRemoved
	}
}

// WatchFailed asks again, after waits that grow but stay well within the time the rules allow.
func (p *Balancer) WatchFailed(now Time) {
	p.askWait = min(max(2*p.askWait, p.set.MaxPollInterval/64), p.set.MaxPollInterval/8)
	p.host.SetTimer(now.Add(p.askWait), listCookie)
}

// RequestArrived takes a new request.
func (p *Balancer) RequestArrived(now Time, arrived Request) {
	c := &p.set.Classes[arrived.Class]
	t := &task{
		Request: arrived, category: c, limit: arrived.Deadline, crowds: 1,
		kinds: p.lags.Of(arrived.Class, arrived.Tenant),
	}
	if arrived.StreamingBody {
		t.crowds = 0 // a server begins it only when all of it has come, and how long that takes is not its doing
	}
	if t.soft = min(t.limit, now.Add(c.LatencyObjective-c.LatencyObjective/64-2*p.set.ClockResolution)); c.LateFraction == 0 {
		t.limit = t.soft
	}
	p.tasks[t.ID] = t
	t.beyond = p.shares.Exceeded(t.Tenant, t.ClientRetry)
	if p.arrived++; p.arrived > int(carries)*p.breadth {
		p.rate = max(p.rate, float64(p.arrived)) // guards against a busy node jamming the few that it starts with
		p.choose(now)
	}
	if p.set.KeyAffinity && t.Key != "" {
		t.key, t.homes = p.keys.Observe(t.Key, len(p.servers))
	}
	p.probe()
	p.earnCold(now, nil, 0)
	p.copies = min(p.copies+copyPart, 4)
	p.send(now, t)
}

func (p *Balancer) cost(t *task) float64 {
	if t.CostHint > 0 {
		return max(float64(t.CostHint), smallest*p.MeanWork) // guards against answers to requests with hardly any work
	}
	return cmp.Or(p.of[t.Request.Class].TypicalWork, p.MeanWork)
}

// send hands the request to a drawn server, or gives it up.
func (p *Balancer) send(now Time, t *task) {
	if s := p.draw(now, t); s != nil {
		p.handTo(now, t, s)
	} else {
		p.giveUp(now, t)
	}
}

func (p *Balancer) handTo(now Time, t *task, s *server) {
	cost, gap := p.cost(t)*p.warm(s), time.Duration(0)
	if s.out == 0 {
		s.silentFrom = now
		if gap = now.Sub(cmp.Or(s.usedAt, now)); int64(gap) > p.idle.Limit {
			gap = 0
			p.release(s)
		}
	}
	s.usedAt = now
	t.handOffs = append(t.handOffs, handOff{
		server: s, zone: s.Zone, pod: s.Pod, sentAt: now, gap: gap,
		home: s.home, wait: t.kinds.Delay(int64(now)), alone: p.ZoneDelay[s.Zone] + cost*s.pod.Level()*s.Latency.Level(),
		crowd: float64(s.out), predicted: float64(p.predict(s, cost)), cost: cost, open: true,
	})
	t.open++
	t.kinds.CountInFlight(int64(now), 1)
	if now >= s.recalculate { // no report came for the design's longest time
		s.RisePerSend, s.sends, s.recalculate = 0, 0, now.Add(recalculate)
	}
	s.out += t.crowds
	s.most = max(s.most, s.out)
	s.sends++
	s.Load += s.RisePerSend
	s.credit -= max(p.relative(cost), 1)
	p.host.Send(t.ID, s.ID, t.limit.Sub(now))
	if after := p.patience(s, cost); cost > 0 && t.open == 1 && !t.StreamingBody && now.Add(after) < t.limit.Add(-(after/2)) {
		if t.cookie == 0 {
			t.cookie, p.cookies = p.cookies, p.cookies+1
			p.waking[t.cookie] = t
		}
		p.host.SetTimer(now.Add(after), t.cookie)
	}
}

// release closes what is idle to a server.
func (p *Balancer) release(s *server) {
	s.usedAt, s.most = 0, s.out
	p.host.CloseIdle(s.ID)
}

// mayDecline tells whether a client may be told that asking again does no harm.
func mayDecline(now Time, t *task) bool {
	all := t.category.Idempotency == IdempotentByKey && t.category.DedupGroup == DedupFleet
	return t.category.Idempotency == Idempotent || !slices.ContainsFunc(t.handOffs, func(h handOff) bool {
		return (h.open || h.mayHaveRun) && !(all && now.Sub(h.sentAt) < t.category.DedupWindow)
	})
}

// giveUp answers at once: a reject where asking again does no harm, else a failure.
func (p *Balancer) giveUp(now Time, t *task) {
	if t.kinds.CountGivenUp(); t.kinds.Delay(int64(now)) < float64(t.category.LatencyObjective)/2 { // else others yield in vain
		p.of[t.Request.Class].RecordResult(false)
	}
	if mayDecline(now, t) {
		p.host.Reject(t.ID, min(p.set.MaxRetryAfter, t.category.LatencyObjective/4))
	} else {
		p.host.Fail(t.ID)
	}
	p.end(t)
}

// end recalls what is still out for a request that has its answer, and forgets it once nothing is.
func (p *Balancer) end(t *task) {
	t.over = true
	for i := range t.handOffs {
		if t.handOffs[i].open && p.set.MayCancel {
			p.host.Cancel(t.ID, i)
		}
	}
	delete(p.waking, t.cookie)
	if t.open == 0 {
		delete(p.tasks, t.ID)
	}
}

// AttemptEnded takes the end of an attempt.
func (p *Balancer) AttemptEnded(now Time, a AttemptResult) {
	if s := p.byID[a.Endpoint]; s != nil {
		p.report(now, s, &a.Report)
	}
	t := p.tasks[a.Request]
	if t == nil || a.Attempt < 0 || a.Attempt >= len(t.handOffs) || !t.handOffs[a.Attempt].open {
		return
	}
	h := &t.handOffs[a.Attempt]
	s := h.server
	h.open, h.mayHaveRun = false, a.Outcome != OutcomeRejected && a.Outcome != OutcomeConnectFailed && a.Outcome != OutcomeNotSent
	t.open--
	s.out -= t.crowds
	t.kinds.CountInFlight(int64(now), -1)
	switch o := a.Outcome; {
	case o == OutcomeReset || o == OutcomeConnectFailed || p.set.StreamsPerConnection < 2 && (o == OutcomeTimedOut || o == OutcomeCanceled):
		s.usedAt = 0 // its connection went with it
	case s.usedAt > 0:
		s.usedAt = now
	}
	p.judge(now, t, h, a)
	switch {
	case t.over && t.open == 0:
		delete(p.tasks, t.ID)
	case t.over:
	case a.RequestDone || a.Outcome == OutcomeSucceeded:
		if a.Outcome == OutcomeSucceeded {
			p.of[t.Request.Class].RecordResult(true)
		}
		p.end(t)
	case a.BodyConsumed:
		p.giveUp(now, t)
	case t.open == 0:
		p.send(now, t)
	}
}

// ClientGone takes the news that the client has gone; work still out for it can earn nothing.
func (p *Balancer) ClientGone(_ Time, id RequestID) {
	if t := p.tasks[id]; t != nil && !t.over {
		p.end(t)
	}
}

// TimerFired takes a timer that has come due.
func (p *Balancer) TimerFired(now Time, cookie uint64) {
	switch t := p.waking[cookie]; {
	case cookie == listCookie:
		p.host.WatchEndpoints()
	case cookie == tickCookie:
		p.host.SetTimer(now.Add(recalculate), tickCookie)
		p.age(now)
	case t != nil && t.open == 1:
		p.overdue(now, t, slices.IndexFunc(t.handOffs, func(h handOff) bool { return h.open }))
	}
}

// late tells the request's kinds of an answer that is late by who knows how much, if its connection is not why.
func (p *Balancer) late(now Time, t *task, h *handOff) {
	if !h.dead {
		t.kinds.Observe(int64(now), int64(h.sentAt), math.Inf(1), h.alone)
	}
}

// overdue takes an attempt that should have been answered: its server is judged, and the request sent elsewhere.
func (p *Balancer) overdue(now Time, t *task, number int) {
	h := &t.handOffs[number]
	p.unheard(now, h, OutcomeTimedOut)
	p.late(now, t, h)
	if h.server.silentFrom > h.sentAt && !h.blamed {
		// Guards against servers that leave one class unanswered and serve the others.
		h.blamed = true
		p.mark(now, h.server, t, 1, OutcomeError)
	}
	if again := len(t.handOffs) < p.set.MaxAttempts; p.set.MayHedge && t.category.Idempotency != NonIdempotent {
		if s := p.draw(now, t); s != nil && p.copies >= 1 {
			p.copies--
			p.handTo(now, t, s)
		}
	} else if again && p.set.MayCancel && t.category.Idempotency == Idempotent && h.server.silentFrom <= h.sentAt {
		p.host.Cancel(t.ID, number) // of one that answers others the request is heavy, and would be elsewhere
	}
}

// choose picks whom this node draws from: the first by rank, until enough are warm and fit. Guards against
// many nodes each holding a connection to every server, hearing little of any, and filling their tables.
func (p *Balancer) choose(now Time) {
	p.active = 0
	for _, s := range p.servers {
		if s.State == StateActive {
			p.active++
		}
	}
	want := max(least+p.rate/carries, sharers*p.active/float64(max(p.set.NodeCount, 1)))
	if p.breadth = max(p.breadth, int(want)); want < float64(p.breadth)-1 {
		p.breadth-- // slowly, as connections would be closed and opened again
	}
	p.near, p.chilly = p.near[:0], p.chilly[:0]
	left, extra := p.breadth, p.breadth/2+1
	for _, s := range p.servers {
		was, cold := s.near, p.cold(now, s) < 1
		if s.near = s.State == StateActive && left > 0 && !(cold && len(p.chilly) >= chill*p.breadth); !s.near {
			if was && s.usedAt > 0 && s.out == 0 && p.set.StreamsPerConnection > 1 { // else a key's home is closed each time
				p.release(s)
			}
			continue
		}
		if p.near = append(p.near, s); cold {
			p.chilly = append(p.chilly, s)
		} else if left--; s.shunned(now) && extra > 0 {
			left, extra = left+1, extra-1
		}
	}
}

// shunned tells whether a server is no use for the moment.
func (s *server) shunned(now Time) bool {
	unfit := func(st standing) bool { return st.unfit }
	return now < s.fullTill && s.turned > 1 || slices.ContainsFunc(s.standing, unfit)
}

// cold returns the part of its capacity that a server surely has; 1 when warm.
func (p *Balancer) cold(now Time, s *server) float64 {
	if age := now.Sub(s.StartedAt); s.StartedAt != 0 && age < p.set.SlowStartWindow {
		return p.set.SlowStartMinCapacity + (1-p.set.SlowStartMinCapacity)*float64(max(age, 0))/float64(p.set.SlowStartWindow)
	}
	return 1
}

func (p *Balancer) relative(cost float64) float64 {
	return cmp.Or(cost, p.MeanWork, 1) / cmp.Or(p.MeanWork, cost, 1)
}

// earnCold keeps the books on cold servers: with each request that a warm peer satisfies one earns what it
// surely can do of that even part, and pays for what it is given. Where few are warm arrivals count, not
// to rest all on them; but no more than all nodes may give, or the first servers back are pushed over.
func (p *Balancer) earnCold(now Time, by *server, cost float64) {
	all, sure := len(p.near), math.Inf(1)
	warm := all - len(p.chilly)
	if (by == nil) != (2*warm < all) || by != nil && p.cold(now, by) < 1 {
		return
	}
	if by == nil {
		mean := cmp.Or(p.MeanWork, float64(p.set.Classes[0].LatencyObjective)/4)
		sure = surely * p.active * float64(now-cmp.Or(p.cameAt, now)) / mean / float64(all*max(p.set.NodeCount, 1))
		warm, p.cameAt = all, now
	}
	for _, s := range p.chilly {
		if part := p.cold(now, s); part < 1 && s.credit < 1 {
			part = max(part*(coldSafety+(1-coldSafety)*part), min(2*part, s.Latency.Weight*learn, 1/s.Latency.Level()))
			s.credit = min(1, s.credit+part*min(min(p.relative(cost), 1)/float64(warm), sure))
		}
	}
}

// allowed tells whether rules 2 and 3 let the request go to the server.
func (p *Balancer) allowed(now Time, t *task, s *server) bool {
	if s.State != StateActive || len(t.handOffs) >= p.set.MaxAttempts {
		return false
	}
	for i := range t.handOffs {
		h := &t.handOffs[i]
		if h.open && (!p.set.MayHedge || h.server == s) {
			return false
		}
		if !h.mayHaveRun && !h.open || t.category.Idempotency == Idempotent {
			continue
		}
		if group := t.category.DedupGroup; t.category.Idempotency == NonIdempotent || now.Sub(h.sentAt) >= t.category.DedupWindow ||
			group == DedupPod && h.pod != s.Pod || group == DedupZone && h.zone != s.Zone {
			return false
		}
	}
	return true
}

// inDraw tells who takes part in a request's draw: the fit that will be in time by a high quantile. Where that
// is nobody, the unfit do that this node hears often and has nothing out at: rejecting would help none.
func (p *Balancer) inDraw(now Time, t *task, s *server, nobody bool) bool {
	n := len(t.handOffs)
	if !p.allowed(now, t, s) || now < s.fullTill || n > 0 && t.handOffs[n-1].server == s ||
		s.credit < 1 && p.cold(now, s) < 1 {
		return false
	}
	if st := &s.standing[t.Request.Class]; st.unfit {
		return s.out == 0 && (nobody && s.Latency.Weight*learn >= 1 || now >= st.retryAt && t.category.Idempotency == Idempotent)
	}
	cost := p.cost(t) * p.warm(s)
	if s.out > 0 && s.HasLatency && now.Sub(s.silentFrom) > p.patience(s, max(cost, p.MeanWork)) {
		return false // guards against servers that take requests and answer nothing, and so report no load
	}
	// A miss counts only for itself: a high quantile goes in as far as requests are rejected.
	spread := p.of[t.Request.Class].LatencySpread
	took := float64(p.predict(s, cost*min(spread, 1+(spread-1)*(1-p.worst()))))
	return took+p.wait <= float64(p.allowance(now, t))
}

// predict counts own attempts out double: what draws this node to a server draws its peers too, unseen.
func (p *Balancer) predict(s *server, cost float64) time.Duration {
	unit, crowd := p.expect(s)
	return time.Duration(p.ZoneDelay[s.Zone] + unit*cost*(1+2*float64(s.out))/(1+2*crowd))
}

// expect is the answer time for a unit of work: the fleet's, times what pod and server were over it of late.
func (p *Balancer) expect(s *server) (unit, crowd float64) {
	unit, crowd = p.Fleet.Means(1, 0)
	pod, crowd := s.pod.Means(1, crowd)
	own, crowd := s.Latency.Means(1, crowd)
	return unit * pod * own, crowd
}

// patience is how long an answer may take, by the high quantile of the server or of its fit peers.
func (p *Balancer) patience(s *server, cost float64) time.Duration {
	high := p.HighLatency
	if s.HasLatency && !s.shunned(s.silentFrom) {
		high = min(2*high, s.HighLatency)
	}
	_, crowd := p.expect(s)
	cost *= high * (1 + float64(s.out)) / (1 + min(crowd, float64(s.out)))
	return max(grain*p.set.ClockResolution, time.Duration(2*(p.ZoneDelay[s.Zone]+cost)))
}

// worst is the satisfied part of the class that fares worst.
func (p *Balancer) worst() float64 {
	return slices.MinFunc(p.of, func(a, b estimates.ClassEstimates) int { return cmp.Compare(a.SuccessRate, b.SuccessRate) }).SuccessRate
}

// dues works out which part of its time each class keeps in need, by what its work earns and by the goal.
func (p *Balancer) dues() {
	most, favour := math.SmallestNonzeroFloat64, max(0, 1-p.set.WorstClassWeight/evenAt)
	for i := range p.of {
		c := &p.of[i]
		if c.KeptShare = p.set.Classes[i].PriorityWeight; !p.set.WeightByWork {
			c.KeptShare /= max(c.TypicalWork, p.MeanWork*smallest, 1)
		}
		most = max(most, c.KeptShare)
	}
	for i := range p.of {
		p.of[i].KeptShare = math.Pow(max(p.of[i].KeptShare/most, 0.01), favour)
	}
}

// allowance is the time a prediction may take. What fares better or earns less for its work gives up some.
func (p *Balancer) allowance(now Time, t *task) time.Duration {
	c, worst := &p.of[t.Request.Class], p.worst()
	part := worst / c.SuccessRate * (1 - (1-c.KeptShare)*(1-worst))
	if t.beyond {
		part *= max(worst*worst, p.set.OverQuotaFraction)
	}
	return time.Duration(float64(p.until-now) * part)
}

// draw picks a server with a chance proportional to 1/w among those that take part. Those that will be in
// time for the latency objective come first.
func (p *Balancer) draw(now Time, t *task) *server {
	if now >= t.limit || now < p.restTo {
		return nil
	}
	all, from := p.near, p.near
	if len(t.handOffs) > 0 && t.category.Idempotency == IdempotentByKey {
		all, from = p.servers, p.servers // only a part of all may be left to it
	} else if len(all) > window { // any that stand together by rank, which says nothing of them; if need be all
		at := p.draws.IntN(len(all) - window + 1)
		from = all[at : at+window]
	}
	p.settle(now, t)
	// One in time ends the belief, so it is sought: over all nodes by no more at a time than there are servers.
	if p.wait = t.kinds.Delay(int64(now)); p.wait > 0 &&
		t.kinds.MayTry(int64(now), min(1, float64(len(p.servers))/float64(max(p.set.NodeCount, 1)))) {
		p.wait = 0
	}
	for round := range 4 {
		if p.until = t.soft; round > 0 {
			p.until = t.limit
		}
		if round > 1 {
			from = all
		}
		p.drawn = p.drawn[:0]
		for _, s := range from {
			if p.inDraw(now, t, s, round == 3) {
				p.drawn = append(p.drawn, s)
			}
		}
		for _, s := range p.homes {
			if !slices.Contains(p.drawn, s) && p.inDraw(now, t, s, round == 3) {
				p.drawn = append(p.drawn, s)
			}
		}
		if len(p.drawn) > 0 {
			p.weigh(now, from)
			return p.pick()
		}
	}
	return nil
}

// settle finds the homes of a request's key, on which nodes agree without talking: of the warm and fit the first
// by a hash of both. Against each node gathering a key wherever it sent it first, so that nobody saves work.
func (p *Balancer) settle(now Time, t *task) {
	for _, s := range p.homes {
		s.home = false
	}
	if p.homes = p.homes[:0]; t.homes <= rendezvous.MaxTop { // else it is asked for everywhere
		p.homes = rendezvous.Top(p.homes, p.servers, t.homes, func(s *server) uint64 {
			if s.State != StateActive || p.cold(now, s) < 1 || s.shunned(now) {
				return 0
			}
			return rendezvous.Score(t.key, uint32(s.ID))
		})
	}
	for _, s := range p.homes {
		s.home = true
	}
}

// warm is the work of the request being drawn at a server, over what it is where its key is not at home.
func (p *Balancer) warm(s *server) float64 {
	if s.home {
		return p.warmth
	}
	return 1
}

func (p *Balancer) pick() *server {
	sum := 0.0
	for _, w := range p.weights {
		sum += 1 / w
	}
	dice := p.draws.Float64() * sum
	for i, w := range p.weights {
		if dice -= 1 / w; dice < 0 {
			return p.drawn[i]
		}
	}
	return p.drawn[len(p.drawn)-1]
}

// weigh works out w with its exceptions for the drawn, against the mean load of whom they were drawn from.
func (p *Balancer) weigh(now Time, from []*server) {
	mean, heard := 0.0, 0.0
	for _, s := range from {
		if s.HasReport {
			mean, heard = mean+s.Load, heard+1
		}
	}
	mean = cmp.Or(mean/max(heard, 1), 1)
	p.weights = p.weights[:0]
	for _, s := range p.drawn {
		w := max(s.Load, mean/floorPart)
		if !s.HasReport || s.risingFrom == 0 || now.Sub(s.risingFrom) < settling*recalculate {
			w = max(w, mean)
		}
		// Reports do not tell a slow server from a quick one; the square, as one that gets its part still is late.
		unit := s.pod.Level() * s.Latency.Level()
		w *= max(unit*unit, 1.0/floorPart)
		if p.set.WeightIsSize && s.Weight > 0 {
			w /= s.Weight
		}
		if p.cold(now, s) < 1 {
			w /= floorPart * floorPart // it has earned this attempt; guards against never warming
		}
		if s.home {
			w /= floorPart * floorPart
		}
		w *= (1 + float64(s.out)) * (1 + float64(s.out)) // against herding on a report, or at a key's home
		if s.Zone != p.set.Zone {
			w *= farAway
		}
		p.weights = append(p.weights, w)
	}
}

// hear takes a load report: the rise since the last one, over the sends between, is what each send adds.
func (s *server) hear(now Time, load float64) {
	rise := load - s.LastReport
	if s.RisePerSend = 0; s.HasReport && rise > 0 && s.sends > 0 && now < s.recalculate {
		s.RisePerSend = rise / float64(s.sends)
	}
	if rise > 0 && s.HasReport && s.risingFrom == 0 {
		s.risingFrom = now
	}
	s.Load, s.LastReport, s.HasReport, s.sends, s.recalculate = load, load, true, 0, now.Add(recalculate)
}

// report picks which reported value is the load; all else that depends on it asks the server.
func (p *Balancer) report(now Time, s *server, r *LoadReport) {
	load := 1 + r.QueueLength
	if p.set.ReportsUtilization && r.Utilization >= 0 {
		if load = r.Utilization; p.set.ReportsServiceTime && r.ServiceTime >= 0 {
			load *= r.ServiceTime // servers are unequal: the same use of a slower one is a greater load
		}
	} else if r.QueueLength < 0 {
		return
	}
	if !s.HasReport || load != s.LastReport {
		s.hear(now, load)
	}
}

// probe asks one server after another for its load, once in so many requests, where answers bring none.
func (p *Balancer) probe() {
	if p.asks++; p.set.MayCheckHealth && p.set.HealthChecksReport && p.asks%probeEach == 0 && len(p.near) > 0 {
		p.host.CheckHealth(p.near[p.asks/probeEach%len(p.near)].ID)
	}
}

// HealthChecked takes what a probe brought.
func (p *Balancer) HealthChecked(now Time, id EndpointID, o Outcome, r LoadReport) {
	if s := p.byID[id]; s != nil && o == OutcomeSucceeded {
		p.report(now, s, &r)
	}
}

// judge learns from how an attempt ended.
func (p *Balancer) judge(now Time, t *task, h *handOff, a AttemptResult) {
	s, c, took, bad := h.server, t.Request.Class, float64(a.Elapsed), 1.0
	if o := a.Outcome; o != OutcomeTimedOut && o != OutcomeCanceled && o != OutcomeNotSent &&
		(o != OutcomeReset || p.set.StreamsPerConnection < 2 && s.most > 1) {
		s.silentFrom = now
	}
	if a.Outcome == OutcomeNotSent || a.Outcome != OutcomeSucceeded && (h.blamed || p.unheard(now, h, a.Outcome)) {
		if h.blamed && a.Outcome == OutcomeTimedOut {
			p.tell(now, &s.standing[c].toldAt, GossipMessage{Endpoint: s.ID, Class: c})
		}
		return
	}
	switch a.Outcome {
	case OutcomeSucceeded:
		bad = 0
		p.satisfied(now, t, h, took, a.NewConnection)
	case OutcomeRejected, OutcomeConnectFailed:
		if a.Outcome == OutcomeConnectFailed && h.gap == 0 {
			p.idle.Reset() // guards against closing what stands open while nothing new can be had
		}
		// Guards against one that rejects at once using up all attempts: it is left alone, ever longer.
		s.turned = min(s.turned+1, 6)
		wait := max(time.Duration(p.MeanWork), time.Duration(float64(recalculate)/(2*s.Latency.Weight+1)))
		s.fullTill = now.Add(wait << (s.turned - 1))
		if a.Outcome == OutcomeRejected && (a.Report.QueueLength != 0 || s.Latency.Weight*learn < 1) {
			// Guards against a storm of resends in a jam: the full would be late, one with an empty queue not.
			p.timed(h, float64(t.limit-h.sentAt)*overrun)
		}
		if a.Outcome == OutcomeRejected {
			return
		}
	case OutcomeCanceled:
		// Guards against a silent server that looks fit because hedged requests always overtake it.
		if a.Elapsed < p.patience(s, h.cost) || s.silentFrom > h.sentAt || h.wait > 0 {
			return
		}
	case OutcomeTimedOut:
		if p.late(now, t, h); h.wait > 0 {
			return // neither the server's nor the fleet's doing
		}
		// Guards against learning from the quick alone: what never answered took longer still.
		if s.silentFrom > h.sentAt || odd*p.Fleet.Level()*h.cost > took {
			// Guards against a silent server raising the bound for all, and its peers' requests being rejected.
			p.of[c].Calibrate(took*overrun, h.predicted)
		}
		p.timed(h, took*overrun)
	}
	if bad > 0 && s.left {
		s.leave(false)
		p.choose(now)
	}
	if p.mark(now, s, t, bad, a.Outcome); a.Outcome == OutcomeError && s.standing[c].unfit {
		p.tell(now, &s.standing[c].toldAt, GossipMessage{Endpoint: s.ID, Class: c})
	}
}

// satisfied learns from an answer.
func (p *Balancer) satisfied(now Time, t *task, h *handOff, took float64, fresh bool) {
	s, c := h.server, &p.of[t.Request.Class]
	s.turned = 0
	p.idle.Survived(int64(h.gap))
	t.kinds.Observe(int64(now), int64(h.sentAt), took, h.alone)
	c.Calibrate(took, h.predicted)
	if fresh && h.cost > 0 {
		p.earnCold(now, s, h.cost)
		return // guards against opening a connection making its server look slow
	}
	if t.CostHint > 0 {
		took = p.lessWay(h, took)
	}
	if h.home && h.cost > 0 {
		unit, _ := p.expect(s)
		p.warmth += (min(took*p.warmth/(unit*h.cost), 2) - p.warmth) / 64
		p.warmth = min(max(p.warmth, smallest), 1)
		took, h.cost = took/p.warmth, h.cost/p.warmth // as elsewhere, so that what follows is of the server
	}
	c.ObserveWork(took)
	h.cost = cmp.Or(h.cost, took)
	p.MeanWork = cmp.Or(p.MeanWork, h.cost) // guards against other classes being set against next to nothing
	p.MeanWork += (h.cost - p.MeanWork) / 32
	p.timed(h, took)
	p.earnCold(now, s, h.cost)
}

// unheard tells whether an attempt found its connection dead: something between dropped it while it was idle.
func (p *Balancer) unheard(now Time, h *handOff, o Outcome) bool {
	if o != OutcomeReset && o != OutcomeTimedOut && o != OutcomeCanceled || h.gap < shortIdle || h.server.silentFrom > h.sentAt ||
		h.server.most > p.set.StreamsPerConnection { // which of many connections it was is not known here
		return false
	}
	if !h.dead { // silence is counted before its end, or a node that comes by seldom learns it too late
		h.dead = true
		p.sawDead(now, h.gap)
		if p.set.StreamsPerConnection > 1 { // else it ends with the attempt, and opening others in vain may be what is slow
			p.release(h.server)
		}
	}
	return o == OutcomeReset // silence may still be the server's own
}

// mark judges a server, in one class, by one more end of an attempt.
func (p *Balancer) mark(now Time, s *server, t *task, bad float64, o Outcome) {
	st, part := &s.standing[t.Request.Class], learn
	if bad == 0 || o == OutcomeError {
		part = max(learn, 1/(st.n+2)) // one seldom heard is judged by the little there is
	}
	st.n = min(st.n+1, 2/learn)
	st.failing += (bad - st.failing) * part
	p.failing += (bad - p.failing) * learn / 2
	// When everything fails together nobody is the odd one out.
	limit := max(failed, 2*p.failing)
	switch {
	case bad > 0 && (st.unfit || st.failing > limit):
		st.unfit = true
		st.retryAfter = min(max(2*st.retryAfter, recalculate/2), 4*recalculate)
		st.retryAt = now.Add(st.retryAfter)
	case st.unfit && st.failing < limit/2:
		st.unfit, st.retryAfter = false, 0
	}
}

// lessWay takes off what answers from a zone take however little the work, or small requests lock the zone out.
func (p *Balancer) lessWay(h *handOff, took float64) float64 {
	way, met := p.ZoneDelay[h.server.Zone]
	if !met {
		way = took - h.cost
	}
	way = max(0, way+estimates.QuantileStep(took-h.cost >= way, p.MeanWork*learn, nearest))
	p.ZoneDelay[h.server.Zone] = way
	return max(took-way, h.cost/4)
}

// timed learns from how long an attempt took.
func (p *Balancer) timed(h *handOff, took float64) {
	if h.cost == 0 {
		return
	}
	s, unit, crowd := h.server, took/h.cost, h.crowd
	// Guards against a few odd servers making the whole fleet look late.
	fleet, pod := p.Fleet.Level(), s.pod.Level()
	p.Fleet.Add(min(unit, odd*fleet), crowd, 64)
	s.pod.Add(min(unit/fleet, odd*pod), crowd, 2/learn)
	s.Latency.Add(unit/fleet/pod, crowd, 2/learn)
	if !s.HasLatency {
		s.HasLatency, s.HighLatency = true, 2*unit
	}
	mean, _ := p.expect(s)
	s.HighLatency = max(mean, s.HighLatency+estimates.QuantileStep(unit > s.HighLatency, mean*learn, highest))
}

// age lets what was learned of a server that is no longer heard drift to what its peers show.
func (p *Balancer) age(now Time) {
	high, n := 0.0, 0.0
	for _, s := range p.servers {
		if s.State == StateActive && s.HasLatency && !s.shunned(now) {
			high, n = high+s.HighLatency, n+1
		}
	}
	p.HighLatency = cmp.Or(high/max(n, 1), p.HighLatency)
	for _, s := range p.servers {
		s.HighLatency += (p.HighLatency - s.HighLatency) * learn * (1 - min(1, s.Latency.Weight*learn))
		s.Latency.Decay(1 - learn)
		for i := range s.standing {
			s.standing[i].n *= 1 - learn
			s.standing[i].told *= forget
		}
	}
	if p.Fleet.Level() < jam || p.worst() > inNeed || !p.set.ReportsUtilization { // only where they tell how busy they are
		p.jammed = 0
	} else if p.jammed++; p.jammed == longJam { // what all depend on may recover only while it rests
		p.restTo = now.Add(restFor)
	}
	p.FleetEstimates.Decay(1-learn, forget)
	p.keys.Decay()
	p.rate += (float64(p.arrived) - p.rate) / 8
	p.arrived = 0
	p.idle.Decay()
	p.dues()
	p.choose(now)
	for i := range p.of {
		p.of[i].Decay()
	}
}

// sawDead takes a connection that was dead when used. Two in a row count, if none between lived as long.
func (p *Balancer) sawDead(now Time, gap time.Duration) {
	if p.idle.Died(int64(gap)) {
		p.died(gap)
		p.tell(now, &p.toldIdle, GossipMessage{IdleTime: gap})
	}
}

// tell sends news, the same no more often than once a second.
func (p *Balancer) tell(now Time, last *Time, n GossipMessage) {
	if p.set.MayGossip && now.Sub(*last) >= recalculate {
		*last = now
		p.host.Gossip(n)
	}
}

// died counts connections that died idle.
func (p *Balancer) died(gap time.Duration) {
	p.idle.Confirm(int64(gap), p.set.MayGossip, p.set.NodeCount)
}

// GossipReceived takes what another instance tells.
func (p *Balancer) GossipReceived(now Time, n GossipMessage) {
	s := p.byID[n.Endpoint]
	switch {
	case n.IdleTime >= shortIdle:
		p.died(n.IdleTime)
	case n.IdleTime == 0 && s != nil && s.State == StateActive && n.Class >= 0 && n.Class < len(p.of):
		st := &s.standing[n.Class]
		// What this instance saw itself goes first; one voice is none, as a single error puts a server out there.
		if st.told++; st.told >= voices && !st.unfit && (st.n < 1 || st.failing > failed/2) {
			st.unfit, st.failing, st.retryAt = true, max(st.failing, 2*failed), now.Add(recalculate)
		}
	}
}
