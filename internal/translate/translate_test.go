package translate

import (
	"bytes"
	"errors"
	"math"
	"math/rand/v2"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"ternbeam/deploy"
	"ternbeam/internal/thrift/thriftwire"
)

// options are those of a call whose idempotency key is k-1.
var options = WriteOptions{Encoding: thriftwire.Binary, Envelope: Envelope{ID: "id-1", Tenant: "oban", IdempotencyKey: "k-1", TimeLeft: time.Second}}

func sample(t testing.TB) *Set {
	t.Helper()
	set, err := Compile([]byte(deploy.Translate))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

const oldTarget = "/refund-record/GB%2F7%20a"

func oldRequest(body string) *Message {
	return &Message{Method: "POST", Target: oldTarget, Header: []Header{{"Other", "x"}}, Body: []byte(body)}
}

const oldBody = "amount=12.5&bought=29%2F02%2F2024&goods=J&first=%C3%89lise&last=MacLeod&memo=a+%26+b"

// A request of the old shape is translated into the new one and back, and a reply of the new shape into the old one.
func TestSample(t *testing.T) {
	set := sample(t)
	p, back := set.Plan("refund-record-1", "refund-record-2"), set.Plan("refund-record-2", "refund-record-1")
	got, err := p.Request(oldRequest(oldBody), options)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"amount":{"currency":"GBP","pence":1250},"bought":"2024-02-29","form":{"id":"GB/7 a"},"goods":"jewellery",` +
		`"memo":"a & b","traveller":"Élise|MacLeod"}`
	if got.Method != "POST" || got.Target != "/v2/refunds" || string(got.Body) != want || len(got.Header) != 5 ||
		got.Header[3] != (Header{"Idempotency-Key", "k-1"}) {
		t.Errorf("%+v\n%s", got, got.Body)
	}
	again, err := back.Request(got, options)
	if err != nil {
		t.Fatal(err)
	}
	if again.Target != oldTarget || string(again.Body) !=
		"amount=12.50&bought=29%2F02%2F2024&first=%C3%89lise&goods=J&last=MacLeod&memo=a+%26+b" {
		t.Errorf("%+v\n%s", again, again.Body)
	}
	reply, err := p.Reply(&Message{Body: []byte(`{"state":"pending","receipt":"R\u002d9"}`)}, options)
	if err != nil || len(reply.Header) != 2 || reply.Header[0] != (Header{"X-Paid", "false"}) ||
		reply.Header[1] != (Header{"X-Receipt", "R-9"}) || len(reply.Body) > 0 {
		t.Errorf("%+v, %v", reply, err)
	}
}

// A message that can't be translated is refused, with the kind of the refusal and the field.
func TestRefusals(t *testing.T) {
	set := sample(t)
	p, back := set.Plan("refund-record-1", "refund-record-2"), set.Plan("refund-record-2", "refund-record-1")
	form := func(old, new string) *Message { return oldRequest(strings.Replace(oldBody, old, new, 1)) }
	newBody := `{"amount":{"currency":"GBP","pence":1250},"bought":"2024-02-29","form":{"id":"a"},"goods":"watch","traveller":"a|b"}`
	json := func(old, new string) *Message {
		return &Message{Method: "POST", Target: "/v2/refunds",
			Body: []byte(strings.Replace(newBody, old, new, 1))}
	}
	for name, c := range map[string]struct {
		plan  *Plan
		m     *Message
		kind  Kind
		field string
	}{
		"half a penny":               {p, form("12.5", "0.005"), OutOfRange, "amount"},
		"too much":                   {p, form("12.5", "1000000000000000"), OutOfRange, "amount"},
		"beyond 64 bits":             {p, form("12.5", "99999999999999999999"), OutOfRange, "amount"},
		"negative zero":              {p, form("12.5", "-0"), OutOfRange, "amount"}, // as 0 is
		"no amount":                  {p, form("12.5", "much"), Malformed, "amount"},
		"day that does not exist":    {p, form("29%2F02%2F2024", "29%2F02%2F2023"), Malformed, "bought"},
		"date in another form":       {p, form("29%2F02%2F2024", "1%2F2%2F2024"), Malformed, "bought"},
		"unknown value":              {p, form("goods=J", "goods=X"), OutOfRange, "goods"},
		"missing":                    {p, form("goods=J&", ""), Missing, "goods"},
		"given twice":                {p, form("goods=J", "goods=J&goods=J"), Malformed, "goods"},
		"unknown field":              {p, form("goods=J", "goods=J&more=1"), Forbidden, ""},
		"not UTF-8":                  {p, form("MacLeod", "%FF"), Malformed, "last"},
		"separator in a joined text": {p, form("MacLeod", "Mac%7CLeod"), OutOfRange, "last"},
		"shorter path":               {p, &Message{Method: "POST", Target: "/refund-record"}, Malformed, ""},
		"longer path":                {p, &Message{Method: "POST", Target: oldTarget + "/x"}, Malformed, ""},
		"another method":             {p, &Message{Method: "GET", Target: oldTarget}, Malformed, ""},
		"body too long":              {p, oldRequest("memo=" + strings.Repeat("a", defaultMaxBody)), TooLarge, ""},
		"duplicate member":           {back, json(`"goods"`, `"goods":"watch","goods"`), Malformed, ""},
		"duplicate by escape":        {back, json(`"goods"`, `"g\u006fods":"watch","goods"`), Malformed, ""},
		"number beyond 2^53":         {back, json("1250", "9007199254740993"), OutOfRange, "pence"},
		"part of a penny":            {back, json("1250", "1250.5"), OutOfRange, "pence"},
		"number as text":             {back, json("1250", `"1250"`), Malformed, "pence"},
		"object in place of a text":  {back, json(`"watch"`, "{}"), Malformed, "goods"},
		"text in place of object":    {back, json(`{"id":"a"}`, `"a"`), Malformed, "form"},
		"null":                       {back, json(`"watch"`, "null"), Missing, "goods"},
		"value that is refused":      {back, json("watch", "fuel"), OutOfRange, "goods"},
		"must be absent":             {back, json(`"goods"`, `"channel":"web","goods"`), Forbidden, "channel"},
		"three parts":                {back, json("a|b", "a|b|c"), OutOfRange, "traveller"},
		"lone surrogate":             {back, json("a|b", `a|\ud800`), Malformed, ""},
		"invalid UTF-8 in JSON":      {back, json("a|b", "a|\xff"), Malformed, ""},
		"bytes after the body":       {back, json(`"a|b"}`, `"a|b"}{}`), Malformed, ""},
		"truncated body":             {back, json(`"a|b"}`, `"a|b"`), Malformed, ""},
		"no object":                  {back, json(newBody, `[]`), Malformed, ""},
		"field that is .. in a path": {back, json(`"id":"a"`, `"id":".."`), OutOfRange, "form"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := c.plan.Request(c.m, options)
			var r *Refusal
			if !errors.As(err, &r) || r.Kind != c.kind || r.Field != c.field {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
}

// Every idempotency key is the same after each translation, byte for byte, or the call is refused.
func TestIdempotencyKeysSurviveTranslation(t *testing.T) {
	set := sample(t)
	r := rand.New(rand.NewPCG(1, 0))
	keys := []string{"%", "%41", "a b", "é", "+", strings.Repeat("k", 4096), `"\`, "|", "\xff\xfe", "a\tb"}
	onlyThrift := []string{"a\x00b", " a", "a\n", "\x7f"}
	for range 200 {
		var b strings.Builder
		for range 1 + r.IntN(20) {
			b.WriteRune(rune(0x21 + r.IntN(0x2000)))
		}
		keys = append(keys, strings.ReplaceAll(b.String(), "\x7f", ""))
	}
	for _, key := range append(keys, onlyThrift...) {
		for _, p := range set.Plans {
			if p.From.Name != "refund-record-1" {
				continue
			}
			opts := options
			opts.Envelope.IdempotencyKey = key
			there, err := p.Request(oldRequest(oldBody), opts)
			switch {
			case p.To.Protocol == "thrift":
				var found [1]thriftwire.Field
				plan, _ := thriftwire.NewPlan(8, "1.4")
				h, _ := thriftwire.ReadHead(there.Thrift)
				if err := plan.Scan(h, there.Thrift, found[:]); err != nil || string(found[0].Bytes(there.Thrift)) != key {
					t.Fatalf("%q: %x, %v", key, there.Thrift, err)
				}
			case slices.Contains(onlyThrift, key):
				var refusal *Refusal
				if !errors.As(err, &refusal) || refusal.Kind != OutOfRange {
					t.Fatalf("%q: %+v, %v", key, there, err)
				}
			case err != nil || there.Header[3] != (Header{"Idempotency-Key", key}):
				t.Fatalf("%q: %+v, %v", key, there, err)
			}
		}
	}
}

