package replay

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/deploy"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/translate"
)

// refund returns the first refund of the corpus with the given key.
func refund(t testing.TB, key string) OldRefund {
	o := load(t)[0]
	o.Key = []byte(key)
	return o
}

// send sends one request on a new connection and returns the answer.
func (w *World) send(t testing.TB, e Exchange) Message {
	t.Helper()
	p := w.Player(testkit.WaitTimeout)
	defer p.Close()
	m, err := p.Do(e)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// The first attempt takes effect at an old server over HTTP and its answer is lost; the retry goes to a new server over Thrift
// in the same deduplication group. It must have the same key and id, so that the group drops it as a duplicate.
func TestRetryInAnotherShapeIsDeduplicated(t *testing.T) {
	for _, key := range []string{"once", "%41 é+", strings.Repeat("k", 4090)} {
		group := standin.NewDedupGroup()
		var first atomic.Bool
		lose := func(c standin.Call) standin.Step {
			if first.CompareAndSwap(false, true) {
				return standin.Step{Fault: standin.ResetBefore}
			}
			return standin.Step{}
		}
		for tries := 0; ; tries++ { // until the random choice selects the old server first
			if tries == 40 {
				t.Fatal("no call went to the old server first and then to the new one")
			}
			first.Store(false)
			id := fmt.Sprint("r-", tries)
			// With one seed for all tries, all would make the same draws, and only the time at which the servers become known would differ.
			seed := uint64(1 + tries)
			w := newWorld(t, standin.Platform{Seed: seed}, standin.Options{ID: "old", Protocol: "http", Shapes: []string{"1"}, DedupGroup: group, Script: lose},
				standin.Options{ID: "new", Protocol: "thrift-compact", Shapes: []string{"2"}, DedupGroup: group, Script: lose})
			own := fmt.Sprint(tries, key)
			m := w.send(t, refund(t, own).HTTP(id))
			deliveries := w.Deliveries(id)
			if m.Status != 200 || len(deliveries) != 2 || group.Effects(own) != 1 {
				t.Fatalf("received %v, %d deliveries, %d effects", m, len(deliveries), group.Effects(own))
			}
			if deliveries[0].IdempotencyKey != own || deliveries[1].IdempotencyKey != own || deliveries[0].Refund != deliveries[1].Refund {
				t.Fatalf("servers received %+v", deliveries)
			}
			if deliveries[0].Version == "1" && deliveries[1].Version == "2" {
				break
			}
		}
	}
}

// An answer that cannot be represented in the client's shape arrives after the effect. The call must fail and not be retried.
func TestUntranslatableReplyIsAFailure(t *testing.T) {
	odd := func(standin.Call) standin.Step { return standin.Step{Fault: standin.UndefinedValue} }
	for _, client := range protocols {
		for _, server := range protocols {
			group := standin.NewDedupGroup()
			w := newWorld(t, standin.Platform{}, standin.Options{ID: "a", Protocol: server, Shapes: []string{"2"}, DedupGroup: group, Script: odd},
				standin.Options{ID: "b", Protocol: server, Shapes: []string{"2"}, DedupGroup: group, Script: odd})
			m := w.send(t, refund(t, "once").exchange("o-1", client))
			failed := m.Status == 502
			if client != "http" {
				result, err := standin.DecodeThrift(m.Thrift)
				failed = err == nil && result[2] != nil && result[0] == nil && result[1] == nil
			}
			if deliveries := w.Deliveries("o-1"); !failed || len(deliveries) != 1 || group.Effects("once") != 1 {
				t.Errorf("%s to %s: received %v, %d deliveries, %d effects", client, server, m, len(deliveries), group.Effects("once"))
			}
		}
	}
}

// A request whose translation exceeds the server's size limit must be refused before anything is sent, and must still reach
// a server that accepts it untranslated.
func TestTranslationBeyondTheSizeLimitIsNotSent(t *testing.T) {
	text := strings.Replace(deploy.Translate, "[shapes.refund-record-2.request]", "[shapes.refund-record-2.max_body_bytes]\nrequest = 200\n\n[shapes.refund-record-2.request]", 1)
	world := func(servers ...standin.Options) *World {
		w, err := NewWorld(standin.Platform{}, func() (*translate.Set, error) { return translate.Compile([]byte(text)) }, slog.New(slog.DiscardHandler), servers...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		return w
	}
	long := refund(t, "once")
	memo := strings.Repeat("m", 200)
	long.Memo = &memo
	new := standin.Options{ID: "new", Protocol: "http", Shapes: []string{"2"}}
	w := world(new)
	if m := w.send(t, refund(t, "short").HTTP("g-0")); m.Status != 200 {
		t.Errorf("received %v", m)
	}
	if m := w.send(t, long.HTTP("g-1")); m.Status != 422 || !strings.Contains(string(m.Body), "200") || len(w.Deliveries("g-1")) > 0 {
		t.Errorf("received %v %s, deliveries %v", m, m.Body, w.Deliveries("g-1"))
	}
	w = world(new, standin.Options{ID: "new2", Protocol: "http", Shapes: []string{"2"}}, standin.Options{ID: "old", Protocol: "http", Shapes: []string{"1"}})
	for i := range 20 {
		id := fmt.Sprint("g-", i)
		long.Key = []byte(id)
		if m := w.send(t, long.HTTP(id)); m.Status != 200 || len(w.Deliveries(id)) != 1 || w.Deliveries(id)[0].Version != "1" {
			t.Fatalf("received %v, deliveries %+v", m, w.Deliveries(id))
		}
	}
}

// A call that only an old server can accept, and that this server rejects for now, must get a plain refusal, as it can be
// retried later.
func TestCallThatSomeServerCanAcceptIsNotUntranslatable(t *testing.T) {
	full := func(standin.Call) standin.Step { return standin.Step{Fault: standin.Reject} }
	w := newWorld(t, standin.Platform{MaxRetryAfter: time.Second}, standin.Options{ID: "new", Protocol: "http", Shapes: []string{"2"}},
		standin.Options{ID: "old", Protocol: "http", Shapes: []string{"1"}, Script: full})
	odd := refund(t, "k")
	odd.First = "a|b"
	for i := range 8 {
		if m := w.send(t, odd.HTTP(fmt.Sprint("u-", i))); m.Status != 503 {
			t.Errorf("received %v %s", m, m.Body)
		}
	}
	old := w.Servers[1]
	old.Drain()
	w.List.Update(old.Entry())
	testkit.Eventually(t, "the call is refused as untranslatable", func() bool {
		m := w.send(t, odd.HTTP(fmt.Sprint("v-", time.Now().UnixNano())))
		return m.Status == 422 && strings.Contains(string(m.Body), "first")
	})
}

// A call that no server accepts must be refused at once with Retry-After, and a call in an unknown shape with status 400.
func TestCallThatNoServerAcceptsIsRefused(t *testing.T) {
	w := newWorld(t, standin.Platform{MaxRetryAfter: time.Second}, standin.Options{ID: "a", Protocol: "http", Shapes: []string{"3"}})
	began := time.Now()
	m := w.send(t, refund(t, "k").HTTP("n-1"))
	if m.Status != 503 || len(m.Headers) != 1 || m.Headers[0][0] != "Retry-After" || len(w.Deliveries("n-1")) > 0 || time.Since(began) > 2*time.Second {
		t.Errorf("received %v after %v", m, time.Since(began))
	}
	odd := refund(t, "k").HTTP("n-2")
	odd.Request.Target += "/more"
	if m := w.send(t, odd); m.Status != 400 || !strings.Contains(string(m.Body), "none of the shapes") {
		t.Errorf("received %v %s", m, m.Body)
	}
}

// A call must keep the mapping with which it started, even if the file changes before its next attempt.
func TestCallsKeepTheirMapping(t *testing.T) {
	first := deploy.Translate
	second := strings.Replace(deploy.Translate, `values = { W = "watch", J = "jewellery", O = "other" }`, `values = { W = "watch", J = "other", O = "jewellery" }`, 1)
	if second == deploy.Translate {
		t.Fatal("the sample has changed")
	}
	var text atomic.Pointer[string]
	text.Store(&first)
	log := new(testkit.Log)
	held, proceed := make(chan struct{}), make(chan struct{})
	var once sync.Once
	script := func(c standin.Call) standin.Step {
		if c.ID == "m-1" && c.Delivery == 1 {
			once.Do(func() { close(held) })
			return standin.Step{Fault: standin.ResetBefore, Until: proceed}
		}
		return standin.Step{}
	}
	group := standin.NewDedupGroup()
	w, err := NewWorld(standin.Platform{}, func() (*translate.Set, error) { return translate.Compile([]byte(*text.Load())) },
		slog.New(slog.NewTextHandler(log, nil)), standin.Options{ID: "a", Protocol: "http", Shapes: []string{"2"}, DedupGroup: group, Script: script},
		standin.Options{ID: "b", Protocol: "thrift-binary", Shapes: []string{"2"}, DedupGroup: group, Script: script})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	answered := make(chan Message)
	go func() { answered <- w.send(t, refund(t, "k1").HTTP("m-1")) }()
	<-held
	text.Store(&second)
	w.Reload()
	testkit.Eventually(t, "the new file is in use", func() bool { return log.Contains("new shapes") })
	m2 := w.send(t, refund(t, "k2").HTTP("m-2"))
	close(proceed)
	m1 := <-answered
	deliveries := w.Deliveries("m-1")
	if m1.Status != 200 || m2.Status != 200 || len(deliveries) != 2 || deliveries[0].Refund.Goods != "jewellery" || deliveries[1].Refund != deliveries[0].Refund {
		t.Errorf("received %v, servers received %+v", m1, deliveries)
	}
	if deliveries := w.Deliveries("m-2"); len(deliveries) != 1 || deliveries[0].Refund.Goods != "other" {
		t.Errorf("after the change servers received %+v", deliveries)
	}
	broken := "shapes"
	text.Store(&broken)
	w.Reload()
	testkit.Eventually(t, "the invalid file is refused", func() bool { return log.Contains("keeping the old shapes") })
	if m := w.send(t, refund(t, "k3").HTTP("m-3")); m.Status != 200 || w.Deliveries("m-3")[0].Refund.Goods != "other" {
		t.Errorf("received %v", m)
	}
}

// The agent must learn from rejected calls that servers were rolled back while the list still reports the new shape, without
// any client noticing. What it learned must expire, after which the list counts again.
func TestShapeDriftIsLearnedAndExpires(t *testing.T) {
	for _, protocol := range protocols {
		t.Run(protocol, func(t *testing.T) {
			var refused atomic.Int32
			drifted := func(forget string) (*World, *standin.DedupGroup) {
				group := standin.NewDedupGroup()
				count := func(c standin.Call) {
					if c.Version == "2" {
						refused.Add(1)
					}
				}
				text := strings.Replace(deploy.Translate, "forget_s = 5.0", "forget_s = "+forget, 1)
				// The list reports version 2, but the servers accept version 1.
				w, err := NewWorld(standin.Platform{}, func() (*translate.Set, error) { return translate.Compile([]byte(text)) }, slog.New(slog.DiscardHandler),
					standin.Options{ID: "a", Protocol: protocol, Shapes: []string{"1"}, ListedShapes: []string{"2"}, DedupGroup: group, OnCall: count},
					standin.Options{ID: "b", Protocol: protocol, Shapes: []string{"1"}, ListedShapes: []string{"2"}, DedupGroup: group, OnCall: count})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(w.Close)
				return w, group
			}
			w, group := drifted("80.0")
			for i := range 20 {
				id := fmt.Sprint("d-", i)
				m := w.send(t, refund(t, id).exchange(id, protocol))
				deliveries := w.Deliveries(id)
				if last := deliveries[len(deliveries)-1]; unserved(m) || last.Version != "1" || group.Effects(id) != 1 {
					t.Fatalf("call %d: received %v, servers received %+v", i, m, deliveries)
				}
			}
			learning := refused.Load()
			if learning != 2 { // one call for each server
				t.Errorf("%d calls reached a server that does not know their shape", learning)
			}
			w, _ = drifted("0.3")
			testkit.Eventually(t, "the learned shapes expire and are learned again", func() bool {
				id := fmt.Sprint("f-", time.Now().UnixNano())
				if m := w.send(t, refund(t, id).exchange(id, protocol)); unserved(m) {
					t.Fatalf("received %v", m)
				}
				return refused.Load() > 2*learning
			})
		})
	}
}

func unserved(m Message) bool {
	if m.Thrift == nil {
		return m.Status != 200
	}
	result, err := standin.DecodeThrift(m.Thrift)
	return err != nil || result[0] == nil
}
