// Package policy decides which server gets each task, and when a task is sent again, declined or broken off.
//
// New takes the settings, a seed and a Host; then call the one method for each thing that happens, in order,
// with the clock, one at a time. It calls the Host before it returns, keeps no clock and starts nothing.
// docs/design.md tells what follows the paper and what departs from it.
package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"fawnglade/internal/fading"
	"fawnglade/internal/rank"
	"fawnglade/internal/shares"
	"fawnglade/internal/sums"
)

const (
	recalculate = int64(1e9) // the design's longest time between two recalculations
	settling    = 3          // recalculations through which a rising server still sits at the mean
	floorPart   = 20         // w is at least the mean over this
	farAway     = 6          // w of a server in another zone is pushed up by this
	learn       = 1.0 / 12   // part of a new value in a server's running means
	highest     = 0.95       // the quantile of answer times by which a server is judged
	mostSpread  = 5          // the bound over a prediction is at most this multiple
	overrun     = 1.5        // what a hand-off that timed out would have taken, over what it had
	lowest      = 0.4        // the quantile that tells a category's work from its waiting
	single      = 0.9        // the same where each miss counts only for itself
	smallest    = 0.25       // part of the mean work that a task counts for at least
	nearest     = 0.1        // the quantile that tells the way to a zone from the work
	forget      = 0.5        // part of what answers showed that still counts a second later
	odd         = 3          // an answer counts for at most this multiple of what its fellows show
	failed      = 0.25       // running part of failures that puts a server out of the draw
	coldSafety  = 0.75        // part of its fair part that a cold server gets, to err on the low side
	copyPart    = 0.1        // second copies for each task
	askedFade   = 0.9        // part of the tasks asked for that still counts a second later
	coldPull    = 1.0 / (floorPart * floorPart)
	least       = 4   // servers that a node draws from at least, and a further one
	carries     = 8.0 // for so many tasks a second
	evenAt      = 0.4 // where the worst category weighs so much, what work earns favours none
	probeEach   = 32  // tasks
	firstMet    = 8   // answers by whose mean a category's work is first known
	sharers     = 16  // nodes that draw from a server at least
	spreadOut   = 0x9e3779b97f4a7c15
	shortIdle   = int64(3e8)
	slack       = 3   // a ceiling over 1/w when worked out: what is shared may fall by 0.84^4 * 0.7 till then
	levelFell   = .84 // the fleet's and a pod's level, which enter w squared
	meanFell    = .7
	grain       = 4  // ticks of silence that tell nothing: this node may itself have stood still
	tries       = 32 // draws by ceilings before one that passes over all

	listCookie, tickCookie, firstTask = 0, 1, 2
)

type handOff struct {
	server                   *server
	sentAt, gap              int64 // gap: for how long its connection had been idle
	crowd, cost, predicted   float64
	open, mayHaveRun, blamed bool
}

type task struct {
	Task
	category *Category
	limit    int64 // the last moment at which an answer still earns
	soft     int64 // and the last at which it earns in full
	handOffs []handOff
	open     int
	cookie   uint64
	over     bool
	beyond   bool // its customer's share
}

// standing is what a server showed of late in one category.
type standing struct {
	failing, n          float64 // running part of failures; fading count of what it is taken over
	unfit               bool
	retryAt, retryAfter int64
	told                float64 // fading count of instances that say it fails
	toldAt              int64   // when this one did
}

type server struct {
	Listed
	rank     uint64
	near     bool // this node draws from it
	standing []standing
	usedAt   int64 // when something last went over a connection to it; 0: there is none
	askedAt  int64 // for its load
	suspect  int64 // how long a connection had been idle that gave no answer, until the next tells why

	load            float64 // w before the exceptions: the last report and the drift since
	reported, drift float64
	sends           int
	heard           bool
	recalculate     int64 // when next, if no report comes before
	risingFrom      int64

	out                  int
	own                  fading.Pair
	pod                  *pod
	at                   int     // its place among Policy.servers
	high                 float64 // quantile of answer time for each unit of expected work
	credit               float64
	silentFrom, fullTill int64
	known                bool
	turned               int // hand-offs turned away in a row
}

// pod sums up what its servers showed, as a node among hundreds hears of one of them once in many seconds.
type pod struct {
	fading.Pair         // answer times for each unit of work; what was out here when the answered set off
	was         float64 // level by which ceilings were worked out
}

// categoryState is what an instance learns of one category.
type categoryState struct {
	typical     float64 // a low quantile of answer times, to compare tasks that bring no hint
	spread      float64 // a high quantile of answer times over their prediction
	fares, due  float64 // part of the tasks of late that were satisfied; of its time that it keeps in need
	asked       float64 // fading count of the tasks it is taken over
	taken, away int     // since the last tick: answers, tasks given up
	met         int     // answers, up to a few
}

