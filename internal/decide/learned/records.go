package learned

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ternbeam/choice"
)

// Kind is the kind of the records that hold a State; Format is the newest format of their bodies. A new format gets the
// next number and an upgrade from the one before, which the store applies.
//
//	1: the first
//	2: with the address of a server that connected last
const (
	Kind   = "learned"
	Format = 2
)

// Upgrades convert a body of each older format into the next one.
var Upgrades = []func(body []byte) ([]byte, error){
	func(body []byte) ([]byte, error) { // from 1 to 2: what format 2 adds is optional; a body that is not of format 1 is an error
		_, err := DecodeShared(body)
		if err == nil {
			return body, nil
		}
		b, err := DecodeBucket(body)
		for _, s := range b.Servers {
			if s.Worked != "" {
				err = errors.New("body has a field of format 2")
			}
		}
		return body, err
	},
}

// Bounds of a body's contents.
const (
	maxElements  = 1 << 17
	maxTextBytes = 512
	maxAge       = 100 * 365 * 24 * time.Hour
)

const (
	sharedName   = "learned/shared"
	bucketPrefix = "learned/servers/"
)

// SharedName returns the name of the record that holds the shared data.
func SharedName() string { return sharedName }

// BucketName returns the name of the record that holds bucket i.
func BucketName(i int) string { return fmt.Sprintf("%s%03x", bucketPrefix, i) }

// Stored format, encoded as CBOR maps. Field numbers are never reused.
type (
	storedClock struct {
		Wall   int64  `cbor:"1,keyasint"`
		Boot   int64  `cbor:"2,keyasint,omitempty"`
		BootID string `cbor:"3,keyasint,omitempty"`
		Unsure int64  `cbor:"4,keyasint,omitempty"`
	}
	storedClass struct {
		Name  string `cbor:"1,keyasint"`
		Usual int64  `cbor:"2,keyasint"`
		Least int64  `cbor:"3,keyasint"`
	}
	storedShared struct {
		At       storedClock   `cbor:"1,keyasint"`
		Agent    string        `cbor:"2,keyasint"`
		Idle     int64         `cbor:"3,keyasint"`
		Served   float64       `cbor:"4,keyasint"`
		Lost     float64       `cbor:"5,keyasint"`
		ColdBad  float64       `cbor:"6,keyasint"`
		ColdSeen float64       `cbor:"7,keyasint"`
		Classes  []storedClass `cbor:"8,keyasint"`
		Fleet    []uint64      `cbor:"9,keyasint"`
		Buckets  int           `cbor:"10,keyasint"`
	}
	storedServer struct {
		ID       string  `cbor:"1,keyasint"`
		Addr     string  `cbor:"2,keyasint"`
		Identity uint64  `cbor:"3,keyasint"`
		Started  int64   `cbor:"4,keyasint"`
		Rate     float64 `cbor:"5,keyasint"`
		Use      float64 `cbor:"6,keyasint"`
		Reported int64   `cbor:"7,keyasint"`
		Failing  float64 `cbor:"8,keyasint"`
		Judged   int64   `cbor:"9,keyasint"`
		Ejected  bool    `cbor:"10,keyasint"`
		Trial    int64   `cbor:"11,keyasint"`
		Worked   string  `cbor:"12,keyasint,omitempty"` // since format 2
	}
	storedBucket struct {
		At      storedClock    `cbor:"1,keyasint"`
		Servers []storedServer `cbor:"2,keyasint"`
	}
)

