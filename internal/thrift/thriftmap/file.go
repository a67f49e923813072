// Package thriftmap says what the messages of a Thrift service mean to the agent: which class a method belongs to,
// which fields hold what the core needs to know of a call, and how a reply says how it ended. All of that is
// configuration, so that any IDL fits. The package does no I/O.
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

// file is the configuration as it is written.
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

// Map is a configuration that was read.
type Map struct {
	Listen       string
	MaxFrame     int // bytes
	MaxCalls     int // that one client connection may have under way
	ServerCalls  int // that one connection to a multiplexed server may have under way
	AnyOrder     bool
	IdleTimeout  time.Duration
	FrameTimeout time.Duration
	methods      map[string]*Method
}

// Bounds of the figures, and what they are where the file is silent.
const (
	leastFrame, defaultFrame, mostFrame    = 64, 64 << 10, 16 << 20
	defaultDepth                           = 32
	defaultCalls, mostCalls                = 64, 4096
	defaultServerCalls, mostServerCalls    = 256, 4096
	defaultIdle, mostIdle                  = 300_000, 86_400_000
	defaultFrameTimeout, mostFrameTimeout  = 2500, 60_000
	mostMethods, mostAnswers, mostReported = 1024, 16, 8
)

var units = map[string]time.Duration{"": time.Millisecond, "ms": time.Millisecond, "s": time.Second,
	"us": time.Microsecond, "ns": time.Nanosecond}

var integers = map[string]thriftwire.Type{"": thriftwire.I32, "i16": thriftwire.I16, "i32": thriftwire.I32,
	"i64": thriftwire.I64}

// Parse reads a configuration. Its classes are those of the settings; without any, their names are not checked. The
// error names every problem, by line and key.
func Parse(text []byte, classes []choice.Class) (*Map, error) {
	var in file
	f := conffile.Read(text, &in)
	if err := f.Err(); err != nil {
		return nil, err
	}
	number := func(key string, given *int, usual, least, most int) int {
		if given == nil {
			return usual
		}
		if *given < least || *given > most {
			f.Problem(key, "%d, %d to %d is possible", *given, least, most)
		}
		return *given
	}
	m := &Map{Listen: in.Listen, methods: map[string]*Method{}}
	if _, _, err := net.SplitHostPort(in.Listen); err != nil {
		f.Problem("listen", "%v", err)
	}
	m.MaxFrame = number("max_frame_bytes", in.MaxFrameBytes, defaultFrame, leastFrame, mostFrame)
	depth := number("max_depth", in.MaxDepth, defaultDepth, 2, thriftwire.MostDepth)
	m.MaxCalls = number("max_calls_per_connection", in.MaxCalls, defaultCalls, 1, mostCalls)
	m.ServerCalls = number("max_calls_per_server_connection", in.MultiplexedCalls, defaultServerCalls, 1, mostServerCalls)
	m.IdleTimeout = time.Duration(number("idle_timeout_ms", in.IdleTimeoutMS, defaultIdle, 1, mostIdle)) * time.Millisecond
	m.FrameTimeout = time.Duration(number("frame_timeout_ms", in.FrameTimeoutMS, defaultFrameTimeout, 1,
		mostFrameTimeout)) * time.Millisecond
	switch in.Replies {
	case "", "in-order":
	case "any-order":
		m.AnyOrder = true
	default:
		f.Problem("replies", "%q, in-order or any-order is possible", in.Replies)
	}
	if len(in.Methods) == 0 {
		f.Problem("methods", "no method is named")
	}
	if len(in.Methods) > mostMethods {
		f.Problem("methods", "%d methods, %d at most", len(in.Methods), mostMethods)
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

// pick returns the method's own table, or the one for all, or an empty one, and where it stands.
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

// compiler turns one method's tables into a Method.
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
		c.file.Problem(c.method+".class", "no class is named")
	case classes != nil && m.Class < 0:
		c.file.Problem(c.method+".class", "the settings know no class %q", c.given.Class)
	case classes != nil:
		if m.effect = classes[m.Class].Effect; m.effect == choice.Keyed && c.header.IdempotencyKey == "" {
			c.file.Problem(c.headerKey+".idempotency_key", "class %q is keyed, so that %s needs one", c.given.Class, name)
		}
	}
	if c.header.Tenant == "" && c.header.DefaultTenant == "" {
		c.file.Problem(c.headerKey, "tenant or default_tenant must be given")
	}
	var ok bool
	if m.timeUnit, ok = units[c.header.TimeLeftUnit]; !ok {
		c.file.Problem(c.headerKey+".time_left_unit", "%q, ns, us, ms or s is possible", c.header.TimeLeftUnit)
	}
	if c.given.Oneway && (c.given.Void || len(c.given.Answers) > 0 || c.given.Refused != nil || c.given.Failed != nil ||
		c.given.Load != nil) {
		c.file.Problem(c.method+".oneway", "there is no reply that anything could be said of")
	}
	if len(c.given.Answers) > mostAnswers {
		c.file.Problem(c.method+".answers", "%d fields, %d at most", len(c.given.Answers), mostAnswers)
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

// plan makes a plan and complains of the path at fault.
func (c *compiler) plan(key string, slots int, paths ...string) *thriftwire.Plan {
	p, err := thriftwire.NewPlan(c.depth, paths...)
	if err == nil {
		return p
	}
	for i, path := range paths { // which one it is
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

// result compiles what a reply says.
func (c *compiler) result(m *Method) {
	var ok bool
	if m.retryUnit, ok = units[c.refused.RetryAfterUnit]; !ok {
		c.file.Problem(c.refusedKey+".retry_after_unit", "%q, ns, us, ms or s is possible", c.refused.RetryAfterUnit)
	}
	if m.retryType, ok = integers[c.refused.RetryAfterType]; !ok {
		c.file.Problem(c.refusedKey+".retry_after_type", "%q, i16, i32 or i64 is possible", c.refused.RetryAfterType)
	}
	m.refusedField, m.retryField = c.refused.Field, c.refused.RetryAfter
	m.failedField, m.reasonField = c.failed.Field, c.failed.Reason
	taken := map[int16]string{0: "the success"}
	claim := func(id int16, key, what string) {
		if id == 0 {
			return
		}
		if before, ok := taken[id]; ok {
			c.file.Problem(key, "field %d is %s already", id, before)
		}
		taken[id] = what
	}
	claim(m.refusedField, c.refusedKey+".field", "the refusal")
	claim(m.failedField, c.failedKey+".field", "the failure")
	for _, id := range m.answers {
		if id == 0 {
			c.file.Problem(c.method+".answers", "field 0 is the success anyway")
		}
		claim(id, c.method+".answers", "an answer")
	}
	if m.refusedField == 0 && (m.retryField != 0 || c.refused.Unprocessed != "") {
		c.file.Problem(c.refusedKey+".field", "which field of the result holds the refusal must be given")
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
	if m.loads = len(c.load.At); m.loads > mostReported {
		c.file.Problem(c.loadKey+".at", "%d places, %d at most", m.loads, mostReported)
	}
	for i, at := range c.load.At {
		if _, err := thriftwire.NewPlan(c.depth, at); err != nil || at == "" {
			c.file.Problem(c.loadKey+".at", "place %d, %q: it is no field", i+1, at)
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

// Method returns what is known of a method, or nil.
func (m *Map) Method(name []byte) *Method { return m.methods[string(name)] }
