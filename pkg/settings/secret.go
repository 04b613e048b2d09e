package settings

import "fmt"

// Redacted is printed in place of a Secret.
const Redacted = "[redacted]"

// Secret is a value that must not appear in logs, faults or output. fmt, JSON
// and logrus print it as Redacted; Reveal returns the value.
type Secret string

// Reveal returns the value itself.
func (s Secret) Reveal() string { return string(s) }

// Format implements fmt.Formatter for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(Redacted)) }

// String implements fmt.Stringer.
func (s Secret) String() string { return Redacted }

// MarshalText implements encoding.TextMarshaler, which JSON and logrus use.
func (s Secret) MarshalText() ([]byte, error) { return []byte(Redacted), nil }
