// Package timerqueue is a queue of timers ordered by time. It has no clock: the caller passes the time to each call, in
// nanoseconds of any one clock. A Queue is not safe for concurrent use.
package timerqueue

import "container/heap"

type timer struct {
	at int64
	id uint64
}

// Queue holds timers; the zero value is an empty queue.
type Queue struct{ timers byTime }

// byTime is a heap of timers, the earliest first.
type byTime []timer

func (t byTime) Len() int           { return len(t) }
func (t byTime) Less(i, j int) bool { return t[i].at < t[j].at }
func (t byTime) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *byTime) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *byTime) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// Set adds a timer, which Due returns by its cookie.
func (q *Queue) Add(at int64, cookie uint64) { heap.Push(&q.timers, timer{at, cookie}) }

// Due removes the earliest timer if its time has come.
func (q *Queue) PopDue(now int64) (cookie uint64, due bool) {
	if len(q.timers) == 0 || q.timers[0].at > now {
		return 0, false
	}
	return heap.Pop(&q.timers).(timer).id, true
}

// Wait is the time until the earliest timer; ifEmpty without any.
func (q *Queue) UntilNext(now, ifEmpty int64) int64 {
	if len(q.timers) == 0 {
		return ifEmpty
	}
	return q.timers[0].at - now
}
