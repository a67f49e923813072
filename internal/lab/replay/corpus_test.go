package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/url"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "regenerate the corpus")

const corpusFile = "testdata/refunds.jsonl"

// corpus generates the requests of old clients: first each field alone with edge cases, then random values of all fields. The
// expected outcomes follow from the definition of the shapes, not from the results of a translation.
func corpus() (all []OldRefund) {
	plain := OldRefund{Key: []byte("once"), Form: "GB-1", Amount: "12.50", Bought: "29/02/2024", Goods: "J", First: "Elise", Last: "MacLeod", Expected: "served"}
	add := func(name string, edit func(*OldRefund)) {
		o := plain
		o.Key = fmt.Appendf(nil, "key-%d", len(all))
		edit(&o)
		o.Name = name
		all = append(all, o)
	}
	// each adds a request for each edge case of one field, given by expected outcome.
	each := func(field string, set func(*OldRefund, string), outcomes map[string][]string) {
		for _, outcome := range []string{"served", "unfit"} {
			for _, text := range outcomes[outcome] {
				add(fmt.Sprintf("%s %.24q", field, text), func(o *OldRefund) { set(o, text); o.Expected = outcome })
			}
		}
	}
	each("form", func(o *OldRefund, s string) { o.Form = s }, map[string][]string{"served": {"a", "GB/7 a", "%41", "é", "a+b", "a;b", "a?b", "a#b",
		"~", "%", "a&b=c", `"`, "\\", "日本", "😀", strings.Repeat("f", 128), "...", ".a", "a%2Fb", "a b  c", "'", "<x>", "a,b", "a:b", "@"}})
	each("amount", func(o *OldRefund, s string) { o.Amount = s }, map[string][]string{
		"served": {"0.01", "1", "0.1", "0.10", "00012.5", "9999999.99", "10000000", "10000000.00", "1.5", "100", "4503599.99"},
		"unfit": {"0", "0.00", "-0", "-1", "-0.01", "0.005", "1.999", "10000000.01", "1000000000000000", "99999999999999999999", "much",
			"1,5", "1.", ".5", " 1", "1 ", "+1", "0x1", "NaN", "1e999"}})
	each("bought", func(o *OldRefund, s string) { o.Bought = s }, map[string][]string{
		"served": {"01/01/1970", "31/12/1969", "01/01/2000", "29/02/2000", "28/02/1900", "31/12/9999", "01/01/0001", "25/10/2026", "29/03/2026", "31/12/2025"},
		"unfit":  {"29/02/2023", "29/02/1900", "1/2/2024", "31/04/2024", "00/01/2024", "2024-02-29", "29/02/24", "29.02.2024", "today", "31/13/2024"}})
	each("goods", func(o *OldRefund, s string) { o.Goods = s }, map[string][]string{"served": {"W", "J", "O"}, "unfit": {"X", "w", "WJ", "watch", " W"}})
	names := map[string][]string{"served": {"a", "É", "O'Neill", "van der Berg", "李", "a%20b", "+", "&", "=", strings.Repeat("n", 100), "\t", "a\"b", "a\\b", "</x>", "\u2028", "😀", "\u0301"},
		"unfit": {"a|b", "|", strings.Repeat("n", 101), strings.Repeat("é", 51)}}
	each("first", func(o *OldRefund, s string) { o.First = s }, names)
	each("last", func(o *OldRefund, s string) { o.Last = s }, names)
	each("memo", func(o *OldRefund, s string) { o.Memo = &s }, map[string][]string{"served": {"", "m", strings.Repeat("m", 500), "a & b = c + d", "line\nline", "\x00", "\x01\x1f", "\u007f", "null", "true", "{}", "%00", "\ufffd"},
		"unfit": {strings.Repeat("m", 501), strings.Repeat("é", 251)}})
	each("key", func(o *OldRefund, s string) { o.Key = []byte(s) }, map[string][]string{"served": {"k", "%", "%41", "a b", "é", "+", `"\`, "|", "a\tb", "日本", "\x80\xff",
		strings.Repeat("k", 4096), strings.Repeat("%", 300), "null", ",", ";"}})
	for _, key := range []string{"a\x00b", " a", "a ", "\x7f", "a\r\nX-Repeat: 1", "\x01"} {
		add(fmt.Sprintf("key %q", key), func(o *OldRefund) { o.Key, o.OnlyProtocol = []byte(key), "thrift" })
	}
	form := "amount=12.50&bought=29%2F02%2F2024&goods=J&first=Elise&last=MacLeod"
	bodies := map[string]string{form + "&goods=J": "unfit", form + "&more=1": "unfit", form + "&first=%FF": "unfit", form + "&memo=%zz": "unfit",
		strings.Replace(form, "goods=J&", "", 1): "unfit", form + "&": "served", "&&" + form: "served", form + "&memo": "served", form + "&memo=": "served",
		strings.Replace(form, "Elise", "%45lise", 1): "served", strings.Replace(form, "Elise", "E+l+ise", 1): "served", strings.Replace(form, "goods", "%67oods", 1): "served",
		"{}": "unfit", form + "&memo=%C3": "unfit", form + "&memo=" + strings.Repeat("%6D", 500): "served", "goods=J&" + strings.Replace(form, "goods=J&", "", 1): "served"}
	for _, body := range slices.Sorted(maps.Keys(bodies)) {
		add(fmt.Sprintf("body %.40q", body), func(o *OldRefund) { o.Body, o.Expected, o.OnlyProtocol = body, bodies[body], "http" })
	}
	r := rand.New(rand.NewPCG(1, 0))
	text := func(most int) string {
		var b strings.Builder
		for range 1 + r.IntN(most) {
			c := rune(0x21 + r.IntN(0x5b)) // up to {
			if r.IntN(3) == 0 {
				c = rune(0xa1 + r.IntN(0x2000))
			}
			b.WriteRune(c)
		}
		return b.String()
	}
	for i := range 160 {
		add(fmt.Sprintf("any %d", i), func(o *OldRefund) {
			o.Form, o.First, o.Last, o.Key = text(20), text(20), text(20), []byte(text(60))
			if strings.Trim(o.Form, ".") == "" {
				o.Form = "a"
			}
			pence := 1 + r.IntN(1_000_000_000)
			o.Amount = fmt.Sprintf("%d.%02d", pence/100, pence%100)
			o.Bought = time.Unix(0, 0).AddDate(0, 0, r.IntN(40000)-10000).UTC().Format("02/01/2006")
			o.Goods = string("WJO"[r.IntN(3)])
			if memo := text(100); r.IntN(2) == 0 {
				o.Memo = &memo
			}
		})
	}
	return all
}

// load reads the corpus file.
func load(t testing.TB) (all []OldRefund) {
	t.Helper()
	text, err := os.ReadFile(corpusFile)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, MaxLineBytes)
	seen := map[string]bool{}
	for lines.Scan() {
		var o OldRefund
		if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
			t.Fatal(err)
		}
		o.Name = ""
		line := fmt.Sprintf("%+q", []any{o.Form, o.Amount, o.Bought, o.Goods, o.First, o.Last, o.Memo, o.Body, string(o.Key)})
		if seen[line] {
			t.Errorf("duplicate request: %s", lines.Text())
		}
		seen[line] = true
		all = append(all, o)
	}
	if len(all) < 300 {
		t.Fatalf("%d requests, want at least 300", len(all))
	}
	return all
}

// Checks that the corpus file has enough requests of each kind. go test -run Corpus -update regenerates the file.
func TestCorpus(t *testing.T) {
	if *update {
		var out bytes.Buffer
		lines := json.NewEncoder(&out)
		lines.SetEscapeHTML(false)
		for _, o := range corpus() {
			if err := lines.Encode(o); err != nil {
				t.Fatal(err)
			}
		}
		if err := os.WriteFile(corpusFile, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	all := load(t)
	outcomes := map[string]int{}
	for _, o := range all {
		outcomes[o.Expected]++
		if _, err := url.ParseQuery(string(o.HTTP("x").Request.Body)); err != nil && o.Expected == "served" {
			t.Errorf("%+v: %v", o, err)
		}
	}
	if outcomes["served"] < 200 || outcomes["unfit"] < 40 {
		t.Errorf("too few requests of some outcome: %v", outcomes)
	}
}