// Policy is one instance of the decisions.
type Policy struct {
	set           Settings
	host          Host
	servers       []*server
	byID          map[ServerID]*server
	tasks         map[TaskID]*task
	waking        map[uint64]*task
	draws         *rand.Rand
	cookies       uint64
	pods          map[int]*pod
	fleet         pod
	loads, heard  float64 // sum of the active servers' loads, and of how many
	mean          float64 // of the loads, by which ceilings were worked out
	active        int     // near and on the list as active
	rate          float64
	arrived, asks int
	breadth       int
	idle          int64 // connections idle for longer are not trusted
	toldIdle      int64
	deaths        float64         // fading count of connections that died idle
	chilly        []*server       // active, and cold of late
	ceilings      sums.Sums       // by place: at least 1/w while the server can be drawn
	way           map[int]float64 // by zone: what an answer takes however little the work

	of             []categoryState
	shares         shares.Shares
	meanOf, copies float64 // mean cost of a task; second copies that may still go out
	failing, high  float64 // of all servers: running part of failures; mean of the fit ones' high quantiles
	askWait        int64
	started        bool
	until          int64 // by when a draw's task is to be answered

	drawn   []*server
	weights []float64
}

// New makes an instance that knows nothing but its settings.
func New(settings Settings, seed uint64, host Host) *Policy {
	p := &Policy{set: settings, idle: math.MaxInt64, host: host, byID: map[ServerID]*server{}, tasks: map[TaskID]*task{},
		pods: map[int]*pod{}, waking: map[uint64]*task{}, draws: rand.New(rand.NewPCG(seed, 1)),
		cookies: firstTask, way: map[int]float64{}, shares: shares.New(settings.Portions)}
	for range settings.Categories {
		p.of = append(p.of, categoryState{spread: 2, fares: 1, due: 1})
	}
	return p
}

func (p *Policy) chance() float64 { return p.draws.Float64() }

// ListLearned takes the server list, or what changed in it.
func (p *Policy) ListLearned(now int64, list []Listed, whole bool) {
	if !p.started {
		p.started = true
		p.host.WakeAt(now+recalculate, tickCookie)
		if p.set.MustAsk {
			p.host.Subscribe()
		}
	}
	p.askWait = 0
	if whole {
		for _, s := range p.servers {
			s.State = Gone
		}
	}
	for _, l := range list {
		s := p.byID[l.Server]
		if s == nil {
			s = &server{rank: rank.Of(uint64(p.set.Position+1)*spreadOut, uint32(l.Server))}
			p.byID[l.Server], p.servers = s, append(p.servers, s)
		}
		if l.Started > s.Started {
			// A new process: what was learned of the old one misleads. Where in its first part it stands is drawn, or
			// hundreds of nodes that earn less than a hand-off would never warm it, or all give theirs at one moment.
			*s = server{out: s.out, credit: p.chance(), rank: s.rank, near: s.near}
		}
		if s.standing == nil {
			s.standing = make([]standing, len(p.of))
		}
		s.Listed = l
		if p.pods[l.Pod] == nil {
			p.pods[l.Pod] = &pod{}
		}
		s.pod = p.pods[l.Pod]
	}
	slices.SortFunc(p.servers, func(a, b *server) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.Server, b.Server)) })
	p.survey(now)
}

// choose picks whom this node draws from: the first by its own rank, which spreads evenly over many nodes and changes
// little when a server comes or goes, until enough of them are warm and fit. Guards against each of hundreds of
// nodes holding a connection to each server, hearing little of any, and filling what connections they accept.
func (p *Policy) choose(now int64) {
	active := 0.0
	for _, s := range p.servers {
		if s.State == Active {
			active++
		}
	}
	want := max(least+p.rate/carries, sharers*active/float64(max(p.set.Nodes, 1)))
	if p.breadth = max(p.breadth, int(want)); want < float64(p.breadth)-1 {
		p.breadth--
	}
	left, extra := p.breadth, p.breadth/2+1
	for _, s := range p.servers {
		was := s.near
		s.near = s.State == Active && left > 0
		if s.near && p.cold(now, s) == 1 {
			if left--; p.shunned(now, s) && extra > 0 {
				left, extra = left+1, extra-1
			}
		}
		if was && !s.near && s.usedAt > 0 && s.out == 0 {
			p.release(s)
		}
	}
}

// shunned tells whether a server is no use for the moment.
func (p *Policy) shunned(now int64, s *server) bool {
	return now < s.fullTill && s.turned > 1 || slices.ContainsFunc(s.standing, func(st standing) bool { return st.unfit })
}

// release closes what is idle to a server.
func (p *Policy) release(s *server) {
	s.usedAt = 0
	if p.set.Streams > 1 {
		p.host.Release(s.Server)
	}
}

