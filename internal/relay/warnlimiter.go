package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// warnInterval is the least time between two warnings of one kind.
const warnInterval = 10 * time.Second

// warnLimiter limits the rate of warnings about what other processes do, kind by kind. It is safe for concurrent use.
type warnLimiter struct {
	mu         sync.Mutex
	last       map[string]time.Time
	suppressed map[string]int
}

// warn logs a warning with how many of its kind were suppressed, or suppresses it.
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

// warnInvalid warns of records that could not be decoded, if there are any.
func (l *warnLimiter) warnInvalid(log *zap.Logger, records int64, last string) {
	if records > 0 {
		l.warn(log, "invalid", "records skipped", zap.Int64("records", records), zap.String("last", last))
	}
}
