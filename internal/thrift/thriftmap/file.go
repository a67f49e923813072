// Package thriftmap interprets the messages of a Thrift service by configuration: the class of each method, the fields that hold what the core needs
// to know about a call, and how a reply shows its outcome. It works for any IDL and does no I/O.
package thriftmap

import (
	"net"
	"slices"
	"strconv"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/settings/conffile"
	"ternbeam/internal/thrift/thriftwire"
)

// file is the layout of the configuration file.
type file struct {
	Listen           string            `toml:"listen"`
	MaxFrameBytes    *int              `toml:"max_frame_bytes"`
	MaxDepth         *int              `toml:"max_depth"`
	MaxCalls         *int              `toml:"max_calls_per_connection"`
	MultiplexedCalls *int              `toml:"max_calls_per_server_connection"`
	Replies          string            `toml:"replies"`
	IdleTimeoutMS    *int              `toml:"idle_timeout_ms"`
	FrameTimeoutMS   *int              `toml:"frame_timeout_ms"`
	Header           *header           `toml:"header"`
	Refused          *refused          `toml:"refused"`
	Failed           *failed           `toml:"failed"`
	Load             *load             `toml:"load"`
	Methods          map[string]method `toml:"methods"`
}

type header struct {
	CorrelationID  string `toml:"correlation_id"`
	Tenant         string `toml:"tenant"`
	DefaultTenant  string `toml:"default_tenant"`
	Key            string `toml:"key"`
	IdempotencyKey string `toml:"idempotency_key"`
	TimeLeft       string `toml:"time_left"`
	TimeLeftUnit   string `toml:"time_left_unit"`
	Repeat         string `toml:"repeat"`
}

type refused struct {
	Field          int16  `toml:"field"`
	RetryAfter     int16  `toml:"retry_after"`
	RetryAfterUnit string `toml:"retry_after_unit"`
	RetryAfterType string `toml:"retry_after_type"`
	Unprocessed    string `toml:"unprocessed"`
}

type failed struct {
	Field  int16 `toml:"field"`
	Reason int16 `toml:"reason"`
}

type load struct {
	At       []string `toml:"at"`
	Util     int16    `toml:"util"`
	QPS      int16    `toml:"qps"`
	EPS      int16    `toml:"eps"`
	InFlight int16    `toml:"inflight"`
	Queue    int16    `toml:"queue"`
}

type method struct {
	Class   string   `toml:"class"`
	Oneway  bool     `toml:"oneway"`
	Void    bool     `toml:"void"`
	Answers []int16  `toml:"answers"`
	Header  *header  `toml:"header"`
	Refused *refused `toml:"refused"`
	Failed  *failed  `toml:"failed"`
	Load    *load    `toml:"load"`
}

// Map is a parsed configuration. It is safe for concurrent use.
type Map struct {
	Listen         string        // address that clients connect to
	MaxFrame       int           // maximum size of a frame in bytes
	MaxCalls       int           // maximum calls in flight per client connection
	MaxServerCalls int           // maximum calls in flight per connection to a multiplexed server
	AnyOrder       bool          // replies to a client may be sent in any order
	IdleTimeout    time.Duration // after which an idle client connection is closed
	FrameTimeout   time.Duration // from the first to the last byte of a client's frame
	methods        map[string]*Method
}

// Limits and defaults of the configuration's numbers. Frame sizes are in bytes, timeouts in milliseconds.
const (
	minFrame, defaultFrame, maxFrame      = 64, 64 << 10, 16 << 20
	defaultDepth                          = 32
	defaultCalls, maxCalls                = 64, 4096
	defaultServerCalls, maxServerCalls    = 256, 4096
	defaultIdle, maxIdle                  = 300_000, 86_400_000
	defaultFrameTimeout, maxFrameTimeout  = 2500, 60_000
	maxMethods, maxAnswers, maxLoadPlaces = 1024, 16, 8
)

var units = map[string]time.Duration{"": time.Millisecond, "ms": time.Millisecond, "s": time.Second,
	"us": time.Microsecond, "ns": time.Nanosecond}

var integers = map[string]thriftwire.Type{"": thriftwire.I32, "i16": thriftwire.I16, "i32": thriftwire.I32,
	"i64": thriftwire.I64}