// survey works out anew what is kept of all servers together, and every ceiling.
func (p *Policy) survey(now int64) {
	p.choose(now)
	p.active, p.chilly, p.loads, p.heard = 0, p.chilly[:0], 0, 0
	for _, pod := range p.pods {
		pod.was = pod.Level()
	}
	for i, s := range p.servers {
		s.at = i
		if !s.near {
			continue
		}
		if p.active++; p.cold(now, s) < 1 {
			p.chilly = append(p.chilly, s)
		}
		if s.heard {
			p.loads, p.heard = p.loads+s.load, p.heard+1
		}
	}
	p.mean = p.meanLoad()
	p.fleet.was = p.fleet.Level()
	p.ceilings.Reset(len(p.servers))
	for _, s := range p.servers {
		p.touch(now, s)
	}
}

// touch works out a server's ceiling anew. Until the next survey its rise may end, but its warmth not grow.
func (p *Policy) touch(now int64, s *server) {
	ceiling := 0.0
	if s.near && (p.cold(now, s) == 1 || s.credit >= 1) {
		ceiling = slack / p.weight(now, now+2*recalculate, s)
		// Guards against what has risen since the survey falling back further than a survey would notice.
		risen := max(1, p.fleet.Level()/p.fleet.was) * max(1, s.pod.Level()/s.pod.was)
		ceiling *= risen * risen * max(1, p.meanLoad()/p.mean)
	}
	p.ceilings.Set(s.at, ceiling)
}

func (p *Policy) meanLoad() float64 {
	if p.heard == 0 || p.loads <= 0 {
		return 1
	}
	return p.loads / p.heard
}

// ListFailed asks again, after waits that grow but stay well within the time the rules allow.
func (p *Policy) ListFailed(now int64) {
	p.askWait = min(max(2*p.askWait, p.set.AskWithin/64), p.set.AskWithin/4)
	p.host.WakeAt(now+p.askWait, listCookie)
}

// hear takes a load report as the design has it: the rise since the last one, over the sends between, is
// what each further send will add.
func (p *Policy) hear(now int64, s *server, load float64) {
	s.recount(now)
	if s.near {
		if p.loads += load - s.load; !s.heard {
			p.heard++
		}
	}
	rise := load - s.reported
	if s.drift = 0; s.heard && rise > 0 && s.sends > 0 {
		s.drift = rise / float64(s.sends)
	}
	if rise > 0 && s.heard && s.risingFrom == 0 {
		s.risingFrom = now
	}
	s.load, s.reported, s.heard, s.sends = load, load, true, 0
	s.recalculate = now + recalculate
}

// recount forgets the drift when no report came for the design's longest time.
func (s *server) recount(now int64) {
	if s.heard && now >= s.recalculate {
		s.drift, s.sends, s.recalculate = 0, 0, now+recalculate
	}
}

// report picks which reported value is the load; all else that depends on it asks the server.
func (p *Policy) report(now int64, s *server, r *Report) {
	load := -1.0
	switch {
	case p.set.Utilised && r.Utilisation >= 0:
		load = r.Utilisation
		if p.set.Timed && r.ServiceTime >= 0 {
			load *= r.ServiceTime // servers are unequal: the same use of a slower one is a greater load
		}
	case r.Rate >= 0:
		load = 1 + max(r.Queue, 0)
	case r.Queue >= 0:
		load = 1 + r.Queue
	}
	if load >= 0 && (!s.heard || load != s.reported) {
		p.hear(now, s, load)
		p.touch(now, s)
	}
}

// TaskArrived takes a new task.
func (p *Policy) TaskArrived(now int64, arrived Task) {
	c := &p.set.Categories[arrived.Category]
	soft := c.SoftLimit + int64(c.SoftStretch*float64(arrived.Cost))
	t := &task{Task: arrived, category: c, limit: arrived.HardLimit}
	if t.soft = min(t.limit, now+soft-soft/64-2*p.set.Tick); c.LateEarnings == 0 {
		t.limit = t.soft
	}
	p.tasks[t.ID] = t
	t.beyond = p.shares.Beyond(t.Customer, t.Repeated)
	if p.arrived++; p.arrived > int(carries)*p.breadth {
		p.rate = max(p.rate, float64(p.arrived)) // guards against a busy node jamming the few that it starts with
		p.survey(now)
	}
	p.asks++
	p.probe(now)
	p.earnCold(now, nil, 0)
	p.copies = min(p.copies+copyPart, 4)
	p.send(now, t)
}

func (p *Policy) cost(t *task) float64 {
	if t.Cost > 0 {
		return max(float64(t.Cost), smallest*p.meanOf) // guards against answers to tasks with hardly any work
	}
	if typical := p.of[t.Task.Category].typical; typical > 0 {
		return typical
	}
	return p.meanOf // nothing of this category was satisfied yet
}

