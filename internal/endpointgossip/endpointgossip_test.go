package endpointgossip

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const beat = int64(50e6)

// net is some nodes whose loads are lost or late by a draw. A load that goes out comes in within the same beat, or late later.
type net struct {
	t     *testing.T
	now   int64
	draw  *rand.Rand
	loss  float64
	late  int64
	mute  int // one that hears and says nothing; -1: nobody
	nodes []*node
	due   []due
}

type node struct {
	net   *net
	index int
	core  *Hearsay
	word  bool
	list  map[string]Line // as it goes by it
	heard int
	sent  int // in this beat
}

type due struct {
	at, from, to int64
	load         []byte
}

func (n *node) SendPayload(to int, load []byte) {
	s := n.net
	if len(load) >= MostLoad {
		s.t.Fatalf("a load of %d bytes", len(load))
	}
	n.sent++
	if s.draw.Float64() >= s.loss && n.index != s.mute && to != s.mute {
		s.due = append(s.due, due{s.now + s.late, int64(n.index), int64(to), load})
	}
}

func (n *node) Reachable() (out []int) {
	for i := range n.net.nodes {
		if i != n.index {
			out = append(out, i)
		}
	}
	return out
}

func (n *node) goBy(lines []Line, whole bool) {
	if lines == nil {
		return
	}
	if whole {
		n.list = map[string]Line{}
	}
	for _, l := range lines {
		n.list[l.Name] = l
	}
}

func newNet(t *testing.T, nodes int, seed uint64, remembered func(i int) (int64, []Line)) *net {
	s := &net{t: t, mute: -1, now: 1_700_000_000e9, draw: rand.New(rand.NewPCG(seed, 1))}
	for i := range nodes {
		n := &node{net: s, index: i, list: map[string]Line{}}
		var version int64
		var lines []Line
		if remembered != nil {
			version, lines = remembered(i)
			n.goBy(lines, true)
		}
		n.core = New(seed*1000+uint64(i), n, s.now, version, lines, false)
		s.nodes = append(s.nodes, n)
	}
	return s
}

// step plays one beat of all.
func (s *net) step() {
	s.now += beat
	for _, n := range s.nodes {
		n.sent = 0
		word := int64(0)
		if n.word {
			word = s.now
		}
		n.goBy(n.core.Beat(s.now, word), true)
	}
	for len(s.due) > 0 {
		var later []due
		came := false
		for k := 0; k < len(s.due); k++ {
			d := s.due[k]
			if d.at > s.now {
				later = append(later, d)
				continue
			}
			came = true
			n := s.nodes[d.to]
			n.heard++
			n.goBy(n.core.Heard(s.now, int(d.from), d.load), false)
		}
		if s.due = later; !came {
			break
		}
	}
	for _, n := range s.nodes {
		if n.sent > asksABeat+answersABeat {
			s.t.Fatalf("n%d sent %d loads in a beat", n.index, n.sent)
		}
	}
}

// tell has a node's own watch tell a whole list.
func (n *node) tell(version int64, lines []Line) {
	n.word = true
	if all := n.core.Listed(n.net.now, version, lines, nil, true); all != nil {
		lines = all
	}
	n.goBy(lines, true)
}

func lines(count int, draining ...int) (out []Line) {
	for i := range count {
		out = append(out, Line{Name: fmt.Sprintf("server-%04d", i), Address: fmt.Sprintf("10.20.%d.%d:8080", i/250, i%250), Zone: "north", Pod: i % 3, Weight: 1, Started: 1_699_999_000e9})
	}
	for _, i := range draining {
		out[i].Draining = true
	}
	return out
}

func (n *node) usable() (count int) {
	for _, l := range n.list {
		if !l.Draining {
			count++
		}
	}
	return count
}

func TestOneListReachesAll(t *testing.T) {
	for _, c := range []struct {
		nodes, servers int
		loss           float64
		within         int
	}{{3, 4, 0, 10}, {12, 120, 0, 25}, {12, 120, 0.3, 60}, {300, 120, 0.1, 60}, {40, 4000, 0.1, 300}} {
		s := newNet(t, c.nodes, 3, nil)
		s.loss = c.loss
		for range 10 {
			s.step()
		}
		s.nodes[1].tell(5, lines(c.servers))
		took, most := -1, 0
		for k := range c.within {
			s.step()
			have := 0
			for _, n := range s.nodes {
				if most = max(most, n.core.answers); len(n.list) == c.servers {
					have++
				}
			}
			if have == c.nodes {
				took = k + 1
				break
			}
		}
		sent := int64(0)
		for _, n := range s.nodes {
			sent += n.core.counts.Asked + n.core.counts.Answered
		}
		t.Logf("%d nodes, %d servers, loss %.1f: %d beats, %d loads, at most %d answered by one in a beat", c.nodes, c.servers, c.loss, took, sent, most)
		if took < 0 {
			t.Errorf("%d nodes, %d servers, loss %.1f: not all within %d beats", c.nodes, c.servers, c.loss, c.within)
		}
	}
}

