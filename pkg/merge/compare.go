// Package merge sorts and limits the rows of a search and determines how many shards
// of the shard map they cover. The version of the shard map is pinned when the search
// starts. The package performs no I/O.
package merge

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// valueClass is the position of a value's type in the sort order. Values of different
// classes are ordered by their classes alone.
type valueClass uint8

const (
	classNumber valueClass = iota
	classString
	classBool
	classOther
	classNull
)

// number is a numeric value, either an exact integer or a float. Integers are not
// converted to float64: 2^53 and 2^53+1 would both equal the same float64 and the order
// would not be transitive.
type number struct {
	negative  bool
	magnitude uint64
	float     float64
	isFloat   bool
}

// CompareRows compares two rows by the order keys, then by group, then by data. A key
// that is null or absent sorts after every value in both directions, so that a row
// without a value never displaces a row with one.
func CompareRows(a, b *wire.Row, order []model.OrderKey) int {
	for i := range order {
		c := compareKey(keyAt(a, i), keyAt(b, i), order[i].Desc)
		if c != 0 {
			return c
		}
	}
	if c := cmp.Compare(a.Group, b.Group); c != 0 {
		return c
	}
	return bytes.Compare(a.Data, b.Data)
}

// MergeRows sorts rows in place and returns the first limit of them. A limit of 0 or
// less keeps all rows. The rows of a group must not be passed twice: a second copy
// would displace rows of other groups from the result.
func MergeRows(rows []wire.Row, order []model.OrderKey, limit int) []wire.Row {
	slices.SortFunc(rows, func(a, b wire.Row) int { return CompareRows(&a, &b, order) })
	if limit > 0 && len(rows) > limit {
		clear(rows[limit:])
		rows = rows[:limit]
	}
	return rows
}

func keyAt(r *wire.Row, i int) any {
	if i >= len(r.Key) {
		return nil
	}
	return r.Key[i]
}

func compareKey(a, b any, desc bool) int {
	if a == nil || b == nil {
		return cmp.Compare(nullRank(a), nullRank(b))
	}
	c := CompareValues(a, b)
	if desc {
		return -c
	}
	return c
}

func nullRank(v any) int {
	if v == nil {
		return 1
	}
	return 0
}

// CompareValues compares two key values in a total order: first numbers by value with
// NaN last, then strings by byte, then false before true, then values of any other type
// by their printed form, and null last.
func CompareValues(a, b any) int {
	ca, na := classify(a)
	cb, nb := classify(b)
	if ca != cb {
		return cmp.Compare(ca, cb)
	}
	switch ca {
	case classNumber:
		return compareNumbers(na, nb)
	case classString:
		return strings.Compare(a.(string), b.(string))
	case classBool:
		return compareBools(a.(bool), b.(bool))
	case classOther:
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	default:
		return 0
	}
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func classify(v any) (valueClass, number) {
	switch x := v.(type) {
	case nil:
		return classNull, number{}
	case string:
		return classString, number{}
	case bool:
		return classBool, number{}
	case float64:
		return classNumber, numberFromFloat(x)
	case float32:
		return classNumber, numberFromFloat(float64(x))
	case int:
		return classNumber, numberFromInt(int64(x))
	case int8:
		return classNumber, numberFromInt(int64(x))
	case int16:
		return classNumber, numberFromInt(int64(x))
	case int32:
		return classNumber, numberFromInt(int64(x))
	case int64:
		return classNumber, numberFromInt(x)
	case uint:
		return classNumber, number{magnitude: uint64(x)}
	case uint8:
		return classNumber, number{magnitude: uint64(x)}
	case uint16:
		return classNumber, number{magnitude: uint64(x)}
	case uint32:
		return classNumber, number{magnitude: uint64(x)}
	case uint64:
		return classNumber, number{magnitude: x}
	case json.Number:
		return classifyJSON(x)
	default:
		return classOther, number{}
	}
}

func classifyJSON(x json.Number) (valueClass, number) {
	if i, err := x.Int64(); err == nil {
		return classNumber, numberFromInt(i)
	}
	f, err := x.Float64()
	if err != nil && f == 0 {
		return classOther, number{}
	}
	return classNumber, numberFromFloat(f)
}

// numberFromInt converts an integer. The negation of uint64(x) is the exact magnitude
// of the smallest int64 as well, whose negation does not fit into an int64.
func numberFromInt(x int64) number {
	if x < 0 {
		return number{negative: true, magnitude: -uint64(x)}
	}
	return number{magnitude: uint64(x)}
}

// numberFromFloat converts a float64. Whole values with a magnitude that fits into a
// uint64 become integers, so that they compare exactly with integers.
func numberFromFloat(x float64) number {
	const magnitudeLimit = 1 << 64
	if x == math.Trunc(x) && math.Abs(x) < magnitudeLimit {
		return number{negative: x < 0, magnitude: uint64(math.Abs(x))}
	}
	return number{float: x, isFloat: true}
}

func compareNumbers(a, b number) int {
	switch {
	case !a.isFloat && !b.isFloat:
		return compareIntegers(a, b)
	case a.isFloat && b.isFloat:
		return compareFloats(a.float, b.float)
	case a.isFloat:
		return -compareMixed(b, a.float)
	default:
		return compareMixed(a, b.float)
	}
}

func compareIntegers(a, b number) int {
	if a.negative != b.negative {
		return compareBools(b.negative, a.negative)
	}
	c := cmp.Compare(a.magnitude, b.magnitude)
	if a.negative {
		return -c
	}
	return c
}

func compareFloats(a, b float64) int {
	if math.IsNaN(a) || math.IsNaN(b) {
		return compareBools(math.IsNaN(a), math.IsNaN(b))
	}
	return cmp.Compare(a, b)
}

// compareMixed compares an integer with a float64 that is NaN, infinite, outside the
// range of integers or not whole.
func compareMixed(i number, f float64) int {
	const magnitudeLimit = 1 << 64
	switch {
	case math.IsNaN(f) || f >= magnitudeLimit:
		return -1
	case f <= -magnitudeLimit:
		return 1
	}
	floor := math.Floor(f)
	if compareIntegers(i, numberFromFloat(floor)) <= 0 {
		return -1
	}
	return 1
}