// send hands the task to a drawn server, or gives it up.
func (p *Policy) send(now int64, t *task) {
	if t.over {
		return
	}
	s := p.draw(now, t)
	if s == nil {
		p.giveUp(now, t)
		return
	}
	p.handTo(now, t, s)
}

func (p *Policy) handTo(now int64, t *task, s *server) {
	cost := p.cost(t)
	if s.out == 0 {
		s.silentFrom = now
	}
	gap := int64(0)
	if s.out == 0 && s.usedAt > 0 {
		if gap = now - s.usedAt; gap > p.idle {
			gap = 0
			p.release(s)
		}
	}
	s.usedAt = now
	t.handOffs = append(t.handOffs, handOff{server: s, sentAt: now, gap: gap, cost: cost, open: true,
		crowd: float64(s.out), predicted: float64(p.predict(s, cost))})
	t.open++
	s.recount(now)
	s.out++
	s.sends++
	s.load += s.drift
	if s.near {
		p.loads += s.drift
	}
	s.credit -= max(p.relative(cost), 1)
	p.touch(now, s)
	p.host.HandOff(t.ID, s.Server, t.limit-now)
	if patience := p.patience(s, cost); cost > 0 && t.open == 1 && now+patience < t.limit-patience/2 {
		if t.cookie == 0 {
			t.cookie, p.cookies = p.cookies, p.cookies+1
			p.waking[t.cookie] = t
		}
		p.host.WakeAt(now+patience, t.cookie)
	}
}

// patience is how long an answer may take, by the high quantile of the server or of its fit fellows.
func (p *Policy) patience(s *server, cost float64) int64 {
	if p.high == 0 {
		return max(grain*p.set.Tick, int64(4*cost))
	}
	high := p.high
	if s.known && !p.shunned(s.silentFrom, s) {
		high = min(2*high, s.high)
	}
	_, crowd := p.expect(s)
	cost *= high * (1 + float64(s.out)) / (1 + min(crowd, float64(s.out)))
	return max(grain*p.set.Tick, int64(2*(p.way[s.Zone]+cost)))
}

// cold returns the part of its capacity that a server surely has; 1 when warm.
func (p *Policy) cold(now int64, s *server) float64 {
	age := now - s.Started
	if s.Started == 0 || age >= p.set.WarmWithin {
		return 1
	}
	return p.set.ColdFrom + (1-p.set.ColdFrom)*float64(max(age, 0))/float64(p.set.WarmWithin)
}

func (p *Policy) relative(cost float64) float64 {
	if p.meanOf == 0 || cost == 0 {
		return 1
	}
	return cost / p.meanOf
}

// earnCold keeps the books on cold servers: with each task that a warm fellow satisfies one earns what it
// surely can do of that even part, and pays for what it is given. Only where none is warm do arrivals count.
func (p *Policy) earnCold(now int64, by *server, cost float64) {
	warm := p.active - len(p.chilly)
	if (by == nil) != (warm == 0) || by != nil && p.cold(now, by) < 1 {
		return
	} else if warm == 0 {
		warm = p.active
	}
	for _, s := range p.chilly {
		if part := p.cold(now, s); part < 1 && s.credit < 1 {
			s.credit += part * (coldSafety + (1-coldSafety)*part) * min(p.relative(cost), 1) / float64(warm)
			if s.credit >= 1 {
				s.credit = 1
				p.touch(now, s)
			}
		}
	}
}

// allowed tells whether rules 2 and 3 let the task go to the server.
func (p *Policy) allowed(now int64, t *task, s *server) bool {
	if s.State != Active || len(t.handOffs) >= p.set.MaxHandOffs {
		return false
	}
	for i := range t.handOffs {
		h := &t.handOffs[i]
		if h.open && (!p.set.MayDuplicate || h.server == s) {
			return false
		}
		if !h.mayHaveRun && !h.open {
			continue
		}
		switch t.category.Repeat {
		case Exclusive:
			return false
		case Ticketed:
			group := t.category.Group
			if now-h.sentAt >= t.category.Memory || group == SamePod && h.server.Pod != s.Pod ||
				group == SameZone && h.server.Zone != s.Zone {
				return false
			}
		}
	}
	return true
}

// mayDecline tells whether a client may be told that asking again does no harm.
func mayDecline(t *task) bool {
	if t.category.Repeat == Rerunnable || t.category.Repeat == Ticketed && t.category.Group == WholeFleet {
		return true
	}
	for _, h := range t.handOffs {
		if h.open || h.mayHaveRun {
			return false
		}
	}
	return true
}

// predict counts own hand-offs out double: what draws this node to a server draws its fellows too, unseen.
func (p *Policy) predict(s *server, cost float64) int64 {
	unit, crowd := p.expect(s)
	return int64(p.way[s.Zone] + unit*cost*(1+2*float64(s.out))/(1+2*crowd))
}

