// Package dnssource queries name servers as package resolve decides. It owns only sockets and timers; one goroutine owns the
// resolver's state.
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

// Settings configure a source.
type Settings struct {
	resolve.Settings
	Addrs []string // of the name servers
	Seed  uint64
	Log   *slog.Logger
	Now   func() time.Duration // clock of the resolver
}

// maxInFlight limits the number of concurrent queries.
const maxInFlight = 32

// Run sends queries until ctx is done. It calls deliver with each new state of the records, and lost when no name server answers.
func Run(ctx context.Context, set Settings, deliver func(resolve.Snapshot), lost func()) {
	set.Settings.Servers = len(set.Addrs)
	r := resolve.New(set.Settings, set.Seed)
	type done struct {
		query  resolve.Query
		answer resolve.Answer
	}
	answers := make(chan done, maxInFlight)
	slots := make(chan struct{}, maxInFlight)
	var queue []resolve.Query
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		queries, next := r.Due(set.Now())
		queue = append(queue, queries...)
	send:
		for len(queue) > 0 {
			select {
			case slots <- struct{}{}:
			default:
				break send
			}
			q := queue[0]
			queue = queue[1:]
			go func() {
				answer := Exchange(ctx, set.Addrs[q.Server], q)
				<-slots
				select {
				case answers <- done{q, answer}:
				case <-ctx.Done():
				}
			}()
		}
		snapshot, unreachable := r.TakeUpdate()
		if snapshot != nil {
			deliver(*snapshot)
		}
		if unreachable {
			lost()
		}
		timer.Reset(max(0, next-set.Now()))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case d := <-answers:
			if v := d.answer.Verdict; v != resolve.Good && v != resolve.NoRecords {
				set.Log.Debug("no answer", "question", d.query.Question.String(), "server", set.Addrs[d.query.Server], "tcp", d.query.TCP,
					"verdict", v.String(), "why", d.answer.Reason)
			}
			queue = append(queue, r.HandleAnswer(set.Now(), d.query.Number, d.query.TCP, d.answer)...)
		}
	}
}

// Exchange sends one query to one server over a socket of its own. The port is a new one each time, and the socket accepts nothing from
// other servers. Messages that are no answer to the query are ignored.
func Exchange(ctx context.Context, addr string, q resolve.Query) resolve.Answer {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	id := dns.Id() // from crypto/rand
	wire, err := resolve.Pack(id, q.Question)
	if err != nil {
		return resolve.Answer{Verdict: resolve.Malformed, Reason: err.Error()}
	}
	network := "udp"
	if q.TCP {
		network = "tcp"
		wire = append(binary.BigEndian.AppendUint16(nil, uint16(len(wire))), wire...)
	}
	answer, err := exchange(ctx, network, addr, wire, id, q.Question)
	if err != nil {
		return resolve.Answer{Verdict: resolve.NoReply, Reason: err.Error()}
	}
	return answer
}

func exchange(ctx context.Context, network, addr string, wire []byte, id uint16, q resolve.Question) (resolve.Answer, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return resolve.Answer{}, err
	}
	defer c.Close()
	if deadline, ok := ctx.Deadline(); ok {
		c.SetDeadline(deadline)
	}
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })()
	if _, err := c.Write(wire); err != nil {
		return resolve.Answer{}, err
	}
	buffer := make([]byte, 1<<16)
	for {
		n, err := read(network, c, buffer)
		if err != nil {
			return resolve.Answer{}, fmt.Errorf("waiting for an answer: %w", err)
		}
		answer, err := resolve.ParseAnswer(buffer[:n], id, q)
		if errors.Is(err, resolve.ErrUnrelated) {
			continue
		}
		return answer, err
	}
}

func read(network string, c net.Conn, buffer []byte) (int, error) {
	if network == "udp" {
		return c.Read(buffer)
	}
	var head [2]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return 0, err
	}
	return io.ReadFull(c, buffer[:binary.BigEndian.Uint16(head[:])])
}