func TestThoseThatWakeTogetherDoNotAskTheSame(t *testing.T) {
	s := newNet(t, 300, 4, nil)
	s.step()
	s.step()
	most := 0
	for _, n := range s.nodes {
		if most = max(most, n.heard); n.core.counts.Asked < few {
			t.Errorf("n%d asked %d times in two beats", n.index, n.core.counts.Asked)
		}
	}
	if most > 12 {
		t.Errorf("one of 300 that woke together was asked %d times", most)
	}
	s = newNet(t, 300, 4, nil)
	s.nodes[0].tell(1, lines(3))
	s.step()
	s.step()
	if got := s.nodes[0].core.counts.Answered; got > answersABeat {
		t.Errorf("300 that wake together had one answer %d times", got)
	}
}

func TestOwnWordEndsIt(t *testing.T) {
	s := newNet(t, 3, 5, nil)
	s.nodes[0].tell(9, lines(8, 2))
	for range 20 {
		s.step()
	}
	if got := s.nodes[1].usable(); got != 7 {
		t.Fatalf("by others' word it uses %d", got)
	}
	s.nodes[1].tell(9, lines(8))
	if got := s.nodes[1].usable(); got != 8 {
		t.Fatalf("by its own it uses %d", got)
	}
	before := s.nodes[1].core.counts.Asked
	for range 20 {
		s.step()
	}
	if s.nodes[1].core.counts.Asked != before || s.nodes[1].usable() != 8 {
		t.Error("one whose watch stands asks, or goes by others")
	}
	// Lost again, gossip counts; a watch that goes on without news brings its own list back.
	s.nodes[1].word = false
	s.nodes[0].tell(10, lines(8, 2, 3))
	for range 30 {
		s.step()
	}
	if got := s.nodes[1].usable(); got != 6 {
		t.Fatalf("without a watch it does not hear of drains: uses %d", got)
	}
	s.nodes[1].word = true
	for range quiet + 1 {
		s.step()
	}
	if got := s.nodes[1].usable(); got != 8 {
		t.Errorf("back with a watch that has nothing new it uses %d", got)
	}
}

func TestWhatIsRememberedGoesBehind(t *testing.T) {
	s := newNet(t, 4, 6, func(i int) (int64, []Line) {
		switch i {
		case 0:
			return 7, lines(8, 1)
		case 1:
			return 3, lines(8)
		}
		return 0, nil
	})
	for range 30 {
		s.step()
	}
	for i, n := range s.nodes {
		if len(n.list) != 8 || !n.list["server-0001"].Draining {
			t.Fatalf("n%d does not know of the drain that one remembers: %v", i, n.list)
		}
	}
	if l := s.nodes[3].list["server-0002"]; l.Started < s.now-60*beat {
		t.Errorf("a server of a list of unknown age is taken for one that runs since %d", l.Started)
	}
	// Discovery is back with an older list: nobody is put back by it, but by the next one after the remembered.
	s.nodes[2].tell(5, lines(9))
	for range 30 {
		s.step()
	}
	for _, i := range []int{0, 1, 3} {
		if n := s.nodes[i]; len(n.list) != 9 || !n.list["server-0001"].Draining {
			t.Errorf("n%d: a list from before the drain put the server back, or told of no new one: %v", i, n.list)
		}
	}
	s.nodes[2].tell(8, lines(9))
	for range 30 {
		s.step()
	}
	for i, n := range s.nodes {
		if n.usable() != 9 {
			t.Errorf("n%d uses %d of a later list", i, n.usable())
		}
	}
}

func TestOneWordDoesNotBanTheFleet(t *testing.T) {
	s := newNet(t, 5, 7, func(int) (int64, []Line) { return 3, lines(8) })
	s.nodes[0].tell(99, lines(8, 0, 1, 2, 3, 4, 5))
	for range 60 {
		s.step()
	}
	for _, n := range s.nodes[1:] {
		if n.usable() != 8 || n.core.counts.Doubted == 0 {
			t.Fatalf("n%d: one node's word left it %d of 8", n.index, n.usable())
		}
	}
	s.nodes[1].tell(99, lines(8, 0, 1, 2, 3, 4, 5))
	for range 60 {
		s.step()
	}
	for _, n := range s.nodes {
		if n.usable() != 2 {
			t.Errorf("n%d uses %d though two watches say 2", n.index, n.usable())
		}
	}
}

