package translate

import (
	"bytes"
	"errors"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"ternbeam/deploy"
)

func sample(t testing.TB) *Set {
	t.Helper()
	set, err := Compile([]byte(deploy.Translate))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

const oldTarget = "/refund-record/GB%2F7%20a"

func oldRequest(body string) *HTTP {
	return &HTTP{Method: "POST", Target: oldTarget, Header: []Header{{"idempotency-key", "k-1"}, {"Other", "x"}}, Body: []byte(body)}
}

const oldBody = "amount=12.5&bought=29%2F02%2F2024&goods=J&first=%C3%89lise&last=MacLeod&memo=a+%26+b"

// The old request in the new shape, and back; the reply back in the old one.
func TestSample(t *testing.T) {
	set := sample(t)
	p, back := set.Plan("refund-record-1", "refund-record-2"), set.Plan("refund-record-2", "refund-record-1")
	got, err := p.Request(oldRequest(oldBody))
	if err != nil {
		t.Fatal(err)
	}
	want := `{"amount":{"currency":"GBP","pence":1250},"bought":"2024-02-29","form":{"id":"GB/7 a"},"goods":"jewellery",` +
		`"memo":"a & b","traveller":"Élise|MacLeod"}`
	if got.Method != "POST" || got.Target != "/v2/refunds" || string(got.Body) != want || len(got.Header) != 1 ||
		got.Header[0] != (Header{"Idempotency-Key", "k-1"}) {
		t.Errorf("%+v\n%s", got, got.Body)
	}
	again, err := back.Request(got)
	if err != nil {
		t.Fatal(err)
	}
	if again.Target != oldTarget || string(again.Body) !=
		"amount=12.50&bought=29%2F02%2F2024&first=%C3%89lise&goods=J&last=MacLeod&memo=a+%26+b" {
		t.Errorf("%+v\n%s", again, again.Body)
	}
	reply, err := p.Reply(&HTTP{Body: []byte(`{"state":"pending","receipt":"R\u002d9"}`)})
	if err != nil || len(reply.Header) != 2 || reply.Header[0] != (Header{"X-Paid", "false"}) ||
		reply.Header[1] != (Header{"X-Receipt", "R-9"}) || len(reply.Body) > 0 {
		t.Errorf("%+v, %v", reply, err)
	}
}

// What can't be translated is refused, with the field and why.
func TestRefusals(t *testing.T) {
	set := sample(t)
	p, back := set.Plan("refund-record-1", "refund-record-2"), set.Plan("refund-record-2", "refund-record-1")
	with := func(old, new string) *HTTP { return oldRequest(strings.Replace(oldBody, old, new, 1)) }
	newBody := `{"amount":{"currency":"GBP","pence":1250},"bought":"2024-02-29","form":{"id":"a"},"goods":"watch","traveller":"a|b"}`
	json := func(old, new string) *HTTP {
		return &HTTP{Method: "POST", Target: "/v2/refunds", Header: []Header{{"Idempotency-Key", "k"}},
			Body: []byte(strings.Replace(newBody, old, new, 1))}
	}
	for name, c := range map[string]struct {
		plan  *Plan
		m     *HTTP
		kind  Kind
		field string
	}{
		"half a penny":              {p, with("12.5", "0.005"), OutOfRange, "amount"},
		"too much":                  {p, with("12.5", "1000000000000000"), OutOfRange, "amount"},
		"beyond 64 bits":            {p, with("12.5", "99999999999999999999"), OutOfRange, "amount"},
		"negative zero":             {p, with("12.5", "-0"), OutOfRange, "amount"}, // as 0 is
		"no amount":                 {p, with("12.5", "much"), Malformed, "amount"},
		"no day":                    {p, with("29%2F02%2F2024", "29%2F02%2F2023"), Malformed, "bought"},
		"another form of day":       {p, with("29%2F02%2F2024", "1%2F2%2F2024"), Malformed, "bought"},
		"unknown value":             {p, with("goods=J", "goods=X"), OutOfRange, "goods"},
		"missing":                   {p, with("goods=J&", ""), Missing, "goods"},
		"given twice":               {p, with("goods=J", "goods=J&goods=J"), Malformed, "goods"},
		"unknown field":             {p, with("goods=J", "goods=J&more=1"), Forbidden, ""},
		"not UTF-8":                 {p, with("MacLeod", "%FF"), Malformed, "last"},
		"what parts the joined":     {p, with("MacLeod", "Mac%7CLeod"), OutOfRange, "last"},
		"another path":              {p, &HTTP{Method: "POST", Target: "/refund-record"}, Malformed, ""},
		"longer path":               {p, &HTTP{Method: "POST", Target: oldTarget + "/x"}, Malformed, ""},
		"another method":            {p, &HTTP{Method: "GET", Target: oldTarget}, Malformed, ""},
		"header twice":              {p, &HTTP{Method: "POST", Target: oldTarget, Header: []Header{{"Idempotency-Key", "a"}, {"IDEMPOTENCY-KEY", "a"}}}, Malformed, "key"},
		"long body":                 {p, oldRequest("memo=" + strings.Repeat("a", defaultBody)), TooLarge, ""},
		"duplicate member":          {back, json(`"goods"`, `"goods":"watch","goods"`), Malformed, ""},
		"duplicate by escape":       {back, json(`"goods"`, `"g\u006fods":"watch","goods"`), Malformed, ""},
		"number beyond 2^53":        {back, json("1250", "9007199254740993"), OutOfRange, "pence"},
		"part of a penny":           {back, json("1250", "1250.5"), OutOfRange, "pence"},
		"number as text":            {back, json("1250", `"1250"`), Malformed, "pence"},
		"object in place of a text": {back, json(`"watch"`, "{}"), Malformed, "goods"},
		"text in place of object":   {back, json(`{"id":"a"}`, `"a"`), Malformed, "form"},
		"null":                      {back, json(`"watch"`, "null"), Missing, "goods"},
		"value that is refused":     {back, json("watch", "fuel"), OutOfRange, "goods"},
		"must be absent":            {back, json(`"goods"`, `"channel":"web","goods"`), Forbidden, "channel"},
		"three parts":               {back, json("a|b", "a|b|c"), OutOfRange, "traveller"},
		"lone surrogate":            {back, json("a|b", `a|\ud800`), Malformed, ""},
		"invalid UTF-8 in JSON":     {back, json("a|b", "a|\xff"), Malformed, ""},
		"more behind":               {back, json(`"a|b"}`, `"a|b"}{}`), Malformed, ""},
		"cut short":                 {back, json(`"a|b"}`, `"a|b"`), Malformed, ""},
		"no object":                 {back, json(newBody, `[]`), Malformed, ""},
		"path that would be lost":   {back, json(`"id":"a"`, `"id":".."`), OutOfRange, "form"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := c.plan.Request(c.m)
			var r *Refusal
			if !errors.As(err, &r) || r.Kind != c.kind || r.Field != c.field {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
}

// Whatever the key's bytes, they are the same after a translation there and back.
func TestKeysSurvive(t *testing.T) {
	set := sample(t)
	p, back := set.Plan("refund-record-1", "refund-record-2"), set.Plan("refund-record-2", "refund-record-1")
	r := rand.New(rand.NewPCG(1, 0))
	keys := []string{"%", "%41", "a b", "é", "+", strings.Repeat("k", 4096), `"\`, "|"}
	for range 200 {
		var b strings.Builder
		for range 1 + r.IntN(20) {
			b.WriteRune(rune(0x21 + r.IntN(0x2000)))
		}
		keys = append(keys, b.String())
	}
	for _, key := range keys {
		m := oldRequest(oldBody)
		m.Header[0].Value = key
		there, err := p.Request(m)
		if err != nil || there.Header[0].Value != key {
			t.Fatalf("%q: %+v, %v", key, there, err)
		}
		if again, err := back.Request(there); err != nil || again.Header[0].Value != key {
			t.Fatalf("%q: %+v, %v", key, again, err)
		}
	}
}

// What is generated for a mapping that claims to lose nothing comes back as it was.
func TestRoundTrips(t *testing.T) {
	set := sample(t)
	p, back := set.Plan("refund-record-1", "refund-record-2"), set.Plan("refund-record-2", "refund-record-1")
	if len(p.Loses()) > 0 {
		t.Fatal(p.Loses())
	}
	r := rand.New(rand.NewPCG(2, 0))
	for range 3000 {
		values := make([]value, len(p.From.request.fields))
		for i, f := range p.From.request.fields {
			if !f.optional || r.IntN(2) == 0 {
				values[i] = any1(r, f)
			}
		}
		m := &HTTP{Method: "POST"}
		target, refusal := p.From.appendTarget(nil, values)
		if refusal != nil {
			continue // "." in a path
		}
		m.Target = string(target)
		write := conversion{dst: &p.From.request}
		if refusal := write.write(m, &reading{dst: values}); refusal != nil {
			t.Fatal(refusal)
		}
		there, err := p.Request(m)
		if err != nil {
			if strings.Contains(err.Error(), `it contains "|"`) {
				continue
			}
			t.Fatalf("%+v: %v", m, err)
		}
		again, err := back.Request(there)
		if err != nil || again.Target != m.Target || !bytes.Equal(again.Body, m.Body) || again.Header[0] != m.Header[0] {
			t.Fatalf("%+v %s\nbecame %+v %s\nand %+v, %v", m, m.Body, there, there.Body, again, err)
		}
	}
}

// any1 is any value of a field.
func any1(r *rand.Rand, f *field) value {
	v := value{set: true}
	switch f.Type {
	case Text, Bytes:
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
		v.num = leastDay + r.Int64N(mostDay-leastDay)
	}
	return v
}

// Decimal numbers are exact or refused.
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
		{"", 0, 0, errDigits}, {"-", 0, 0, errDigits}, {".5", 1, 0, errDigits}, {"5.", 1, 0, errDigits}, {"1.2.3", 4, 0, errDigits},
		{"+1", 0, 0, errDigits}, {"1e", 0, 0, errDigits}, {"0x10", 0, 0, errDigits}, {"1_000", 0, 0, errDigits}, {" 1", 0, 0, errDigits},
		{"NaN", 0, 0, errDigits}, {"9007199254740993", 0, 9007199254740993, nil},
	} {
		got, err := parseDecimal([]byte(c.text), c.scale)
		if got != c.want || !errors.Is(err, c.err) || (err != nil) != (c.err != nil) {
			t.Errorf("%q over 10^%d: %d, %v", c.text, c.scale, got, err)
		}
	}
	r := rand.New(rand.NewPCG(3, 0))
	for range 20000 {
		n, scale := int64(r.Uint64())>>r.IntN(64), r.IntN(mostDecimals+1)
		if n == math.MinInt64 {
			continue
		}
		text := appendDecimal(nil, n, scale)
		if got, err := parseDecimal(text, scale); got != n || err != nil {
			t.Fatalf("%d over 10^%d is %s, and read %d, %v", n, scale, text, got, err)
		}
	}
}

// A local time that came twice or never, as the clocks were changed, is refused; all others come back.
func TestClocks(t *testing.T) {
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
				t.Errorf("%s is %s, not %s", text, got, want)
			}
			if back, err := appendInstant(nil, ms, f); string(back) != text || err != nil {
				t.Errorf("%s came back as %s, %v", text, back, err)
			}
		}
	}
	twice := time.Date(2026, 10, 25, 0, 30, 0, 0, time.UTC).UnixMilli()
	if text, err := appendInstant(nil, twice, f); err == nil {
		t.Errorf("an instant whose local time came twice is written %s", text)
	}
}

// What is wrong in a file is told by line and key, all of it at once.
func TestFileProblems(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"nothing said of a field read":    {`memo = { from = "memo" }` + "\n\n[mappings.refund-record-1-to-2.reply]", "\n[mappings.refund-record-1-to-2.reply]", "nothing is said of memo, which is read"},
		"nothing said of a field written": {`omit = { request = ["channel"] }`, "", "nothing is said of channel, which is written"},
		"mapped and dropped":              {`omit = { request = ["channel"] }`, `omit = { request = ["channel"] }` + "\ndrop = { request = [\"memo\"] }", "memo is"},
		"loses and says not":              {`values = { W = "watch", J = "jewellery"`, `values = { W = "watch", J = "watch"`, "it loses: request goods: whether it was W or J"},
		"no such value":                   {`O = "other"`, `O = "others"`, `goods has no value "others"`},
		"no such shape":                   {`to = "refund-record-2"`, `to = "refund-record-3"`, `no shape is called "refund-record-3"`},
		"no such field":                   {`pence = { from = "amount"`, `pence = { from = "sum"`, `has no field "sum"`},
		"types that don't fit":            {`bought = { from = "bought" }`, `bought = { from = "memo" }`, "can't become bought"},
		"optional to needed":              {`form = { from = "form" }`, `form = { from = "memo" }`, "a default is needed"},
		"no such type":                    {`type = "bool"`, `type = "boolean"`, `"boolean"`},
		"no such place":                   {`at = "header:X-Paid"`, `at = "trailer:X-Paid"`, `"trailer:X-Paid"`},
		"two in one place":                {`at = "form:last"`, `at = "form:first"`, "first is there too"},
		"member of a field":               {`at = "json:bought"`, `at = "json:form.id.day"`, "it can't be in bought, or that in it"},
		"path without its field":          {`/refund-record/{form}`, `/refund-record/x`, "the path has no {form}"},
		"unknown key":                     {`lossless = true`, `losless = true`, "no such key"},
		"constant that is none":           {`value = "GBP"`, `value = "EUR"`, `"EUR" is none of its values`},
		"part taken twice":                {`part = 2`, `part = 1`, "taken twice"},
		"part left":                       {`part = 2`, `part = 3`, "of 3 parts 2 are taken"},
		"bound that is none":              {`min = "0.01"`, `min = "0.001"`, "more decimals"},
		"form that is none":               {`form = "iso"`, `form = "us"`, `"us"`},
		"reply in a path":                 {`at = "json:receipt"`, `at = "query:receipt"`, "a reply has no such place"},
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
				p.Request(oldRequest(oldBody))
			}
		}
	})
}

// Whatever comes, it is translated or refused; what is translated there comes back, or is refused by the other shape.
func FuzzRequest(f *testing.F) {
	set := sample(f)
	p, back := set.Plan("refund-record-1", "refund-record-2"), set.Plan("refund-record-2", "refund-record-1")
	f.Add(oldTarget, "k", oldBody)
	f.Add("/refund-record/%zz", "", "amount=1e5&&=&x")
	f.Fuzz(func(t *testing.T, target, key, body string) {
		m := &HTTP{Method: "POST", Target: target, Header: []Header{{"Idempotency-Key", key}}, Body: []byte(body)}
		there, err := p.Request(m)
		if err != nil {
			return
		}
		if there.Header[0].Value != key {
			t.Errorf("key %q became %q", key, there.Header[0].Value)
		}
		again, err := back.Request(there)
		if err != nil {
			var r *Refusal
			if errors.As(err, &r) && r.Field == "form" { // "." and ".."
				return
			}
			t.Fatalf("%s: %v", there.Body, err)
		}
		third, err := p.Request(again)
		if err != nil || !bytes.Equal(third.Body, there.Body) {
			t.Fatalf("%s became %s, %v", there.Body, third.Body, err)
		}
	})
}

// FuzzJSON is the same from the other side.
func FuzzJSON(f *testing.F) {
	set := sample(f)
	back := set.Plan("refund-record-2", "refund-record-1")
	f.Add([]byte(`{"amount":{"currency":"GBP","pence":1},"bought":"2024-02-29","form":{"id":"a"},"goods":"watch","traveller":"a|b"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		m := &HTTP{Method: "POST", Target: "/v2/refunds", Header: []Header{{"Idempotency-Key", "k"}}, Body: body}
		if there, err := back.Request(m); err == nil && len(there.Body) == 0 {
			t.Error("nothing came of it")
		}
	})
}
