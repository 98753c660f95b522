package transport

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
)

var (
	setLibraryLogger sync.Once
	latestLog        atomic.Pointer[logrus.FieldLogger] // of the engine that was started last
)

// useLog makes nbio, which has one logger for the whole process, log to the log of the engine that was started last.
func useLog(log logrus.FieldLogger) {
	latestLog.Store(&log)
	setLibraryLogger.Do(func() { logging.DefaultLogger = nbioLog{} })
}

// nbioLog forwards nbio's warnings and errors to the latest log. It drops nbio's other messages: they concern
// single connections, whose handlers are notified anyway.
type nbioLog struct{}

func (nbioLog) SetLevel(int)         {}
func (nbioLog) Debug(string, ...any) {}
func (nbioLog) Info(string, ...any)  {}
func (l nbioLog) Warn(format string, v ...any) {
	l.entry(format, v).Warn(logfields.PollerLibraryReported)
}
func (l nbioLog) Error(format string, v ...any) {
	l.entry(format, v).Error(logfields.PollerLibraryReported)
}

// entry returns a log entry with a message of nbio.
func (nbioLog) entry(format string, v []any) *logrus.Entry {
	return (*latestLog.Load()).WithField(logfields.Detail, fmt.Sprintf(format, v...))
}