// A random message of a lossless mapping is unchanged after a round trip, for each pair of protocols and both encodings of
// Thrift.
func TestRoundTrips(t *testing.T) {
	set := sample(t)
	for _, p := range set.Plans {
		back := set.Plan(p.To.Name, p.From.Name)
		if len(p.Losses()) > 0 {
			t.Fatal(p.Losses())
		}
		for _, encoding := range []thriftwire.Encoding{thriftwire.Binary, thriftwire.Compact} {
			t.Run(p.From.Name+" "+p.To.Name+" "+encoding.String(), func(t *testing.T) { roundTrips(t, p, back, encoding) })
		}
	}
}

func roundTrips(t *testing.T, p, back *Plan, encoding thriftwire.Encoding) {
	r := rand.New(rand.NewPCG(2, uint64(encoding)))
	options := options
	options.Encoding = encoding
	refused := 0
	const tries = 500
	for range tries {
		values := &workspace{dst: make([]value, len(p.From.request.fields))}
		for i, f := range p.From.request.fields {
			if f.envelope == noEnvelope && (!f.optional || r.IntN(2) == 0) {
				values.dst[i] = randomValue(r, f)
			}
		}
		m := &Message{}
		if refusal := back.writeRequest(m, options, values); refusal != nil {
			refused++ // "." or ".." in a path
			continue
		}
		there, err := p.Request(m, options)
		if err != nil {
			refused++ // a separator in a joined text, or a value that the other shape lacks
			continue
		}
		again, err := back.Request(there, options)
		if err != nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("%+v\nbecame %+v\nand %+v, %v", m, there, again, err)
		}
	}
	if refused > tries*9/10 {
		t.Errorf("%d of %d were refused", refused, tries)
	}
}

