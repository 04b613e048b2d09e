package logging

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const timeFormat = "2006-01-02T15:04:05.000Z"

// partField is the logrus field that holds the name of the part. The Formatter
// prints it before the message.
const partField = "part"

// New returns a logger that writes to out through an AsyncWriter, and that
// writer, which queues up to capacityLines lines.
func New(out io.Writer, level logrus.Level, capacityLines int) (*logrus.Logger, *AsyncWriter) {
	async := NewAsyncWriter(out, capacityLines)
	log := logrus.New()
	log.SetOutput(async)
	log.SetLevel(level)
	log.SetFormatter(&Formatter{})
	// AsyncWriter accepts concurrent writes, so the logger's own lock would
	// only make goroutines that serve requests wait for each other.
	log.SetNoLock()
	return log, async
}

// ForPart returns the log of one part of the process, such as "gateway".
func ForPart(log logrus.FieldLogger, part string) logrus.FieldLogger {
	return log.WithField(partField, part)
}

// Decision logs a routing or placement decision: what was chosen for a query
// and why. query may be any id that the lines of one operation share.
func Decision(log logrus.FieldLogger, query, choice, reason string) {
	entry, ok := log.(*logrus.Entry)
	if !ok {
		log.WithFields(logrus.Fields{"query": query, "choice": choice, "reason": reason}).Info("made a routing or placement decision")
		return
	}
	if !entry.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	async, isAsync := entry.Logger.Out.(*AsyncWriter)
	if !isAsync || len(entry.Data) > 1 {
		entry.WithFields(logrus.Fields{"query": query, "choice": choice, "reason": reason}).Info("made a routing or placement decision")
		return
	}
	// Decisions are by far the most frequent lines. Writing them here, in the
	// format of the Formatter, avoids the maps that logrus allocates for each
	// line.
	b := async.pool.Get().(*bytes.Buffer)
	part, _ := entry.Data[partField].(string)
	writeMessage(b, time.Now(), logrus.InfoLevel, part, "made a routing or placement decision")
	// Fields are sorted by name, as in the Formatter.
	writeField(b, "choice", choice)
	writeField(b, "query", query)
	writeField(b, "reason", reason)
	b.WriteByte('\n')
	async.enqueue(b)
}

// Formatter prints one line: time, level, part, message and sorted fields.
type Formatter struct{}

// Format implements logrus.Formatter.
func (*Formatter) Format(e *logrus.Entry) ([]byte, error) {
	b := e.Buffer
	if b == nil {
		b = &bytes.Buffer{}
	}
	part, _ := e.Data[partField].(string)
	writeMessage(b, e.Time, e.Level, part, e.Message)
	keys := make([]string, 0, len(e.Data))
	for k := range e.Data {
		if k != partField {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		writeField(b, k, fmt.Sprint(e.Data[k]))
	}
	b.WriteByte('\n')
	return b.Bytes(), nil
}

// writeMessage writes the time, the level, the part and the message.
func writeMessage(b *bytes.Buffer, t time.Time, level logrus.Level, part, message string) {
	b.Write(t.UTC().AppendFormat(b.AvailableBuffer(), timeFormat))
	b.WriteByte(' ')
	b.WriteString(level.String())
	b.WriteByte(' ')
	if part != "" {
		b.WriteString(part)
		b.WriteString(": ")
		// The part is printed once, also when the message starts with it.
		message = strings.TrimPrefix(message, part+": ")
	}
	// Line breaks are escaped, so that text from a caller cannot forge a line.
	if strings.ContainsAny(message, "\n\r") {
		message = strings.Trim(strconv.Quote(message), `"`)
	}
	b.WriteString(message)
}

func writeField(b *bytes.Buffer, key, value string) {
	b.WriteByte(' ')
	b.WriteString(key)
	b.WriteByte('=')
	if needsQuoting(value) {
		b.Write(strconv.AppendQuote(b.AvailableBuffer(), value))
		return
	}
	b.WriteString(value)
}

func needsQuoting(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c == '"' || c == '=' || c >= 0x7f {
			return true
		}
	}
	return s == ""
}
