// Package jsonsplit takes JSON objects and arrays apart without decoding what they hold.
// Package encoding/json rejects a whole text if one value in it is nested too deeply;
// here each value can be decoded by itself, or left out.
package jsonsplit

import (
	"bytes"
	"encoding/json"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Members returns the undecoded values of a JSON object by their keys.
func Members(object []byte) (map[string]json.RawMessage, error) {
	s := splitter{text: object}
	found := map[string]json.RawMessage{}
	err := s.each('{', '}', func() error {
		raw := s.value()
		var key string
		if err := json.Unmarshal(raw, &key); err != nil {
			return err
		}
		if s.next() != ':' {
			return errSplit
		}
		s.at++
		found[key] = s.value()
		return nil
	})
	return found, err
}

// Elements returns the undecoded elements of a JSON array, none of null.
func Elements(array []byte) ([]json.RawMessage, error) {
	if string(array) == "null" {
		return nil, nil
	}
	s := splitter{text: array}
	var found []json.RawMessage
	err := s.each('[', ']', func() error {
		found = append(found, s.value())
		return nil
	})
	return found, err
}

// errSplit reports text that is not the expected JSON value.
var errSplit = errs.Refuse(errs.FrameMalformed, "not a JSON object or array")

// valueEnds are the bytes that end a number or a literal.
var valueEnds = []byte(",:]} \t\r\n")

// splitter walks over the values of a JSON text. It finds where they end and does not
// check them: whoever decodes a value does.
type splitter struct {
	text []byte
	at   int
}

// next skips white space and returns the next byte, 0 at the end.
func (s *splitter) next() byte {
	for s.at < len(s.text) {
		switch c := s.text[s.at]; c {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return c
		}
	}
	return 0
}

// each calls member at each member of the object or array that follows.
func (s *splitter) each(open, end byte, member func() error) error {
	if s.next() != open {
		return errSplit
	}
	s.at++
	if s.next() == end {
		return nil
	}
	for {
		before := s.at
		if err := member(); err != nil {
			return err
		}
		switch c := s.next(); {
		case c == end:
			return nil
		case c != ',' || s.at == before:
			return errSplit
		}
		s.at++
	}
}

// value skips a value and returns it.
func (s *splitter) value() json.RawMessage {
	s.next()
	from := s.at
	for depth, ended := 0, false; s.at < len(s.text) && !ended; {
		c := s.text[s.at]
		if depth == 0 && bytes.IndexByte(valueEnds, c) >= 0 {
			break // the end of a number or a literal
		}
		s.at++
		switch c {
		case '"':
			s.skipString()
			ended = depth == 0
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			ended = depth == 0
		}
	}
	return json.RawMessage(s.text[from:s.at])
}

// skipString skips the rest of a string whose first quote has been read.
func (s *splitter) skipString() {
	for s.at < len(s.text) {
		c := s.text[s.at]
		s.at++
		switch c {
		case '\\':
			s.at = min(s.at+1, len(s.text))
		case '"':
			return
		}
	}
}