// expect is the answer time for each unit of work: the fleet's level of late, times what the pod and the
// server were over it. The ratios last longer than the level, or a slow server seldom heard is forgotten.
func (p *Policy) expect(s *server) (unit, crowd float64) {
	unit, crowd = p.fleet.Over(1, 0)
	pod, crowd := s.pod.Over(1, crowd)
	own, crowd := s.own.Over(1, crowd)
	return unit * pod * own, crowd
}

// inDraw tells who takes part in a task's draw: the fit that will be in time by a high quantile. Where that
// is nobody, the unfit do that this node hears often and has nothing out at: declining would help none.
func (p *Policy) inDraw(now int64, t *task, s *server, nobody bool) bool {
	n := len(t.handOffs)
	tied := n > 0 && t.category.Repeat == Ticketed // only part of the fleet is left to it
	if !s.near && !tied || !p.allowed(now, t, s) || now < s.fullTill || n > 0 && t.handOffs[n-1].server == s ||
		s.credit < 1 && p.cold(now, s) < 1 {
		return false
	}
	if st := &s.standing[t.Task.Category]; st.unfit {
		return s.out == 0 && (nobody && s.own.N*learn >= 1 || now >= st.retryAt && t.category.Repeat == Rerunnable)
	}
	cost := p.cost(t)
	if s.out > 0 && s.known && now-s.silentFrom > p.patience(s, max(cost, p.meanOf)) {
		return false // guards against servers that take tasks and answer nothing, and so report no load
	}
	return p.predict(s, cost*p.bound(t)) <= p.allowance(now, t)
}

// worst is how the category fares that fares worst for what it is due.
func (p *Policy) worst() float64 {
	worst := 1.0
	for i := range p.of {
		worst = min(worst, p.of[i].fares)
	}
	return worst
}

// dues works out which part of its time each category keeps while some is turned away: the less its work earns the
// less, and the more so the less the worst category's part of the goal weighs.
func (p *Policy) dues() {
	most, favour := 0.0, max(0, 1-p.set.WorstCategory/evenAt)
	for i := range p.of {
		c := &p.of[i]
		if c.due = p.set.Categories[i].Earnings; !p.set.EarnsByWork {
			c.due /= max(cmp.Or(c.typical, p.meanOf), 1)
		}
		most = max(most, c.due)
	}
	for i := range p.of {
		p.of[i].due = math.Pow(max(p.of[i].due, most/100, 1e-300)/max(most, 1e-300), favour)
	}
}

// bound multiplies a prediction. Where a miss counts only for itself, risk costs more the more is declined.
func (p *Policy) bound(t *task) float64 {
	spread := p.of[t.Task.Category].spread
	if spread < 1 {
		return spread
	}
	return 1 + (spread-1)*(1-p.worst())
}

// allowance is the time a prediction may take. What fares better than the worst gives up some of its own.
func (p *Policy) allowance(now int64, t *task) int64 {
	worst := p.worst()
	c := &p.of[t.Task.Category]
	part := worst / c.fares * (1 - (1-c.due)*(1-worst))
	if t.beyond {
		part *= max(worst*worst, p.set.OverShare)
	}
	return int64(float64(p.until-now) * part)
}

// draw picks a server with a chance proportional to 1/w among those that take part.
func (p *Policy) draw(now int64, t *task) *server {
	if now >= t.limit {
		return nil
	}
	// Where an answer still earns a little when late, those that will be in time for all of it come first.
	for _, p.until = range []int64{t.soft, t.limit} {
		if s := p.sample(now, t); s != nil {
			return s
		}
		if t.soft == t.limit {
			break
		}
	}
	p.drawn, p.weights = p.drawn[:0], p.weights[:0]
	for _, nobody := range []bool{false, true} {
		for _, s := range p.servers {
			if p.inDraw(now, t, s, nobody) {
				p.drawn, p.weights = append(p.drawn, s), append(p.weights, p.weight(now, now, s))
			}
		}
		if len(p.drawn) > 0 {
			return p.pick()
		}
	}
	return nil
}

func (p *Policy) pick() *server {
	sum := 0.0
	for _, w := range p.weights {
		sum += 1 / w
	}
	dice := p.chance() * sum
	for i, w := range p.weights {
		if dice -= 1 / w; dice < 0 {
			return p.drawn[i]
		}
	}
	return p.drawn[len(p.drawn)-1]
}

// sample draws by the ceilings and keeps who takes part with the chance of 1/w over its ceiling, which leaves
// the law as it is. After some tries in vain it returns nobody, and the pass over all has the same law.
func (p *Policy) sample(now int64, t *task) *server {
	for sum, n := p.ceilings.Total(), 0; sum > 0 && n < tries; n++ {
		s := p.servers[min(p.ceilings.Find(p.chance()*sum), len(p.servers)-1)]
		if p.inDraw(now, t, s, false) && p.chance()*p.ceilings.At(s.at)*p.weight(now, now, s) < 1 {
			return s
		}
	}
	return nil
}