// randomValue returns a random value of a field.
func randomValue(r *rand.Rand, f *field) value {
	v := value{set: true}
	switch f.Type {
	case Text, Bytes:
		if f.name == "traveller" { // with the separator at which it is split
			v.text = []byte("a|")
		}
		n := max(int(f.min), 1) + r.IntN(12)
		for len(v.text) < n {
			c := rune(0x21 + r.IntN(0x5e))
			if r.IntN(4) == 0 {
				c = rune(0xa1 + r.IntN(0x700))
			}
			v.text = append(v.text, string(c)...)
		}
	case Int, Decimal:
		v.num = f.min + r.Int64N(f.max-f.min+1)
	case Bool:
		v.num = r.Int64N(2)
	case Enum:
		v.num = r.Int64N(int64(len(f.values)))
	case Date:
		v.num = minDay + r.Int64N(maxDay-minDay)
	}
	return v
}

// Decimal numbers are parsed exactly or refused.
func TestDecimals(t *testing.T) {
	for _, c := range []struct {
		text  string
		scale int
		want  int64
		err   error
	}{
		{"0.005", 3, 5, nil}, {"0.005", 2, 0, errDecimals}, {"0.0050", 3, 5, nil}, {"1000000000000000", 3, 1e18, nil},
		{"10000000000000000", 3, 0, errRange}, {"-0", 2, 0, nil}, {"-0.00", 2, 0, nil}, {"1e3", 0, 1000, nil}, {"1.5e1", 0, 15, nil},
		{"1.5e0", 0, 0, errDecimals}, {"15e-1", 1, 15, nil}, {"1e-400", 2, 0, errDecimals}, {"0e-400", 2, 0, nil},
		{"0e30000", 2, 0, nil}, {"1e30000", 2, 0, errRange}, {"1e99999", 2, 0, errRange}, {"9223372036854775807", 0, math.MaxInt64, nil},
		{"9223372036854775808", 0, 0, errRange}, {"-9223372036854775807", 0, -math.MaxInt64, nil}, {"00012", 0, 12, nil},
		{"", 0, 0, errNotDecimal}, {"-", 0, 0, errNotDecimal}, {".5", 1, 0, errNotDecimal}, {"5.", 1, 0, errNotDecimal}, {"1.2.3", 4, 0, errNotDecimal},
		{"+1", 0, 0, errNotDecimal}, {"1e", 0, 0, errNotDecimal}, {"0x10", 0, 0, errNotDecimal}, {"1_000", 0, 0, errNotDecimal}, {" 1", 0, 0, errNotDecimal},
		{"NaN", 0, 0, errNotDecimal}, {"9007199254740993", 0, 9007199254740993, nil},
	} {
		got, err := parseDecimal([]byte(c.text), c.scale)
		if got != c.want || !errors.Is(err, c.err) || (err != nil) != (c.err != nil) {
			t.Errorf("%q over 10^%d: %d, %v", c.text, c.scale, got, err)
		}
	}
	r := rand.New(rand.NewPCG(3, 0))
	for range 20000 {
		n, scale := int64(r.Uint64())>>r.IntN(64), r.IntN(maxDecimals+1)
		if n == math.MinInt64 {
			continue
		}
		text := appendDecimal(nil, n, scale)
		if got, err := parseDecimal(text, scale); got != n || err != nil {
			t.Fatalf("%d over 10^%d is written as %s and read as %d, %v", n, scale, text, got, err)
		}
	}
}

