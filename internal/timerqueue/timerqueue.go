// Package timerqueue is a queue of what is to be done when. It has no clock: times are told. It must never give what is not due.
package timerqueue

import "container/heap"

type timer struct {
	at     int64
	cookie uint64
}

// Queue holds timers; the zero value holds none.
type Queue struct{ all byTime }

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

// Set adds a timer.
func (q *Queue) Set(at int64, cookie uint64) { heap.Push(&q.all, timer{at, cookie}) }

// Due takes out the earliest timer if its time has come.
func (q *Queue) Due(now int64) (cookie uint64, due bool) {
	if len(q.all) == 0 || q.all[0].at > now {
		return 0, false
	}
	return heap.Pop(&q.all).(timer).cookie, true
}

// Wait is how long it is until the earliest timer, at most a while.
func (q *Queue) Wait(now, most int64) int64 {
	if len(q.all) == 0 {
		return most
	}
	return q.all[0].at - now
}