// weight is w with its exceptions. A rise has come to its end, or not, by a moment of its own.
func (p *Policy) weight(now, rises int64, s *server) float64 {
	mean := p.meanLoad()
	w := max(s.load, mean/floorPart)
	if !s.heard || s.risingFrom == 0 || rises-s.risingFrom < settling*recalculate {
		w = max(w, mean)
	}
	// Reports do not tell a slow server from a quick one; the square, as one that gets its part still is late.
	unit, _ := p.expect(s)
	w *= max(unit*unit, 1.0/floorPart)
	if p.set.SizeWeights && s.Weight > 0 {
		w /= s.Weight
	}
	if p.cold(now, s) < 1 {
		w *= coldPull // it has earned this hand-off; guards against never warming
	}
	// Guards against herding on one low or late report.
	w *= (1 + float64(s.out)) * (1 + float64(s.out))
	if s.Zone != p.set.Zone {
		w *= farAway
	}
	return w
}

// giveUp answers at once: a decline where asking again does no harm, else a break-off.
func (p *Policy) giveUp(now int64, t *task) {
	p.fare(t, 0)
	p.recallRest(t, -1)
	if mayDecline(t) {
		wait := int64(0)
		if p.set.MayAdvise {
			wait = min(p.set.MaxAdvice, t.category.SoftLimit/4)
		}
		p.host.Decline(t.ID, wait)
	} else {
		p.host.BreakOff(t.ID)
	}
	p.end(t)
}

func (p *Policy) fare(t *task, satisfied float64) {
	c := &p.of[t.Task.Category]
	c.asked = min(c.asked+1, 64)
	c.fares = max(c.fares+(satisfied-c.fares)/(c.asked+1), 0.01)
	c.away += 1 - int(satisfied)
}

// recallRest recalls what is still out for a task but for one hand-off, or for none (-1).
func (p *Policy) recallRest(t *task, but int) {
	for i := range t.handOffs {
		if t.handOffs[i].open && i != but && p.set.MayRecall {
			p.host.Recall(t.ID, i)
		}
	}
}

func (p *Policy) end(t *task) {
	t.over = true
	if t.cookie != 0 {
		delete(p.waking, t.cookie)
	}
	if t.open == 0 {
		delete(p.tasks, t.ID)
	}
}

// HandOffAnswered takes the end of a hand-off.
func (p *Policy) HandOffAnswered(now int64, a Answer) {
	s := p.byID[a.Server]
	if s != nil {
		p.report(now, s, &a.Report)
	}
	t := p.tasks[a.Task]
	if t == nil || a.Number < 0 || a.Number >= len(t.handOffs) || !t.handOffs[a.Number].open {
		return
	}
	h := &t.handOffs[a.Number]
	h.open = false
	t.open--
	h.server.out--
	if h.server.usedAt > 0 && a.Outcome != Reset && a.Outcome != Unreached {
		h.server.usedAt = now
	}
	h.mayHaveRun = a.Outcome != Full && a.Outcome != Unreached && a.Outcome != NeverSent
	p.judge(now, t, h, a)
	p.touch(now, h.server)
	pod, fleet, mean := h.server.pod, &p.fleet, p.meanLoad()/p.mean
	if mean < meanFell || mean > 1/meanFell || fleet.Level() < levelFell*fleet.was ||
		fleet.Level() > fleet.was/levelFell || pod.Level() < levelFell*pod.was {
		p.survey(now) // ceilings may no longer hold, or waste draws
	}
	switch {
	case t.over:
		if t.open == 0 {
			delete(p.tasks, t.ID)
		}
	case a.Final || a.Outcome == Satisfied:
		if a.Outcome == Satisfied {
			p.fare(t, 1)
		}
		p.recallRest(t, -1)
		p.end(t)
	case t.open > 0:
	default:
		p.send(now, t)
	}
}

