package wire

import (
	"encoding/binary"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

const (
	// maxElements is the length of the longest list in a valid message: the rows of
	// a SearchPartial, which take at least 16 bytes each. A map of this length has
	// twice as many nested values.
	maxElements = MaxTrafficFrameBytes / 16
	// maxDepth bounds the nesting of lists and maps.
	maxDepth = 16
)

// checkBody verifies that b is one msgpack value and that every length announced
// in it fits into the bytes that follow. The decoder allocates a list of structs
// by its announced length and recurses without a limit, so a frame of ten bytes
// could otherwise crash the process.
func checkBody(b []byte) error {
	var pending [maxDepth + 1]int
	depth := 0
	pending[0] = 1
	for depth >= 0 {
		if pending[depth] == 0 {
			depth--
			continue
		}
		pending[depth]--
		skip, elements, ok := scanValue(b)
		if !ok || skip > len(b) || elements > len(b)-skip || elements > 2*maxElements {
			return errs.Refuse(errs.FrameMalformed, "length exceeds the frame")
		}
		b = b[skip:]
		if elements == 0 {
			continue
		}
		if depth == maxDepth {
			return errs.Refuse(errs.FrameMalformed, "nesting exceeds %d", maxDepth)
		}
		depth++
		pending[depth] = elements
	}
	if len(b) > 0 {
		return errs.Refuse(errs.FrameMalformed, "%d extra bytes", len(b))
	}
	return nil
}

// scanValue returns the size in bytes of the value at the start of b without its
// nested values, and the number of its nested values. A pair of a map counts as
// two nested values.
func scanValue(b []byte) (skip, elements int, ok bool) {
	if len(b) == 0 {
		return 0, 0, false
	}
	c := b[0]
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		return 1, 0, true
	case c <= 0x8f:
		return 1, 2 * int(c&0x0f), true
	case c <= 0x9f:
		return 1, int(c & 0x0f), true
	case c <= 0xbf:
		return 1 + int(c&0x1f), 0, true
	case c >= 0xd4 && c <= 0xd8:
		return 2 + 1<<(c-0xd4), 0, true
	}
	return scanSizedValue(c, b[1:])
}

// scanSizedValue handles the values whose first byte c gives the width of the
// number or length that follows in b.
func scanSizedValue(c byte, b []byte) (skip, elements int, ok bool) {
	switch c {
	case 0xc4, 0xc5, 0xc6, 0xd9, 0xda, 0xdb:
		first := byte(0xc4)
		if c >= 0xd9 {
			first = 0xd9
		}
		width, n, ok := scanLength(b, 1<<(c-first))
		return 1 + width + n, 0, ok
	case 0xc7, 0xc8, 0xc9:
		width, n, ok := scanLength(b, 1<<(c-0xc7))
		return 2 + width + n, 0, ok
	case 0xca, 0xcb:
		return 1 + 4<<(c-0xca), 0, true
	case 0xcc, 0xcd, 0xce, 0xcf:
		return 1 + 1<<(c-0xcc), 0, true
	case 0xd0, 0xd1, 0xd2, 0xd3:
		return 1 + 1<<(c-0xd0), 0, true
	case 0xdc, 0xdd:
		width, n, ok := scanLength(b, 2<<(c-0xdc))
		return 1 + width, n, ok
	case 0xde, 0xdf:
		width, n, ok := scanLength(b, 2<<(c-0xde))
		return 1 + width, 2 * n, ok
	}
	return 0, 0, false
}

// scanLength reads a length of the given width in bytes and returns the width and
// the length.
func scanLength(b []byte, width int) (int, int, bool) {
	if len(b) < width {
		return 0, 0, false
	}
	switch width {
	case 1:
		return width, int(b[0]), true
	case 2:
		return width, int(binary.BigEndian.Uint16(b)), true
	}
	return width, int(binary.BigEndian.Uint32(b)), true
}