var (
	encoding = mustMode(cbor.CoreDetEncOptions().EncMode())
	decoding = mustMode(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: maxElements,
		MaxMapPairs: 32, IndefLength: cbor.IndefLengthForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func mustMode[T any](m T, err error) T {
	if err != nil {
		panic(err) // constant options are valid
	}
	return m
}

func encodeClock(c Clock) storedClock {
	return storedClock{Wall: int64(c.Wall), Boot: int64(c.Boot), BootID: c.BootID, Unsure: int64(c.Unsure)}
}

// EncodeShared encodes the shared data.
func EncodeShared(s Shared) ([]byte, error) {
	m := s.Memory
	t := storedShared{At: encodeClock(s.At), Agent: s.Agent, Idle: int64(m.Idle), Served: m.Served, Lost: m.Lost, ColdBad: m.ColdBad,
		ColdSeen: m.ColdSeen, Fleet: s.Fleet, Buckets: s.Buckets}
	for _, c := range m.Classes {
		t.Classes = append(t.Classes, storedClass{c.Name, int64(c.Usual), int64(c.Least)})
	}
	return encoding.Marshal(t)
}

// EncodeBucket encodes a bucket.
func EncodeBucket(b Bucket) ([]byte, error) {
	t := storedBucket{At: encodeClock(b.At), Servers: make([]storedServer, 0, len(b.Servers))}
	for _, s := range b.Servers {
		t.Servers = append(t.Servers, storedServer{ID: s.ID, Addr: s.Addr, Identity: s.Identity, Started: int64(s.Started), Rate: s.Rate,
			Use: s.Use, Reported: int64(s.Reported), Failing: s.Failing, Judged: int64(s.Judged), Ejected: s.Ejected, Trial: int64(s.Trial),
			Worked: s.Worked})
	}
	return encoding.Marshal(t)
}

// checker checks decoded fields and records the first one with an invalid value.
type checker struct{ err error }

func (c *checker) fail(field, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
}

func (c *checker) age(field string, ns int64) time.Duration {
	if ns < 0 || ns > int64(maxAge) {
		c.fail(field, "%v is not from 0 to 100 years", time.Duration(ns))
	}
	return time.Duration(ns)
}

func (c *checker) number(field string, x, most float64) float64 {
	if !(x >= 0 && x <= most) {
		c.fail(field, "%v is not from 0 to %v", x, most)
	}
	return x
}

func (c *checker) text(field, t string) string {
	if len(t) > maxTextBytes {
		c.fail(field, "%d bytes, at most %d are allowed", len(t), maxTextBytes)
	}
	return t
}

func (c *checker) clock(field string, t storedClock) Clock {
	return Clock{Wall: c.age(field+".wall", t.Wall), Boot: c.age(field+".boot", t.Boot), BootID: c.text(field+".boot_id", t.BootID),
		Unsure: c.age(field+".unsure", t.Unsure)}
}

// DecodeShared decodes the shared data. It returns an error for values out of range.
func DecodeShared(body []byte) (Shared, error) {
	var t storedShared
	if err := decoding.Unmarshal(body, &t); err != nil {
		return Shared{}, err
	}
	var c checker
	s := Shared{At: c.clock("at", t.At), Agent: c.text("agent", t.Agent), Fleet: t.Fleet, Buckets: t.Buckets,
		Memory: choice.Memory{Idle: c.age("idle", t.Idle), Served: c.number("served", t.Served, math.MaxFloat32),
			Lost: c.number("lost", t.Lost, 1), ColdBad: c.number("cold_bad", t.ColdBad, 1),
			ColdSeen: c.number("cold_seen", t.ColdSeen, math.MaxFloat32)}}
	if t.Buckets < 1 || t.Buckets > MaxBuckets || t.Buckets&(t.Buckets-1) != 0 {
		c.fail("buckets", "%d is not a power of two from 1 to %d", t.Buckets, MaxBuckets)
	}
	for i := 1; i < len(t.Fleet); i++ {
		if t.Fleet[i] < t.Fleet[i-1] {
			c.fail(fmt.Sprintf("fleet[%d]", i), "out of order")
		}
	}
	for i, k := range t.Classes {
		field := fmt.Sprintf("classes[%d].", i)
		s.Memory.Classes = append(s.Memory.Classes, choice.ClassMemory{Name: c.text(field+"name", k.Name), Trust: 1,
			Usual: c.age(field+"usual", k.Usual), Least: c.age(field+"least", k.Least)})
	}
	return s, c.err
}

// DecodeBucket decodes a bucket. It returns an error for values out of range.
func DecodeBucket(body []byte) (Bucket, error) {
	var t storedBucket
	if err := decoding.Unmarshal(body, &t); err != nil {
		return Bucket{}, err
	}
	var c checker
	b := Bucket{At: c.clock("at", t.At)}
	for i, s := range t.Servers {
		field := fmt.Sprintf("servers[%d].", i)
		m := choice.ServerMemory{ID: c.text(field+"id", s.ID), Started: time.Duration(s.Started),
			Rate: c.number(field+"rate", s.Rate, math.MaxFloat32), Use: c.number(field+"use", s.Use, math.MaxFloat32),
			Reported: c.age(field+"reported", s.Reported), Failing: c.number(field+"failing", s.Failing, 1),
			Judged: c.age(field+"judged", s.Judged), Ejected: s.Ejected, Trial: c.age(field+"trial", s.Trial)}
		if m.Rate > 0 {
			m.Trust = 1
		}
		b.Servers = append(b.Servers, Server{ServerMemory: m, Addr: c.text(field+"addr", s.Addr),
			Worked: c.text(field+"worked", s.Worked), Identity: s.Identity})
	}
	return b, c.err
}

// ErrNoState reports that there is no state to read.
var ErrNoState = errors.New("no learned state is stored")

// DroppedRecord describes a record that could not be read and was dropped.
type DroppedRecord struct {
	Name string
	Why  error
}

// Record is a stored record.
type Record struct {
	Name   string
	Format uint32
	Body   []byte
}

// ErrFormat reports that records have a format that this program does not read: a newer one wrote them.
var ErrFormat = errors.New("unknown record format")

// Read builds a State from records. Without the shared data there is none; a bucket that cannot be read is dropped
// alone.
func Read(records map[string]Record) (s State, dropped []DroppedRecord, err error) {
	body := func(r Record) ([]byte, error) {
		if r.Format != Format {
			return nil, fmt.Errorf("%w: %d, this program reads %d", ErrFormat, r.Format, Format)
		}
		return r.Body, nil
	}
	shared, ok := records[sharedName]
	if !ok {
		return s, nil, ErrNoState
	}
	encoded, err := body(shared)
	if err != nil {
		return s, nil, fmt.Errorf("%s: %w", sharedName, err)
	}
	if s.Shared, err = DecodeShared(encoded); err != nil {
		return State{}, nil, fmt.Errorf("%s: %w", sharedName, err)
	}
	s.Buckets = make([]Bucket, s.Shared.Buckets)
	for i := range s.Buckets {
		name := BucketName(i)
		r, ok := records[name]
		if !ok {
			continue
		}
		encoded, err := body(r)
		if err == nil {
			var b Bucket
			if b, err = DecodeBucket(encoded); err == nil {
				s.Buckets[i] = b
			}
		}
		if err != nil {
			dropped = append(dropped, DroppedRecord{name, err})
		}
	}
	return s, dropped, nil
}
