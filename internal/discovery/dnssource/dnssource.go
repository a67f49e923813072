// Package dnssource asks name servers what the deciding part says is to be asked. It owns sockets and timers and nothing
// else; one goroutine owns the deciding part.
package dnssource

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/miekg/dns"

	"ternbeam/internal/decide/resolve"
)

// Settings are what a source is made of.
type Settings struct {
	resolve.Settings
	Addrs []string // of the name servers
	Seed  uint64
	Log   *slog.Logger
	Now   func() time.Duration // the clock of the events
}

// most is how many questions are out at a time.
const most = 32

// Run asks until the context ends, and tells what the records say.
func Run(ctx context.Context, set Settings, told func(resolve.Word), lost func()) {
	set.Settings.Servers = len(set.Addrs)
	r := resolve.New(set.Settings, set.Seed)
	type done struct {
		ask    resolve.Ask
		answer resolve.Answer
	}
	answers := make(chan done, most)
	room := make(chan struct{}, most)
	var queue []resolve.Ask
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		asks, again := r.Due(set.Now())
		queue = append(queue, asks...)
	send:
		for len(queue) > 0 {
			select {
			case room <- struct{}{}:
			default:
				break send
			}
			a := queue[0]
			queue = queue[1:]
			go func() {
				answer := Ask(ctx, set.Addrs[a.Server], a)
				<-room
				select {
				case answers <- done{a, answer}:
				case <-ctx.Done():
				}
			}()
		}
		word, gone := r.Told()
		if word != nil {
			told(*word)
		}
		if gone {
			lost()
		}
		timer.Reset(max(0, again-set.Now()))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case d := <-answers:
			if v := d.answer.Verdict; v != resolve.Good && v != resolve.None {
				set.Log.Debug("no answer", "question", d.ask.Question.String(), "server", set.Addrs[d.ask.Server], "tcp", d.ask.TCP,
					"verdict", v.String(), "why", d.answer.Why)
			}
			queue = append(queue, r.Answered(set.Now(), d.ask.Number, d.ask.TCP, d.answer)...)
		}
	}
}

// Ask asks one question of one server, over a socket of its own: its port is a new one each time, and what does not come
// from the server asked never arrives. Messages that are no answer to it are passed over.
func Ask(ctx context.Context, addr string, a resolve.Ask) resolve.Answer {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	id := dns.Id() // from crypto/rand
	wire, err := resolve.Pack(id, a.Question)
	if err != nil {
		return resolve.Answer{Verdict: resolve.Nonsense, Why: err.Error()}
	}
	network := "udp"
	if a.TCP {
		network = "tcp"
		wire = append(binary.BigEndian.AppendUint16(nil, uint16(len(wire))), wire...)
	}
	answer, err := ask(ctx, network, addr, wire, id, a.Question)
	if err != nil {
		return resolve.Answer{Verdict: resolve.Silence, Why: err.Error()}
	}
	return answer
}

func ask(ctx context.Context, network, addr string, wire []byte, id uint16, q resolve.Question) (resolve.Answer, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return resolve.Answer{}, err
	}
	defer c.Close()
	if by, ok := ctx.Deadline(); ok {
		c.SetDeadline(by)
	}
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })()
	if _, err := c.Write(wire); err != nil {
		return resolve.Answer{}, err
	}
	room := make([]byte, 1<<16)
	for {
		n, err := read(network, c, room)
		if err != nil {
			return resolve.Answer{}, fmt.Errorf("waiting for an answer: %w", err)
		}
		answer, err := resolve.Read(room[:n], id, q)
		if errors.Is(err, resolve.ErrForeign) {
			continue
		}
		return answer, err
	}
}

func read(network string, c net.Conn, room []byte) (int, error) {
	if network == "udp" {
		return c.Read(room)
	}
	var head [2]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return 0, err
	}
	return io.ReadFull(c, room[:binary.BigEndian.Uint16(head[:])])
}