// A local time that occurred twice or never, because the clocks were changed, is refused; all others survive a round trip.
func TestAmbiguousLocalTimes(t *testing.T) {
	zone, err := time.LoadLocation("Europe/London")
	if err != nil {
		t.Fatal(err)
	}
	f := &field{Type: Instant, form: "local", zone: zone}
	for text, want := range map[string]string{
		"2026-03-29T00:59:59": "2026-03-29T00:59:59Z", "2026-03-29T01:00:00": "", "2026-03-29T01:59:59": "",
		"2026-03-29T02:00:00": "2026-03-29T01:00:00Z", "2026-10-25T00:59:59": "2026-10-24T23:59:59Z",
		"2026-10-25T01:00:00": "", "2026-10-25T01:59:59": "", "2026-10-25T02:00:00": "2026-10-25T02:00:00Z",
	} {
		ms, err := parseInstant([]byte(text), f)
		if (err == nil) != (want != "") {
			t.Errorf("%s: %v", text, err)
		}
		if err == nil {
			if got := time.UnixMilli(ms).UTC().Format(time.RFC3339); got != want {
				t.Errorf("%s is %s, want %s", text, got, want)
			}
			if back, err := appendInstant(nil, ms, f); string(back) != text || err != nil {
				t.Errorf("%s became %s after a round trip, %v", text, back, err)
			}
		}
	}
	twice := time.Date(2026, 10, 25, 0, 30, 0, 0, time.UTC).UnixMilli()
	if text, err := appendInstant(nil, twice, f); err == nil {
		t.Errorf("an instant whose local time occurred twice is written as %s", text)
	}
}