// TestTheSameWordAgainIsNoSecondOne has nodes that only repeat what one watch told.
func TestTheSameWordAgainIsNoSecondOne(t *testing.T) {
	s := newNet(t, 6, 7, func(i int) (int64, []Line) {
		if i == 5 {
			return 3, lines(8)
		}
		return 0, nil
	})
	s.nodes[0].tell(99, lines(8, 0, 1, 2, 3, 4, 5))
	for s.mute = 5; s.now < 1_700_000_010e9; {
		if s.step(); s.now == 1_700_000_005e9 {
			s.mute = -1
		}
	}
	if s.nodes[1].usable() != 2 || s.nodes[5].usable() != 8 {
		t.Errorf("who knew nothing uses %d, who knew eight %d", s.nodes[1].usable(), s.nodes[5].usable())
	}
}

func TestARememberedDrainHoldsAgainstWhatWasToldBefore(t *testing.T) {
	s := newNet(t, 3, 6, func(i int) (int64, []Line) {
		if i == 0 {
			return 7, lines(8, 1)
		}
		return 0, nil
	})
	s.nodes[1].tell(5, lines(8))
	for range 30 {
		s.step()
	}
	if n := s.nodes[2]; !n.list["server-0001"].Draining || n.list["server-0002"].Started > lines(8)[2].Started {
		t.Errorf("%v", n.list)
	}
	s.nodes[2].word, s.nodes[1].word = false, false
	s.nodes[1].tell(7, lines(8)) // as new as what is remembered
	for range 30 {
		s.step()
	}
	if got := s.nodes[1].core.mine(); s.nodes[1].usable() != 8 || got.recalled {
		t.Errorf("uses %d, %+v", s.nodes[1].usable(), got)
	}
}

// TestAnswersAfterOwnWord has a watch tell while answers to what the node had asked are still on their way.
func TestAnswersAfterOwnWord(t *testing.T) {
	s := newNet(t, 2, 12, nil)
	s.late = 8 * beat
	s.nodes[0].tell(9, lines(8, 1))
	for range 12 {
		s.step()
	}
	s.nodes[1].tell(8, lines(8))
	for range 30 {
		s.step()
	}
	if got := s.nodes[1].usable(); got != 8 || s.nodes[1].core.View().Version != 8 {
		t.Errorf("uses %d, %+v", got, s.nodes[1].core.View())
	}
}

// TestWhoHasMoreIsAskedBack has a node with a list ask one that has none, which asks back in the next beat.
func TestWhoHasMoreIsAskedBack(t *testing.T) {
	s := newNet(t, 2, 12, nil)
	n := s.nodes[1]
	n.core.next = 1 << 60
	n.core.Heard(s.now, 0, encode(&message{Kind: question, Version: 4, Digest: 5, Asked: s.now}))
	n.core.Beat(s.now, 0)
	if n.core.counts.Asked != 1 {
		t.Errorf("asked %d times", n.core.counts.Asked)
	}
}

// TestNonsense has one node answer what makes no sense, a thousand times in a beat.
func TestNonsense(t *testing.T) {
	s := newNet(t, 2, 12, nil)
	n := s.nodes[1]
	n.core.Beat(s.now, 0)
	for i := range 1000 {
		page := Line{Name: fmt.Sprint("s", i), Address: "a"}
		if got := n.core.Heard(s.now, 0, encode(&message{Kind: reply, Version: int64(i / 2), Digest: 7, Pages: 2, Page: i % 2, Asked: s.now, Lines: []Line{page}})); got != nil {
			t.Fatalf("taken: %v", got)
		}
	}
	for i := range 1000 { // the first pages of ever better lists
		n.core.Heard(s.now, 0, encode(&message{Kind: reply, Version: 1000 + int64(i/8), Digest: 7, Pages: 40, Page: i % 8, Asked: s.now}))
	}
	if n.core.counts.Asked > asksABeat || n.core.counts.Bad < 400 {
		t.Errorf("%+v", n.core.counts)
	}
}

