package translate

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"
	"unicode/utf8"
)

// Type is the type of a field.
type Type uint8

// The types of fields. There is no floating-point type: amounts are exact.
const (
	Text    Type = iota // valid UTF-8
	Bytes               // any bytes; in base64 (RFC 4648, section 4) everywhere but in Thrift
	Int                 // 64 bits, signed
	Decimal             // 64 bits, signed, with a fixed number of decimals
	Bool                // true or false
	Enum                // one of a list of texts
	Date                // a day of the Gregorian calendar, in the years 1 to 9999
	Instant             // a point in time in milliseconds, in the years 1 to 9999
)

var typeNames = map[string]Type{"text": Text, "bytes": Bytes, "int": Int, "decimal": Decimal, "bool": Bool, "enum": Enum,
	"date": Date, "instant": Instant}

// String returns the name of the type in the file.
func (t Type) String() string {
	for name, other := range typeNames {
		if other == t {
			return name
		}
	}
	return fmt.Sprintf("type %d", uint8(t))
}

// value is the value of a field.
type value struct {
	set  bool   // false for an absent field
	num  int64  // an Int; a Decimal times 10^scale; 1 for true; the index of an Enum's value; days or milliseconds since 1970
	text []byte // of a Text or Bytes
}

// Kind classifies refusals.
type Kind uint8

// The kinds of refusals.
const (
	Malformed  Kind = iota // the message does not have the form of its shape
	Missing                // a field that is not optional is absent
	OutOfRange             // a value is out of the range of either shape
	Forbidden              // a field that must be absent is present, or a member is not declared by any field
	TooLarge               // the message or its translation is too large
)