// Problems of a file are reported with their lines.
func TestFileProblems(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"source field without a rule": {`memo = { from = "memo" }` + "\n\n[mappings.refund-record-1-to-2.reply]", "\n[mappings.refund-record-1-to-2.reply]", "source field memo is in no rule, and neither in drop nor in absent"},
		"target field without a rule": {`omit = { request = ["channel"] }`, "", "target field channel has neither a rule nor an entry in omit"},
		"mapped and dropped":          {`omit = { request = ["channel"] }`, `omit = { request = ["channel"] }` + "\ndrop = { request = [\"memo\"] }", "field memo is both dropped and mapped"},
		"lossless mapping that loses": {`values = { W = "watch", J = "jewellery"`, `values = { W = "watch", J = "watch"`, "the mapping loses: request goods: whether it was W or J"},
		"no such value":               {`O = "other"`, `O = "others"`, `goods has no value "others"`},
		"no such shape":               {`to = ["refund-record-2",`, `to = ["refund-record-3",`, `there is no shape "refund-record-3"`},
		"no such field":               {`pence = { from = "amount"`, `pence = { from = "sum"`, `has no field "sum"`},
		"incompatible types":          {`bought = { from = "bought" }`, `bought = { from = "memo" }`, "memo of type text can't be converted to bought"},
		"optional to required":        {`form = { from = "form" }`, `form = { from = "memo" }`, "a default is needed"},
		"no such type":                {`type = "bool"`, `type = "boolean"`, `"boolean"`},
		"no such place":               {`at = "header:X-Paid"`, `at = "trailer:X-Paid"`, `"trailer:X-Paid"`},
		"two fields in one place":     {`at = "form:last"`, `at = "form:first"`, "field first is in the same place"},
		"member of a field":           {`at = "json:bought"`, `at = "json:form.id.day"`, "one of this field and bought contains the other"},
		"path without its field":      {`/refund-record/{form}`, `/refund-record/x`, "the path has no {form}"},
		"unknown key":                 {`lossless = true`, `losless = true`, "no such key"},
		"invalid constant":            {`value = "GBP"`, `value = "EUR"`, `"EUR" is none of its values`},
		"numbers for a text":          {`type = "date", form = "unix-days"`, `type = "text", numbers = [1]`, "an enum needs one number for each value"},
		"wire type for a text":        {`at = "thrift:2.5", type = "text"`, `at = "thrift:2.5", type = "text", wire = "i32"`, "that is not a number has no wire type"},
		"unknown wire type":           {`at = "thrift:2.1", type = "int"`, `at = "thrift:2.1", type = "int", wire = "u64"`, `"u64"`},
		"path without a field id":     {`at = "thrift:2.5"`, `at = "thrift:2.x"`, `"x" is not a field id`},
		"overlap with the envelope":   {`at = "thrift:2.5"`, `at = "thrift:1.4"`, "overlaps with"},
		"missing envelope field":      {`id = "1.1"` + "\n", "", "envelope.id"},
		"thrift in http":              {`at = "json:bought"`, `at = "thrift:9"`, "has no such place"},
		"reserved header":             {`at = "header:X-Paid"`, `at = "header:idempotency-key"`, "header Idempotency-Key is reserved"},
		"the same method":             {`method = "recordRefund"`, `method = "refund"`, "has the same method"},
		"the same path":               {`path = "/v2/refunds"`, `path = "/refund-record/x"`, "matches the same requests"},
		"the same version":            {`version = "2"` + "\n" + `protocol = "http"`, `version = "1"` + "\n" + `protocol = "http"`, "version 1 of refund-record in http"},
		"mapped twice":                {`from = ["refund-record-1", "refund-record-1-thrift"]`, `from = ["refund-record-1", "refund-record-1"]`, "is already mapped to refund-record-2 by"},
		"invalid status":              {"shape_unknown = 415", "shape_unknown = 200", "400 to 599"},
		"forget_s of 0":               {"forget_s = 5.0", "forget_s = 0.0", "0.1 to 3600"},
		"part used twice":             {`part = 2`, `part = 1`, "used twice"},
		"unused part":                 {`part = 2`, `part = 3`, "of 3 parts only 2 are used"},
		"invalid bound":               {`min = "0.01"`, `min = "0.001"`, "more decimals"},
		"unknown form":                {`form = "iso"`, `form = "us"`, `"us"`},
		"reply in a path":             {`at = "json:receipt"`, `at = "query:receipt"`, "a reply has no such place"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(deploy.Translate, c.old, c.new, 1)
			if text == deploy.Translate {
				t.Fatalf("the sample has no %q", c.old)
			}
			_, err := Compile([]byte(text))
			if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "line ") {
				t.Errorf("%v", err)
			}
		})
	}
}

func FuzzCompile(f *testing.F) {
	f.Add([]byte(deploy.Translate))
	f.Add([]byte("[shapes.a]\nclass=\"x\""))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := Compile(text)
		if err == nil {
			for _, p := range set.Plans {
				p.Request(oldRequest(oldBody), options)
			}
		}
	})
}

// FuzzRequest translates any HTTP request: it is translated or refused. A translated request is the
// same after a further translation back and forth, unless the old shape refuses it.
func FuzzRequest(f *testing.F) {
	set := sample(f)
	p, back := set.Plan("refund-record-1", "refund-record-2"), set.Plan("refund-record-2", "refund-record-1")
	f.Add(oldTarget, "k", oldBody)
	f.Add("/refund-record/%zz", "", "amount=1e5&&=&x")
	f.Fuzz(func(t *testing.T, target, key, body string) {
		options := options
		options.Envelope.IdempotencyKey = key
		m := &Message{Method: "POST", Target: target, Body: []byte(body)}
		there, err := p.Request(m, options)
		if err != nil {
			return
		}
		if key != "" && there.Header[3].Value != key {
			t.Errorf("key %q became %q", key, there.Header[3].Value)
		}
		again, err := back.Request(there, options)
		if err != nil {
			var r *Refusal
			if errors.As(err, &r) && r.Field == "form" { // "." and ".."
				return
			}
			t.Fatalf("%s: %v", there.Body, err)
		}
		third, err := p.Request(again, options)
		if err != nil || !bytes.Equal(third.Body, there.Body) {
			t.Fatalf("%s became %s, %v", there.Body, third.Body, err)
		}
	})
}