// judge learns from how a hand-off ended.
func (p *Policy) judge(now int64, t *task, h *handOff, a Answer) {
	s := h.server
	if a.Outcome != TimedOut && a.Outcome != Recalled && a.Outcome != NeverSent {
		s.silentFrom = now
	}
	bad := 0.0
	if a.Outcome == Satisfied {
		if s.suspect > 0 && h.gap == 0 {
			p.sawDead(now, s.suspect) // a new connection works where the old one gave no answer
		}
		s.suspect = 0
	} else if h.blamed && a.Outcome == TimedOut {
		p.sawFail(now, s, t.Task.Category)
		return
	} else if h.blamed || p.unheard(now, h, a.Outcome) {
		return
	}
	switch a.Outcome {
	case Satisfied:
		p.calibrate(t, h, float64(a.Elapsed))
		if s.turned = 0; a.Fresh && h.cost > 0 {
			p.earnCold(now, s, h.cost)
			break // guards against opening a connection making its server look slow
		}
		took := float64(a.Elapsed)
		if t.Cost > 0 {
			took = p.lessWay(h, took)
		}
		c := &p.of[t.Task.Category]
		typical := &c.typical
		// Guards against a lock-out: by the mean a jam makes idle servers look late, and they stay unmeasured.
		switch {
		case c.met < firstMet: // one answer alone may be a tenth of what is usual, and all seem late by it
			c.met++
			*typical += (took - *typical) / float64(c.met)
		case took > *typical:
			*typical *= 1 + lowest*learn/2
		default:
			*typical *= 1 - (1-lowest)*learn/2
		}
		if h.cost == 0 {
			h.cost = took
		}
		if p.meanOf == 0 {
			p.meanOf = h.cost // guards against a category's first tasks being set against next to nothing
		}
		p.meanOf += (h.cost - p.meanOf) / 32
		p.timed(h, took)
		p.earnCold(now, s, h.cost)
	case Full, Unreached:
		// Guards against one that turns away at once using up all hand-offs: it is left alone, ever longer.
		s.turned = min(s.turned+1, 6)
		wait := max(int64(p.meanOf), int64(float64(recalculate)/(2*s.own.N+1)))
		s.fullTill = now + wait<<(s.turned-1)
		if a.Outcome == Full && (a.Report.Queue != 0 || s.own.N*learn < 1) {
			// Guards against a storm of resends in a jam: the full would be late, one with an empty queue not.
			p.timed(h, float64(t.limit-h.sentAt)*overrun)
		}
		if a.Outcome == Full {
			return
		}
		bad = 1
	case NeverSent:
		return
	case Recalled:
		// Guards against a silent server that looks fit because second copies always overtake it.
		if a.Elapsed < p.patience(s, h.cost) || s.silentFrom > h.sentAt {
			return
		}
		bad = 1
	case TimedOut:
		// Guards against learning from the quick alone: what never answered took longer still.
		if s.silentFrom > h.sentAt || odd*p.fleet.Level()*h.cost > float64(a.Elapsed) {
			// Guards against a silent server raising the bound for all, and its fellows' tasks being declined.
			p.calibrate(t, h, float64(a.Elapsed)*overrun)
		}
		p.timed(h, float64(a.Elapsed)*overrun)
		bad = 1
	default:
		bad = 1
	}
	p.mark(now, s, t, bad, a.Outcome)
	if a.Outcome == Error && s.standing[t.Task.Category].unfit {
		p.sawFail(now, s, t.Task.Category)
	}
}

// unheard tells whether a hand-off may have found its connection dead. Guards against servers being judged by
// connections that something between dropped while they were idle.
func (p *Policy) unheard(now int64, h *handOff, o Outcome) bool {
	s := h.server
	if o != Reset && o != TimedOut && o != Recalled || h.gap < shortIdle || s.silentFrom > h.sentAt {
		return false
	}
	p.release(s)
	if s.suspect = h.gap; o == Reset {
		p.sawDead(now, h.gap)
	}
	return o == Reset // silence may still be the server's own
}

// mark judges a server, in one category, by one more end of a hand-off.
func (p *Policy) mark(now int64, s *server, t *task, bad float64, o Outcome) {
	st := &s.standing[t.Task.Category]
	part := learn
	if bad == 0 || o == Error {
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
		st.retryAt = now + st.retryAfter
	case st.unfit && st.failing < limit/2:
		st.unfit, st.retryAfter = false, 0
	}
}

// lessWay learns what answers from a zone take however little the work, where that is told, and takes it off.
// Guards against small tasks making another zone look slow: it would be locked out, and never measured again.
func (p *Policy) lessWay(h *handOff, took float64) float64 {
	way, met := p.way[h.server.Zone]
	if !met {
		way = took - h.cost
	} else if way += p.meanOf * learn * nearest; took-h.cost < way {
		way -= p.meanOf * learn
	}
	p.way[h.server.Zone] = max(0, way)
	return max(took-max(0, way), h.cost/4)
}

// calibrate learns how far above its prediction an answer may come.
func (p *Policy) calibrate(t *task, h *handOff, took float64) {
	spread := &p.of[t.Task.Category].spread
	p.of[t.Task.Category].taken++
	if took > h.predicted**spread && h.predicted > 0 {
		// Guards against heavy tasks that nobody told of: they are late on any server, and say nothing of waiting.
		*spread = min(*spread*(1+learn*single), mostSpread)
	} else if h.predicted > 0 {
		*spread = max(0.5, *spread*(1-learn*(1-single)))
	}
}

