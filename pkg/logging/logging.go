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

// partField is the field that holds the name of a part. It is printed as the
// prefix of the message.
const partField = "part"

// New returns a logger that writes to out through an AsyncWriter with room for
// capacityLines lines.
func New(out io.Writer, level logrus.Level, capacityLines int) (*logrus.Logger, *AsyncWriter) {
	async := NewAsyncWriter(out, capacityLines)
	log := logrus.New()
	log.SetOutput(async)
	log.SetLevel(level)
	log.SetFormatter(&Formatter{})
	// AsyncWriter accepts concurrent writes, so the logger's own lock would only
	// make traffic goroutines wait for each other.
	log.SetNoLock()
	return log, async
}

// ForPart returns the log of one part, such as "gateway".
func ForPart(log logrus.FieldLogger, part string) logrus.FieldLogger {
	return log.WithField(partField, part)
}

// Decision logs a routing or placement decision: what was chosen for a query
// and why. query may be any id that ties lines together.
func Decision(log logrus.FieldLogger, query, choice, reason string) {
	entry, ok := log.(*logrus.Entry)
	if !ok {
		log.WithFields(logrus.Fields{"query": query, "choice": choice, "reason": reason}).Info("decided")
		return
	}
	if !entry.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	async, direct := entry.Logger.Out.(*AsyncWriter)
	if !direct || len(entry.Data) > 1 {
		entry.WithFields(logrus.Fields{"query": query, "choice": choice, "reason": reason}).Info("decided")
		return
	}
	// Decision lines are by far the most frequent ones. This writes what the
	// Formatter would, without the maps that logrus makes for each line.
	b := async.pool.Get().(*bytes.Buffer)
	part, _ := entry.Data[partField].(string)
	writeHead(b, time.Now(), logrus.InfoLevel, part, "decided")
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
	writeHead(b, e.Time, e.Level, part, e.Message)
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

func writeHead(b *bytes.Buffer, at time.Time, level logrus.Level, part, message string) {
	b.Write(at.UTC().AppendFormat(b.AvailableBuffer(), timeFormat))
	b.WriteByte(' ')
	b.WriteString(level.String())
	b.WriteByte(' ')
	if part != "" {
		b.WriteString(part)
		b.WriteString(": ")
		// Some messages name their part themselves.
		message = strings.TrimPrefix(message, part+": ")
	}
	// A line break from outside must not look like a line of its own.
	if strings.ContainsAny(message, "\n\r") {
		message = strings.Trim(strconv.Quote(message), `"`)
	}
	b.WriteString(message)
}

func writeField(b *bytes.Buffer, key, value string) {
	b.WriteByte(' ')
	b.WriteString(key)
	b.WriteByte('=')
	if needsQuote(value) {
		b.Write(strconv.AppendQuote(b.AvailableBuffer(), value))
		return
	}
	b.WriteString(value)
}

func needsQuote(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c == '"' || c == '=' || c >= 0x7f {
			return true
		}
	}
	return s == ""
}