// FuzzThrift translates any Thrift message: it is translated or refused. A translated message is the
// same after a further translation back and forth.
func FuzzThrift(f *testing.F) {
	set := sample(f)
	p, back := set.Plan("refund-record-1-thrift", "refund-record-2-thrift"), set.Plan("refund-record-2-thrift", "refund-record-1-thrift")
	for _, e := range []thriftwire.Encoding{thriftwire.Binary, thriftwire.Compact} {
		options := options
		options.Encoding = e
		old, err := set.Plan("refund-record-2", "refund-record-1-thrift").Request(&Message{Method: "POST", Target: "/v2/refunds",
			Body: []byte(`{"amount":{"currency":"GBP","pence":1},"bought":"2024-02-29","form":{"id":"a"},"goods":"watch","traveller":"a|b"}`)}, options)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(old.Thrift)
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		there, err := p.Request(&Message{Thrift: message}, options)
		if err != nil {
			return
		}
		again, err := back.Request(there, options)
		if err != nil {
			t.Fatalf("%x became %x: %v", message, there.Thrift, err)
		}
		third, err := p.Request(again, options)
		if err != nil || !bytes.Equal(third.Thrift, there.Thrift) {
			t.Fatalf("%x became %x, %v", there.Thrift, third.Thrift, err)
		}
	})
}