// timed learns from how long a hand-off took.
func (p *Policy) timed(h *handOff, took float64) {
	if h.cost == 0 {
		return
	}
	s, unit, crowd := h.server, took/h.cost, h.crowd
	// Guards against a few odd servers making the whole fleet look late.
	fleet, pod := p.fleet.Level(), s.pod.Level()
	p.fleet.Add(min(unit, odd*fleet), crowd, 64)
	s.pod.Add(min(unit/fleet, odd*pod), crowd, 2/learn)
	s.own.Add(unit/fleet/pod, crowd, 2/learn)
	if !s.known {
		s.known, s.high = true, 2*unit
	}
	mean, _ := p.expect(s)
	if unit > s.high {
		s.high += mean * learn * highest
	} else {
		s.high = max(mean, s.high-mean*learn*(1-highest))
	}
}

// TaskWithdrawn takes the news that the client has gone; work still out for it can earn nothing.
func (p *Policy) TaskWithdrawn(_ int64, id TaskID) {
	if t := p.tasks[id]; t != nil && !t.over {
		p.recallRest(t, -1)
		p.end(t)
	}
}

// Woken takes a timer that has come due.
func (p *Policy) Woken(now int64, cookie uint64) {
	switch cookie {
	case listCookie:
		p.host.Subscribe()
		return
	case tickCookie:
		p.host.WakeAt(now+recalculate, tickCookie)
		p.age(now)
		return
	}
	t := p.waking[cookie]
	if t == nil || t.over || t.open != 1 {
		return
	}
	p.overdue(now, t, slices.IndexFunc(t.handOffs, func(h handOff) bool { return h.open }))
}

// overdue takes a hand-off that should have been answered: its server is judged, and the task sent elsewhere.
func (p *Policy) overdue(now int64, t *task, number int) {
	h := &t.handOffs[number]
	if h.server.silentFrom > h.sentAt && !h.blamed {
		// Guards against servers that leave one category unanswered and serve the others.
		h.blamed = true
		p.mark(now, h.server, t, 1, Error)
	}
	switch {
	case t.category.Repeat == Exclusive:
	case p.set.MayDuplicate && p.copies >= 1:
		if s := p.draw(now, t); s != nil {
			p.copies--
			p.handTo(now, t, s)
		}
	case !p.set.MayDuplicate && p.set.MayRecall && t.category.Repeat == Rerunnable && len(t.handOffs) < p.set.MaxHandOffs:
		p.host.Recall(t.ID, number)
	}
}

// age lets what was learned of a server that is no longer heard drift to what its fellows show.
func (p *Policy) age(now int64) {
	high, n := 0.0, 0.0
	for _, s := range p.servers {
		if s.State == Active && s.known && !p.shunned(now, s) {
			high, n = high+s.high, n+1
		}
	}
	if n > 0 {
		p.high = high / n
	}
	for _, s := range p.servers {
		s.high += (p.high - s.high) * learn * (1 - min(1, s.own.N*learn))
		s.own.Fade(1 - learn)
		for i := range s.standing {
			s.standing[i].n *= 1 - learn
			s.standing[i].told *= forget
		}
	}
	for _, pod := range p.pods {
		pod.Fade(1 - learn)
	}
	p.fleet.Fade(forget)
	p.rate += (float64(p.arrived) - p.rate) / 8
	p.arrived, p.deaths = 0, p.deaths*forget
	if p.idle < math.MaxInt64/2 {
		p.idle += p.idle / 32
	}
	p.dues()
	p.survey(now)
	idle := !slices.ContainsFunc(p.servers, func(s *server) bool { return s.out > 0 })
	for i := range p.of {
		c := &p.of[i]
		if c.taken == 0 || idle && c.away > c.taken {
			// Guards against a lock-out: a bound so high that next to nothing is taken would not be measured again.
			c.spread = max(1, c.spread*(1-learn))
		}
		c.asked *= askedFade
		c.fares += (1 - c.fares) * (1 - askedFade) / (c.asked + 1) // what is no longer asked for holds back nobody
		c.taken, c.away = 0, 0
	}
}

// probe asks the server that was asked longest ago for its load, once in so many tasks, where answers bring none.
// Guards against w never being heard; more probes, or telling what they brought, cost more than they were worth.
func (p *Policy) probe(now int64) {
	if p.set.MayProbe && p.set.ProbesReport && p.asks%probeEach == 0 {
		var longest *server
		for _, s := range p.servers {
			if s.near && (longest == nil || s.askedAt < longest.askedAt) {
				longest = s
			}
		}
		if longest != nil {
			longest.askedAt = now
			p.host.Probe(longest.Server)
		}
	}
}

// Probed takes what a probe brought.
func (p *Policy) Probed(now int64, id ServerID, o Outcome, r Report) {
	if s := p.byID[id]; s != nil && o == Satisfied {
		p.report(now, s, &r)
	}
}