var kindNames = [...]string{"malformed", "missing", "out of range", "forbidden", "too large"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Refusal is the error of a message that can't be translated. Its text is sent to clients.
type Refusal struct {
	Kind   Kind
	Field  string // of the source or the target shape; empty for the whole message
	Reason string
}

// Error returns the field, the kind and the reason.
func (r *Refusal) Error() string {
	if r.Field == "" {
		return fmt.Sprintf("%v: %s", r.Kind, r.Reason)
	}
	return fmt.Sprintf("%s: %v: %s", r.Field, r.Kind, r.Reason)
}

var (
	errNotDecimal = errors.New("not a decimal number")
	errDecimals   = errors.New("more decimals than the field holds")
	errRange      = errors.New("beyond 64 bits")
)

// maxDecimals is the maximum number of decimals of a field: 10^18 still fits 64 bits.
const maxDecimals = 18

// parseDecimal parses a decimal number as in JSON (RFC 8259, section 6), but with any number of leading zeros, and returns
// it times 10^scale. The result is exact: it fails where digits would have to be rounded off.
func parseDecimal(b []byte, scale int) (int64, error) {
	negative := len(b) > 0 && b[0] == '-'
	if negative {
		b = b[1:]
	}
	digits, point, exponent := b, -1, 0 // point is the index of the decimal point
	for i, c := range b {
		if c == 'e' || c == 'E' {
			digits = b[:i]
			n, err := strconv.ParseInt(string(b[i+1:]), 10, 16)
			if err != nil {
				if errors.Is(err, strconv.ErrRange) {
					return 0, errRange
				}
				return 0, errNotDecimal
			}
			exponent = int(n)
			break
		}
		if c == '.' && point < 0 {
			point = i
		} else if c < '0' || c > '9' {
			return 0, errNotDecimal
		}
	}
	whole := len(digits) // the number of digits before the point
	if point >= 0 {
		whole = point
	}
	if whole == 0 || point == len(digits)-1 && point >= 0 {
		return 0, errNotDecimal
	}
	n := uint64(0)
	significant := whole + exponent + scale // the number of digits of the result
	seen := 0
	for i, c := range digits {
		if i == point {
			continue
		}
		if seen++; seen > significant {
			if c != '0' {
				return 0, errDecimals
			}
			continue
		}
		if n > (math.MaxInt64-9)/10 && (n > math.MaxInt64/10 || n*10+uint64(c-'0') > math.MaxInt64) {
			return 0, errRange
		}
		n = n*10 + uint64(c-'0')
	}
	for ; seen < significant && n != 0; seen++ {
		if n > math.MaxInt64/10 {
			return 0, errRange
		}
		n *= 10
	}
	if negative {
		return -int64(n), nil
	}
	return int64(n), nil
}

// appendDecimal appends n / 10^scale, with all scale decimals.
func appendDecimal(to []byte, n int64, scale int) []byte {
	var buf [24]byte
	u := uint64(n)
	if n < 0 {
		to, u = append(to, '-'), -u
	}
	digits := strconv.AppendUint(buf[:0], u, 10)
	whole := len(digits) - scale
	if whole > 0 {
		to = append(to, digits[:whole]...)
	} else {
		to = append(to, '0')
	}
	if scale == 0 {
		return to
	}
	to = append(to, '.')
	for i := whole; i < 0; i++ {
		to = append(to, '0')
	}
	return append(to, digits[max(0, whole):]...)
}

// rescale converts n from a scale of 10^from to one of 10^to. It fails where the result would not be exact.
func rescale(n int64, from, to int) (int64, error) {
	for ; from < to; from++ {
		if n > math.MaxInt64/10 || n < math.MinInt64/10 {
			return 0, errRange
		}
		n *= 10
	}
	for ; from > to; from-- {
		if n%10 != 0 {
			return 0, errDecimals
		}
		n /= 10
	}
	return n, nil
}

// Layouts and bounds of dates and instants. Days are counted from 1970-01-01.
const (
	isoDate     = "2006-01-02"
	localLayout = "2006-01-02T15:04:05"
	dayInMS     = 24 * 60 * 60 * 1000
	minDay      = -719162 // 0001-01-01
	maxDay      = 2932896 // 9999-12-31
)

func parseDate(b []byte, layout string) (int64, error) {
	if layout == "" {
		days, err := parseDecimal(b, 0)
		if err == nil && (days < minDay || days > maxDay) {
			err = errYearRange
		}
		return days, err
	}
	t, err := time.Parse(layout, string(b))
	var buf [32]byte
	if err != nil || !bytes.Equal(t.AppendFormat(buf[:0], layout), b) { // package time accepts some other forms too
		return 0, fmt.Errorf("not a date like %s", layout)
	}
	if t.Year() < 1 { // package time accepts the year 0
		return 0, errYearRange
	}
	return t.Unix() / (24 * 60 * 60), nil
}

func appendDate(to []byte, days int64, layout string) []byte {
	if layout == "" {
		return strconv.AppendInt(to, days, 10)
	}
	return time.Unix(days*24*60*60, 0).UTC().AppendFormat(to, layout)
}

// errYearRange is the error of a date or an instant outside the years that every form can represent.
var errYearRange = errors.New("beyond the years 1 to 9999")

// errClockChange is the error of a local time that occurred twice or never, because of a change to or from daylight saving time.
var errClockChange = errors.New("came twice or never, as the clocks were changed")

// parseInstant parses an instant and returns milliseconds since 1970. A local time must be one that occurred exactly once.
func parseInstant(b []byte, f *field) (int64, error) {
	switch f.form {
	case "unix-s", "unix-ms":
		scale := 0 // milliseconds
		if f.form == "unix-s" {
			scale = 3
		}
		n, err := parseDecimal(b, scale)
		if err == nil && (n < minDay*dayInMS || n >= (maxDay+1)*dayInMS) {
			err = errYearRange
		}
		return n, err
	case "local":
		t, err := time.Parse(localLayout, string(b))
		if err != nil || t.Format(localLayout) != string(b) {
			return 0, fmt.Errorf("not a time like %s", localLayout)
		}
		if t.Year() < 1 {
			return 0, errYearRange
		}
		return instantOfLocal(t, f.zone)
	}
	t, err := time.Parse(time.RFC3339, string(b))
	if err != nil || len(b) < 20 || b[10] != 'T' {
		return 0, errors.New("not a time as RFC 3339 has it")
	}
	if ms := t.UnixMilli(); ms < minDay*dayInMS || ms >= (maxDay+1)*dayInMS {
		return 0, errYearRange
	}
	if t.Nanosecond()%1e6 != 0 {
		return 0, errors.New("finer than a millisecond")
	}
	return t.UnixMilli(), nil
}

// instantOfLocal returns the instant, in milliseconds since 1970, at which the local time of a zone was the given one.
func instantOfLocal(local time.Time, zone *time.Location) (int64, error) {
	var found []int64
	// A zone's offset from UTC is at most 15 hours, and changes by no more than a day: the offsets 26 hours before and after
	// are the candidates.
	for _, delta := range []int64{-26 * 3600, 26 * 3600} {
		_, offset := time.Unix(local.Unix()+delta, 0).In(zone).Zone()
		t := local.Unix() - int64(offset)
		if localSeconds(t, zone) == local.Unix() && (len(found) == 0 || found[0] != t) {
			found = append(found, t)
		}
	}
	if len(found) != 1 {
		return 0, errClockChange
	}
	return found[0] * 1000, nil
}

// localSeconds returns the local time of a zone at an instant, both as seconds since 1970.
func localSeconds(t int64, zone *time.Location) int64 {
	_, offset := time.Unix(t, 0).In(zone).Zone()
	return t + int64(offset)
}

// appendInstant appends an instant. It fails if the field's form is too coarse for it, or if its local time is ambiguous.
func appendInstant(to []byte, ms int64, f *field) ([]byte, error) {
	t := time.UnixMilli(ms)
	switch f.form {
	case "unix-ms":
		return strconv.AppendInt(to, ms, 10), nil
	case "unix-s":
		if ms%1000 != 0 {
			return to, errors.New("finer than a second")
		}
		return strconv.AppendInt(to, ms/1000, 10), nil
	case "local":
		if ms%1000 != 0 {
			return to, errors.New("finer than a second")
		}
		local := time.Unix(localSeconds(ms/1000, f.zone), 0).UTC()
		if back, err := instantOfLocal(local, f.zone); err != nil || back != ms {
			return to, errClockChange
		}
		return local.AppendFormat(to, localLayout), nil
	}
	return t.UTC().AppendFormat(to, "2006-01-02T15:04:05.999Z07:00"), nil
}

// parse parses the text of a field, and checks the field's bounds.
func (f *field) parse(b []byte) (value, *Refusal) {
	v := value{set: true}
	var err error
	switch f.Type {
	case Text:
		if v.text = b; !utf8.Valid(b) {
			return v, f.refuse(Malformed, "not valid UTF-8")
		}
	case Bytes:
		if v.text = b; f.place != inThrift {
			v.text = make([]byte, base64.StdEncoding.DecodedLen(len(b)))
			var n int
			n, err = base64.StdEncoding.Strict().Decode(v.text, b)
			v.text = v.text[:n]
		}
	case Int:
		v.num, err = parseDecimal(b, 0)
	case Decimal:
		v.num, err = parseDecimal(b, f.scale)
	case Bool:
		switch string(b) {
		case "true":
			v.num = 1
		case "false":
		default:
			err = errors.New("neither true nor false")
		}
	case Enum:
		v.num = -1
		for i, name := range f.values {
			if name == string(b) {
				v.num = int64(i)
			}
		}
		if v.num < 0 {
			return v, f.refuse(OutOfRange, "%q is none of its values", clip(b))
		}
	case Date:
		v.num, err = parseDate(b, f.layout)
	case Instant:
		v.num, err = parseInstant(b, f)
	}
	switch {
	case errors.Is(err, errRange) || errors.Is(err, errDecimals) || errors.Is(err, errClockChange) || errors.Is(err, errYearRange):
		return v, f.refuse(OutOfRange, "%q is %v", clip(b), err)
	case err != nil:
		return v, f.refuse(Malformed, "%q: %v", clip(b), err)
	}
	return v, f.check(v)
}

// clip shortens a value for an error message.
func clip(b []byte) []byte { return b[:min(len(b), 40)] }

// check checks a value against the field's bounds.
func (f *field) check(v value) *Refusal {
	switch f.Type {
	case Text, Bytes:
		if int64(len(v.text)) > f.max || int64(len(v.text)) < f.min {
			return f.refuse(OutOfRange, "%d bytes, %d to %d are possible", len(v.text), f.min, f.max)
		}
	case Int, Decimal:
		if v.num > f.max || v.num < f.min {
			return f.refuse(OutOfRange, "%s is not between %s and %s", appendDecimal(nil, v.num, f.scale),
				appendDecimal(nil, f.min, f.scale), appendDecimal(nil, f.max, f.scale))
		}
	}
	return nil
}

func (f *field) refuse(k Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: k, Field: f.name, Reason: fmt.Sprintf(format, args...)}
}

// append appends the text of a field.
func (f *field) append(to []byte, v value) ([]byte, *Refusal) {
	switch f.Type {
	case Text:
		return append(to, v.text...), nil
	case Bytes:
		return base64.StdEncoding.AppendEncode(to, v.text), nil
	case Bool:
		return strconv.AppendBool(to, v.num != 0), nil
	case Enum:
		return append(to, f.values[v.num]...), nil
	case Date:
		return appendDate(to, v.num, f.layout), nil
	case Instant:
		to, err := appendInstant(to, v.num, f)
		if err != nil {
			return to, f.refuse(OutOfRange, "%v", err)
		}
		return to, nil
	}
	return appendDecimal(to, v.num, f.scale), nil
}