// Parse parses a configuration. classes are those of the settings; if nil, class names are not checked. The error lists every problem with its line
// and key.
func Parse(text []byte, classes []choice.Class) (*Map, error) {
	var in file
	f := conffile.Read(text, &in)
	if err := f.Err(); err != nil {
		return nil, err
	}
	number := func(key string, given *int, defaultValue, low, high int) int {
		if given == nil {
			return defaultValue
		}
		if *given < low || *given > high {
			f.Problem(key, "%d is out of range, must be %d to %d", *given, low, high)
		}
		return *given
	}
	m := &Map{Listen: in.Listen, methods: map[string]*Method{}}
	if _, _, err := net.SplitHostPort(in.Listen); err != nil {
		f.Problem("listen", "%v", err)
	}
	m.MaxFrame = number("max_frame_bytes", in.MaxFrameBytes, defaultFrame, minFrame, maxFrame)
	depth := number("max_depth", in.MaxDepth, defaultDepth, 2, thriftwire.MaxDepth)
	m.MaxCalls = number("max_calls_per_connection", in.MaxCalls, defaultCalls, 1, maxCalls)
	m.MaxServerCalls = number("max_calls_per_server_connection", in.MultiplexedCalls, defaultServerCalls, 1, maxServerCalls)
	m.IdleTimeout = time.Duration(number("idle_timeout_ms", in.IdleTimeoutMS, defaultIdle, 1, maxIdle)) * time.Millisecond
	m.FrameTimeout = time.Duration(number("frame_timeout_ms", in.FrameTimeoutMS, defaultFrameTimeout, 1,
		maxFrameTimeout)) * time.Millisecond
	switch in.Replies {
	case "", "in-order":
	case "any-order":
		m.AnyOrder = true
	default:
		f.Problem("replies", "%q, must be in-order or any-order", in.Replies)
	}
	if len(in.Methods) == 0 {
		f.Problem("methods", "no method is configured")
	}
	if len(in.Methods) > maxMethods {
		f.Problem("methods", "%d methods, %d at most", len(in.Methods), maxMethods)
	}
	if f.Err() != nil {
		return nil, f.Err()
	}
	for name, given := range in.Methods {
		key := "methods." + name
		if len(name) > thriftwire.MaxName {
			f.Problem(key, "a name of %d bytes, %d at most", len(name), thriftwire.MaxName)
		}
		c := compiler{file: f, method: key, depth: depth, given: given}
		c.header, c.headerKey = pick(given.Header, in.Header, key, "header")
		c.refused, c.refusedKey = pick(given.Refused, in.Refused, key, "refused")
		c.failed, c.failedKey = pick(given.Failed, in.Failed, key, "failed")
		c.load, c.loadKey = pick(given.Load, in.Load, key, "load")
		m.methods[name] = c.compile(name, classes)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return m, nil
}

// pick returns the method's own table, or else the table for all methods, or else an empty one, and the key of the table.
func pick[T any](own, all *T, method, name string) (T, string) {
	switch {
	case own != nil:
		return *own, method + "." + name
	case all != nil:
		return *all, name
	}
	var none T
	return none, name
}

// compiler converts one method's tables to a Method.
type compiler struct {
	file                                      *conffile.File
	method                                    string
	depth                                     int
	given                                     method
	header                                    header
	refused                                   refused
	failed                                    failed
	load                                      load
	headerKey, refusedKey, failedKey, loadKey string
}

func (c *compiler) compile(name string, classes []choice.Class) *Method {
	m := &Method{Name: name, Oneway: c.given.Oneway, void: c.given.Void, defaultTenant: c.header.DefaultTenant,
		answers: c.given.Answers}
	m.Class = slices.IndexFunc(classes, func(class choice.Class) bool { return class.Name == c.given.Class })
	switch {
	case c.given.Class == "":
		c.file.Problem(c.method+".class", "no class is given")
	case classes != nil && m.Class < 0:
		c.file.Problem(c.method+".class", "the settings know no class %q", c.given.Class)
	case classes != nil:
		if m.effect = classes[m.Class].Effect; m.effect == choice.Keyed && c.header.IdempotencyKey == "" {
			c.file.Problem(c.headerKey+".idempotency_key", "class %q is keyed, so %s needs one", c.given.Class, name)
		}
	}
	if c.header.Tenant == "" && c.header.DefaultTenant == "" {
		c.file.Problem(c.headerKey, "tenant or default_tenant must be given")
	}
	var ok bool
	if m.timeUnit, ok = units[c.header.TimeLeftUnit]; !ok {
		c.file.Problem(c.headerKey+".time_left_unit", "%q, must be ns, us, ms or s", c.header.TimeLeftUnit)
	}
	if c.given.Oneway && (c.given.Void || len(c.given.Answers) > 0 || c.given.Refused != nil || c.given.Failed != nil ||
		c.given.Load != nil) {
		c.file.Problem(c.method+".oneway", "a oneway method has no reply, so its reply can't be configured")
	}
	if len(c.given.Answers) > maxAnswers {
		c.file.Problem(c.method+".answers", "%d fields, %d at most", len(c.given.Answers), maxAnswers)
	}
	m.args = c.plan(c.headerKey, argSlots, c.header.CorrelationID, c.header.Tenant, c.header.Key, c.header.IdempotencyKey,
		c.header.TimeLeft, c.header.Repeat)
	m.hasID, m.hasTenant = c.header.CorrelationID != "", c.header.Tenant != ""
	if c.given.Oneway {
		return m
	}
	c.result(m)
	return m
}

// argNames are the keys of the fields in a call, in the order of their slots.
var argNames = [argSlots]string{"correlation_id", "tenant", "key", "idempotency_key", "time_left", "repeat"}

// plan returns a plan for the paths, or nil after reporting the invalid path.
func (c *compiler) plan(key string, slots int, paths ...string) *thriftwire.Plan {
	p, err := thriftwire.NewPlan(c.depth, paths...)
	if err == nil {
		return p
	}
	for i, path := range paths { // find the invalid one
		if _, err := thriftwire.NewPlan(c.depth, path); err != nil {
			if slots == argSlots {
				c.file.Problem(key+"."+argNames[i], "%v", err)
			} else {
				c.file.Problem(key, "%v", err)
			}
			return nil
		}
	}
	c.file.Problem(key, "%v", err)
	return nil
}

// result compiles the configuration of a method's reply.
func (c *compiler) result(m *Method) {
	var ok bool
	if m.retryUnit, ok = units[c.refused.RetryAfterUnit]; !ok {
		c.file.Problem(c.refusedKey+".retry_after_unit", "%q, must be ns, us, ms or s", c.refused.RetryAfterUnit)
	}
	if m.retryType, ok = integers[c.refused.RetryAfterType]; !ok {
		c.file.Problem(c.refusedKey+".retry_after_type", "%q, must be i16, i32 or i64", c.refused.RetryAfterType)
	}
	m.refusedField, m.retryField = c.refused.Field, c.refused.RetryAfter
	m.failedField, m.reasonField = c.failed.Field, c.failed.Reason
	taken := map[int16]string{0: "the success"}
	claim := func(id int16, key, what string) {
		if id == 0 {
			return
		}
		if before, ok := taken[id]; ok {
			c.file.Problem(key, "field %d is already %s", id, before)
		}
		taken[id] = what
	}
	claim(m.refusedField, c.refusedKey+".field", "the refusal")
	claim(m.failedField, c.failedKey+".field", "the failure")
	for _, id := range m.answers {
		if id == 0 {
			c.file.Problem(c.method+".answers", "field 0 is always the success")
		}
		claim(id, c.method+".answers", "an answer")
	}
	if m.refusedField == 0 && (m.retryField != 0 || c.refused.Unprocessed != "") {
		c.file.Problem(c.refusedKey+".field", "the field of the result that holds the refusal is missing")
	}
	paths := []string{successSlot: "0", refusedSlot: fieldPath(m.refusedField), unprocessedSlot: "",
		failedSlot: fieldPath(m.failedField)}
	if c.refused.Unprocessed != "" && m.refusedField != 0 {
		paths[unprocessedSlot] = fieldPath(m.refusedField) + "." + c.refused.Unprocessed
	}
	for _, id := range m.answers {
		paths = append(paths, fieldPath(id))
	}
	m.loadSlot = len(paths)
	if m.loads = len(c.load.At); m.loads > maxLoadPlaces {
		c.file.Problem(c.loadKey+".at", "%d places, %d at most", m.loads, maxLoadPlaces)
	}
	for i, at := range c.load.At {
		if _, err := thriftwire.NewPlan(c.depth, at); err != nil || at == "" {
			c.file.Problem(c.loadKey+".at", "place %d, %q: not a field path", i+1, at)
		}
		for _, id := range []int16{c.load.Util, c.load.QPS, c.load.EPS, c.load.InFlight, c.load.Queue} {
			if id == 0 {
				paths = append(paths, "")
			} else {
				paths = append(paths, at+"."+strconv.Itoa(int(id)))
			}
		}
	}
	if c.file.Err() == nil {
		m.result = c.plan(c.method, resultSlots, paths...)
	}
}

func fieldPath(id int16) string {
	if id == 0 {
		return ""
	}
	return strconv.Itoa(int(id))
}

// Method returns the configuration of a method, or nil if it has none.
func (m *Map) Method(name []byte) *Method { return m.methods[string(name)] }
