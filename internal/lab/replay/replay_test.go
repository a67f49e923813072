package replay

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ternbeam/deploy"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/translate"
)

func shapes() (*translate.Set, error) { return translate.Compile([]byte(deploy.Translate)) }

func newWorld(t testing.TB, p standin.Platform, servers ...standin.Options) *World {
	t.Helper()
	w, err := NewWorld(p, shapes, slog.New(slog.NewTextHandler(io.Discard, nil)), servers...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

// protocols are the protocols of clients, and of servers as named in the list.
var protocols = []string{"http", "thrift-binary", "thrift-compact"}

func (o OldRefund) exchange(id, protocol string) Exchange {
	if protocol == "http" {
		return o.HTTP(id)
	}
	return o.Thrift(id, protocol == "thrift-compact")
}

// Sends the corpus through all pairs of protocols. What the new servers receive and what the clients are answered must equal
// the results with old servers, byte for byte.
func TestCorpusThroughAllProtocolPairs(t *testing.T) {
	all := load(t)
	for _, client := range protocols {
		for _, server := range append([]string{"thrift-binary multiplexed"}, protocols...) {
			t.Run(client+" to "+server, func(t *testing.T) {
				t.Parallel()
				old := newWorld(t, standin.Platform{}, standin.Options{ID: "old", Protocol: client, Shapes: []string{"1"}, NoLoad: true})
				protocol, _, multiplexed := strings.Cut(server, " ")
				new := newWorld(t, standin.Platform{}, standin.Options{ID: "new", Protocol: protocol, Multiplexed: multiplexed, Shapes: []string{"2"}})
				var served, unfit []Exchange
				for i, o := range all {
					id := fmt.Sprint("c-", i)
					switch {
					case o.OnlyProtocol != "" && !strings.HasPrefix(client, o.OnlyProtocol) && o.OnlyProtocol != client:
					case o.OnlyProtocol == "thrift" && server == "http": // the key is not allowed in a header
						unfit = append(unfit, o.exchange(id, client))
					case o.Expected == "served":
						served = append(served, o.exchange(id, client))
					default:
						unfit = append(unfit, o.exchange(id, client))
					}
				}
				r := Compare(old, new, served, testkit.WaitTimeout)
				if r.Same != len(served) {
					t.Errorf("%d of %d are the same, unfit %q, different %q", r.Same, len(served), first(r.Untranslatable), first(r.Different))
				}
				r = Compare(old, new, unfit, testkit.WaitTimeout)
				if len(r.Untranslatable) != len(unfit) {
					t.Errorf("%d of %d are unfit, same %d, different %q", len(r.Untranslatable), len(unfit), r.Same, first(r.Different))
				}
				for version, w := range map[string]*World{"1": old, "2": new} {
					if deliveries := w.Deliveries("c-0"); len(deliveries) != 1 || deliveries[0].Version != version {
						t.Errorf("servers of version %s received %+v", version, deliveries)
					}
					if n := w.Agent.IllegalSteps(); n > 0 {
						t.Errorf("%d illegal state transitions", n)
					}
				}
			})
		}
	}
}

func first(all []string) []string { return all[:min(len(all), 8)] }

// Compare must detect a server that receives something different, and a client that receives a different answer.
func TestCompareDetectsDifferences(t *testing.T) {
	all := load(t)
	wrong := strings.Replace(deploy.Translate, `W = "watch", J = "jewellery"`, `W = "jewellery", J = "watch"`, 1)
	old := newWorld(t, standin.Platform{}, standin.Options{ID: "old", Protocol: "http", Shapes: []string{"1"}})
	for name, c := range map[string]struct {
		text   string
		script standin.Script
		want   string
	}{
		"goods swapped": {text: wrong, want: "a new server received"},
		"reply swapped": {text: strings.Replace(deploy.Translate, `paid = "true", pending = "false"`, `paid = "false", pending = "true"`, 1), want: "the client received"},
		"an error":      {text: deploy.Translate, script: standin.FirstDeliveries(9, standin.Step{Fault: standin.Error}), want: "the client received"},
	} {
		t.Run(name, func(t *testing.T) {
			new, err := NewWorld(standin.Platform{}, func() (*translate.Set, error) { return translate.Compile([]byte(c.text)) },
				slog.New(slog.DiscardHandler), standin.Options{ID: "new", Protocol: "http", Shapes: []string{"2"}, Script: c.script})
			if err != nil {
				t.Fatal(err)
			}
			defer new.Close()
			r := Compare(old, new, []Exchange{all[0].HTTP("a-" + name)}, 5*time.Second)
			if len(r.Different) != 1 || !strings.Contains(r.Different[0], c.want) {
				t.Errorf("%+v", r)
			}
		})
	}
}