// FuzzJSON translates any JSON request of the new shape: it is translated or refused.
func FuzzJSON(f *testing.F) {
	set := sample(f)
	back := set.Plan("refund-record-2", "refund-record-1")
	f.Add([]byte(`{"amount":{"currency":"GBP","pence":1},"bought":"2024-02-29","form":{"id":"a"},"goods":"watch","traveller":"a|b"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		m := &Message{Method: "POST", Target: "/v2/refunds", Header: []Header{{"Idempotency-Key", "k"}}, Body: body}
		if there, err := back.Request(m, options); err == nil && len(there.Body) == 0 {
			t.Error("the translation has no body")
		}
	})
}

// Years are from 1 to 9999; package time would accept the year 0.
func TestYears(t *testing.T) {
	date, rfc3339, zoned := &field{Type: Date, layout: "02/01/2006"}, &field{Type: Instant}, &field{Type: Instant, form: "local", zone: time.UTC}
	for _, c := range []struct {
		f    *field
		text string
		ok   bool
	}{
		{date, "31/12/0000", false}, {date, "01/01/0001", true}, {date, "31/12/9999", true},
		{rfc3339, "0000-12-31T23:59:59Z", false}, {rfc3339, "0001-01-01T00:00:00Z", true}, {rfc3339, "9999-12-31T23:59:59-01:00", false},
		{zoned, "0000-12-31T23:59:59", false}, {zoned, "0001-01-01T00:00:00", true},
	} {
		if _, refusal := c.f.parse([]byte(c.text)); (refusal == nil) != c.ok || refusal != nil && refusal.Kind != OutOfRange {
			t.Errorf("%v %s: %v", c.f.Type, c.text, refusal)
		}
	}
}

// appendEscaped escapes as url.QueryEscape does.
func TestEscaping(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 0))
	for range 2000 {
		text := make([]byte, r.IntN(20))
		for i := range text {
			text[i] = byte(r.IntN(256))
		}
		if got, want := string(appendEscaped(nil, text)), url.QueryEscape(string(text)); got != want {
			t.Fatalf("%q is escaped as %s, by net/url as %s", text, got, want)
		}
	}
}

// compileMapping returns the plan of a mapping between two shapes with the given request fields and rules.
func compileMapping(t *testing.T, old, new, rules string) *Plan {
	t.Helper()
	set, err := Compile([]byte("[shapes.a]\nclass = \"c\"\nversion = \"1\"\nprotocol = \"http\"\nmethod = \"POST\"\npath = \"/a\"\n[shapes.a.request]\n" + old +
		"\n[shapes.b]\nclass = \"c\"\nversion = \"2\"\nprotocol = \"http\"\nmethod = \"POST\"\npath = \"/b\"\n[shapes.b.request]\n" + new +
		"\n[mappings.m]\nfrom = [\"a\"]\nto = [\"b\"]\n" + rules))
	if err != nil {
		t.Fatal(err)
	}
	return set.Plan("a", "b")
}

// A value is converted exactly between fields of different types, units or forms, or refused.
func TestConversions(t *testing.T) {
	for name, c := range map[string]struct {
		old, new, rules string
		body, want      string // the kind of the refusal if want begins with !
		loses           string
	}{
		"pounds to whole pounds": {`x = { at = "form:x", type = "decimal", scale = 2 }`, `x = { at = "json:x", type = "int" }`,
			"[mappings.m.request]\nx = { from = \"x\" }", "x=12.00", `{"x":12}`, ""},
		"no rounding": {`x = { at = "form:x", type = "decimal", scale = 2 }`, `x = { at = "json:x", type = "int" }`,
			"[mappings.m.request]\nx = { from = \"x\" }", "x=12.50", "!out of range", ""},
		"beyond 64 bits when multiplied": {`x = { at = "form:x", type = "int" }`, `x = { at = "json:x", type = "int" }`,
			"[mappings.m.request]\nx = { from = \"x\", times = \"1000\" }", "x=9223372036854775807", "!out of range", ""},
		"grams to kilograms": {`x = { at = "form:x", type = "int" }`, `x = { at = "json:x", type = "decimal", scale = 3 }`,
			"[mappings.m.request]\nx = { from = \"x\", times = \"0.001\" }", "x=1", `{"x":0.001}`, ""},
		"beyond 2^53, as a text": {`x = { at = "form:x", type = "int" }`, `x = { at = "json:x", type = "int", quoted = true }`,
			"[mappings.m.request]\nx = { from = \"x\" }", "x=9007199254740993", `{"x":"9007199254740993"}`, ""},
		"optional to required, with a default": {`x = { at = "form:x", type = "text", optional = true }`, `x = { at = "json:x", type = "text" }`,
			"[mappings.m.request]\nx = { from = \"x\", default = \"d\" }", "", `{"x":"d"}`, "request x: whether it was absent"},
		"default not used": {`x = { at = "form:x", type = "text", optional = true }`, `x = { at = "json:x", type = "text" }`,
			"[mappings.m.request]\nx = { from = \"x\", default = \"d\" }", "x=", `{"x":""}`, "request x: whether it was absent"},
		"only on the old side": {`x = { at = "form:x", type = "text" }`, "", "drop = { request = [\"x\"] }", "x=1", "", "request x: dropped"},
		"only on the new side": {"", `x = { at = "json:x", type = "bool" }`, "[mappings.m.request]\nx = { value = \"true\" }", "", `{"x":true}`, ""},
		"an instant when the clocks go back": {`x = { at = "form:x", type = "instant", form = "local", zone = "Europe/London" }`, `x = { at = "json:x", type = "instant", form = "unix-s" }`,
			"[mappings.m.request]\nx = { from = \"x\" }", "x=2026-10-25T01:30:00", "!out of range", ""},
		"an instant between zones": {`x = { at = "form:x", type = "instant", form = "local", zone = "Europe/London" }`, `x = { at = "json:x", type = "instant", form = "local", zone = "America/New_York" }`,
			"[mappings.m.request]\nx = { from = \"x\" }", "x=2026-07-01T12:00:00", `{"x":"2026-07-01T07:00:00"}`, ""},
		"bytes":                    {`x = { at = "form:x", type = "bytes" }`, `x = { at = "json:x", type = "text" }`, "[mappings.m.request]\nx = { from = \"x\" }", "x=w6k%3D", `{"x":"é"}`, ""},
		"bytes that are not UTF-8": {`x = { at = "form:x", type = "bytes" }`, `x = { at = "json:x", type = "text" }`, "[mappings.m.request]\nx = { from = \"x\" }", "x=%2Fw%3D%3D", "!out of range", ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := compileMapping(t, c.old, c.new, c.rules)
			if got := strings.Join(p.Losses(), "; "); got != c.loses {
				t.Errorf("the mapping loses %q, want %q", got, c.loses)
			}
			out, err := p.Request(&Message{Method: "POST", Target: "/a", Body: []byte(c.body)}, options)
			var r *Refusal
			switch {
			case strings.HasPrefix(c.want, "!"):
				if !errors.As(err, &r) || r.Kind.String() != c.want[1:] || r.Field != "x" {
					t.Errorf("%+v, %v", out, err)
				}
			case err != nil || string(out.Body) != c.want:
				t.Errorf("%+v, %v", out, err)
			}
		})
	}
}