func TestAServerThatIsOffTheListGetsNothing(t *testing.T) {
	s := newNet(t, 2, 8, func(int) (int64, []Line) { return 3, lines(8) })
	s.nodes[0].tell(4, lines(7))
	for range 20 {
		s.step()
	}
	if n := s.nodes[1]; n.usable() != 7 || !n.list["server-0007"].Draining {
		t.Errorf("it uses %d: %v", n.usable(), n.list)
	}
}

// TestALateAnswerIsOld has answers come ten seconds after they went out: they say who serves, not since when.
func TestALateAnswerIsOld(t *testing.T) {
	for _, late := range []int64{0, 10e9} {
		s := newNet(t, 2, 9, nil)
		s.nodes[0].tell(1, lines(5))
		s.late = late
		began := s.now
		for range 500 {
			s.step()
		}
		l := s.nodes[1].list["server-0000"]
		if cold := l.Started > began; len(s.nodes[1].list) != 5 || cold != (late > 0) {
			t.Errorf("late by %d: %v", late, l)
		}
	}
}

func TestAnEarlierLifesAnswerIsPassedOver(t *testing.T) {
	s := newNet(t, 2, 10, nil)
	s.nodes[0].tell(1, lines(5))
	var copied []due
	for range 5 {
		s.now += beat
		s.nodes[1].core.Beat(s.now, 0)
		for k := 0; k < len(s.due); k++ {
			if d := s.due[k]; d.to == 0 {
				s.nodes[0].core.Heard(s.now, 1, d.load)
			} else {
				copied = append(copied, d)
			}
		}
		s.due = nil
	}
	s.now += beat
	again := New(1, s.nodes[1], s.now, 0, nil, false)
	for _, d := range copied {
		if again.Heard(s.now, 0, d.load) != nil {
			t.Error("taken")
		}
	}
	if len(copied) == 0 || again.counts.Bad != int64(len(copied)) {
		t.Errorf("%d copied, %d passed over", len(copied), again.counts.Bad)
	}
}

// TestTheOrderOfAnswersDoesNotMatter draws versions, drains and starts, and the order in which nodes come to hear of them. All drains
// together leave half of the servers: lists of one version that contradict one another in more are doubted, in the order they come.
func TestTheOrderOfAnswersDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tellers := rapid.IntRange(1, 4).Draw(r, "tellers")
		var told []func(*node)
		for range tellers {
			version := int64(rapid.IntRange(1, 3).Draw(r, "version"))
			list := lines(6, rapid.SliceOfN(rapid.IntRange(0, 2), 0, 2).Draw(r, "draining")...)
			list[rapid.IntRange(0, 5).Draw(r, "which")].Started += int64(rapid.IntRange(0, 2).Draw(r, "start"))
			told = append(told, func(n *node) { n.tell(version, list) })
		}
		s := newNet(t, tellers+3, rapid.Uint64Range(1, 1000).Draw(r, "seed"), nil)
		for i, do := range told {
			do(s.nodes[i])
			for range rapid.IntRange(0, 5).Draw(r, "beats") {
				s.step()
			}
		}
		for range 100 {
			s.step()
		}
		a := s.nodes[tellers].core.mine()
		for _, n := range s.nodes[tellers:] {
			if b := n.core.mine(); b == nil || b.version != a.version || b.digest != a.digest {
				r.Fatalf("two nodes that ask one another go by different lists: %+v, %+v", a, b)
			}
		}
	})
}

func FuzzHeard(f *testing.F) {
	f.Add(encode(&message{Kind: reply, Version: 3, Digest: 4, Pages: 2, Page: 1, Asked: 1_700_000_000e9, Lines: lines(2)}))
	f.Add(encode(&message{Kind: question, Version: 3, Want: []int{0, 900}}))
	f.Add(encode(&message{Kind: question, Version: 3, Want: []int{-5}}))
	f.Add(encode(&message{Kind: reply, Version: 3, Digest: 4, Pages: 2, Page: 5, Asked: 1_700_000_000e9}))
	f.Add(encode(&message{Kind: reply, Version: 3, Digest: 4, Pages: 1 << 40, Asked: 1_700_000_000e9}))
	f.Fuzz(func(t *testing.T, load []byte) {
		s := newNet(t, 2, 1, func(int) (int64, []Line) { return 2, lines(3) })
		n := s.nodes[1]
		for range 3 {
			n.core.Heard(s.now, 0, load)
			n.core.Beat(s.now, 0)
		}
		if n.sent > 3*(asksABeat+answersABeat) || len(n.core.mine().lines) < 3 {
			t.Errorf("%d loads, %d servers", n.sent, len(n.core.mine().lines))
		}
	})
}
