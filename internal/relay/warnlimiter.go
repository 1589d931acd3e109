package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// warnInterval is the minimum interval between two warnings of one kind.
const warnInterval = 10 * time.Second

// warnLimiter limits the rate of warnings that other processes can cause, separately for each kind. It is safe for
// concurrent use.
type warnLimiter struct {
	mu         sync.Mutex
	last       map[string]time.Time // time of the last warning, by kind
	suppressed map[string]int       // warnings suppressed since then, by kind
}

// warn logs a warning with the number of suppressed warnings of its kind, or suppresses it.
func (l *warnLimiter) warn(log *zap.Logger, kind, message string, fields ...zap.Field) {
	l.mu.Lock()
	if l.last == nil {
		l.last = map[string]time.Time{}
		l.suppressed = map[string]int{}
	}
	if time.Since(l.last[kind]) < warnInterval {
		l.suppressed[kind]++
		l.mu.Unlock()
		return
	}
	fields = append(fields, zap.Int("suppressed", l.suppressed[kind]))
	l.last[kind] = time.Now()
	l.suppressed[kind] = 0
	l.mu.Unlock()
	log.Warn(message, fields...)
}

// warnInvalid logs a warning if records is above 0. last describes the last record that could not be decoded.
func (l *warnLimiter) warnInvalid(log *zap.Logger, records int64, last string) {
	if records > 0 {
		l.warn(log, "invalid", "invalid records skipped", zap.Int64("records", records), zap.String("last", last))
	}
}
