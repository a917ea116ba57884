// Package logs writes JSON log lines with charmbracelet/log and limits the rate of lines that repeat.
//
// # Usage
//
//	log, err := logs.New(os.Stderr, "info")
//	log.Info("rules accepted", "revision", rev)
//	log.Every("peer "+id, time.Second).Warn("peer did not answer", "vm", id)
//
// Every writes at most one line per key and interval. The next line of the key has the field "suppressed" with the number of
// lines that were not written in between. The number of keys is bounded: beyond MaxKeys, new keys share one rate limit, so
// that keys made from input can't exhaust memory.
//
// NewAsync returns a writer with a queue, so that a slow reader of the output does not block the process. Lines that don't
// fit into the queue are dropped and counted.
//
// All methods are safe for concurrent use.
package logs

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

// MaxKeys is the largest number of keys of Every that have a rate limit of their own.
const MaxKeys = 1024

// sharedKey is the key of the rate limit that all keys beyond MaxKeys share.
const sharedKey = "other"

// Logger writes log lines, with rate limits for lines that repeat.
type Logger struct {
	*log.Logger
	limiter *limiter
}

// New returns a logger that writes JSON lines with UTC times to w. The level is debug, info, warn or error.
func New(w io.Writer, level string) (*Logger, error) {
	parsedLevel, err := log.ParseLevel(level)
	if err != nil || parsedLevel == log.FatalLevel {
		return nil, fmt.Errorf("log level %q: expected debug, info, warn or error", level)
	}
	l := log.NewWithOptions(w, log.Options{
		Level:           parsedLevel,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFunction:    log.NowUTC,
		TimeFormat:      time.RFC3339Nano,
	})
	return Wrap(l), nil
}

// Wrap returns a Logger that writes to l and has rate limits of its own.
func Wrap(l *log.Logger) *Logger {
	return &Logger{Logger: l, limiter: &limiter{now: time.Now, buckets: map[string]*bucket{}}}
}

// With returns a logger that adds the fields to each line. It shares the rate limits of l.
func (l *Logger) With(fields ...any) *Logger {
	return &Logger{Logger: l.Logger.With(fields...), limiter: l.limiter}
}

// Every returns a Line that is written at most once per key and interval. The interval of the first call with a key applies
// to all later calls with that key.
func (l *Logger) Every(key string, interval time.Duration) Line {
	return Line{logger: l, key: key, interval: interval}
}

// Line is one log line that is suppressed if a line of the same key has been written within the interval.
type Line struct {
	logger   *Logger
	key      string
	interval time.Duration
}

// Debug writes the line at level debug unless it is suppressed.
func (n Line) Debug(msg any, fields ...any) { n.write(log.DebugLevel, msg, fields) }

// Info writes the line at level info unless it is suppressed.
func (n Line) Info(msg any, fields ...any) { n.write(log.InfoLevel, msg, fields) }

// Warn writes the line at level warn unless it is suppressed.
func (n Line) Warn(msg any, fields ...any) { n.write(log.WarnLevel, msg, fields) }

// Error writes the line at level error unless it is suppressed.
func (n Line) Error(msg any, fields ...any) { n.write(log.ErrorLevel, msg, fields) }

// write writes the line at the given level unless it is suppressed.
func (n Line) write(level log.Level, msg any, fields []any) {
	// A line below the level of the logger neither uses up the interval nor counts as suppressed.
	if level < n.logger.GetLevel() {
		return
	}
	suppressed, ok := n.logger.limiter.allow(n.key, n.interval)
	if !ok {
		return
	}
	if suppressed > 0 {
		fields = append(fields[:len(fields):len(fields)], "suppressed", suppressed)
	}
	n.logger.Log(level, msg, fields...)
}

// limiter holds a token bucket of size 1 for each key.
type limiter struct {
	now     func() time.Time
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is the token bucket of one key, with the number of lines that were suppressed since the last one was written.
type bucket struct {
	rate       *rate.Limiter
	suppressed int
}

// allow reports whether a line of the key may be written now, and if so, how many lines of the key were suppressed since the
// last one.
func (l *limiter) allow(key string, interval time.Duration) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(key, interval)
	if !b.rate.AllowN(l.now(), 1) {
		b.suppressed++
		return 0, false
	}
	suppressed = b.suppressed
	b.suppressed = 0
	return suppressed, true
}

// bucket returns the bucket of the key, or the shared one if the key is new and there are already MaxKeys. The caller holds
// mu.
func (l *limiter) bucket(key string, interval time.Duration) *bucket {
	b := l.buckets[key]
	if b == nil && len(l.buckets) >= MaxKeys {
		key = sharedKey
		b = l.buckets[key]
	}
	if b == nil {
		b = &bucket{rate: rate.NewLimiter(rate.Every(interval), 1)}
		l.buckets[strings.Clone(key)] = b
	}
	return b
}
