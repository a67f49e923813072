package discovery

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"ternbeam/internal/clock"
)

const (
	maxListBytes = 8 << 20 // of one list: some 50,000 entries
	// progressBytes is the amount of data that counts as progress of a list: it resets the silence timer to listStallTimeout, so a list that takes
	// longer than that must arrive at 256 KiB/s or more. Once a list has stalled, and until one is accepted, the timer is reset to the silence
	// timeout of 3 s instead, which allows some 85 KiB/s. The timer is not reset during a full list that Events.Full requests: Events.Timeout
	// limits the answer and that list together.
	progressBytes = 256 << 10
	// listStallTimeout limits the time from the start of a list, or from its latest progress, to more progress or its end. If a service
	// stops in the middle of a list without closing, it is called again soon enough to learn what a silent watch missed. The next call may
	// take the full silenceTimeout, as the service may just be slow.
	listStallTimeout = time.Second
)

// Events are the callbacks and options of a watch. The callbacks run on the goroutine that watches.
type Events struct {
	Answered    func()     // the service has accepted the call
	Alive       func()     // data has been received
	Established func()     // data was received on the watch, or it was opened after a full list; called once; may be nil
	Unreachable func()     // no connection could be established, and the watch ends; may be nil
	Deliver     func(List) // delivers an accepted list

	Full    bool          // request the full list first
	Timeout time.Duration // limits the time to an answer, and that of the full list; 0 for the client's silence timeout
}

// call is one request for the list, and the watch after it.
type call struct {
	started time.Duration
	events  Events
}

// watch implements Watch. It always returns an error.
func (d *Client) watch(ctx context.Context, events Events) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := d.silenceTimeout
	if events.Timeout > 0 {
		limit = events.Timeout
	}
	silence := newSilenceTimer(limit, func(limit time.Duration) { cancel(silenceError(limit)) })
	defer silence.stop()
	c := &call{started: clock.Now(), events: events}
	answered := func() { silence.reset(d.silenceTimeout); events.Answered() }
	reportAlive := func(a activity) {
		if a != listStarted {
			events.Alive()
		}
	}
	alive := func(a activity) {
		if a == listStarted || a == listProgress {
			silence.reset(d.currentStallTimeout())
		} else {
			silence.reset(d.silenceTimeout)
		}
		reportAlive(a)
	}
	fullReceived := false
	if _, needed := d.version(); needed || events.Full {
		onAnswer, onData := answered, alive
		if events.Full {
			onAnswer, onData = events.Answered, reportAlive // the timer is not reset: its limit is for the answer and the full list together
		}
		if err := d.read(ctx, "", onAnswer, onData, func(l rawList) error {
			silence.reset(limit) // for the watch
			parsed := l.toList(!fullReceived)
			if !parsed.Full && !fullReceived {
				return d.acceptDrains(ctx, c, parsed)
			}
			fullReceived = true
			return d.accept(ctx, c, parsed)
		}); !errors.Is(err, io.EOF) {
			return err
		}
	}
	established := func() {}
	if events.Established != nil {
		established = sync.OnceFunc(events.Established)
	}
	version, _ := d.version()
	return d.read(ctx, fmt.Sprintf("?stream=1&index=%d", version), func() {
		answered()
		if fullReceived {
			established()
		}
	}, func(a activity) {
		alive(a)
		if a == emptyLine {
			d.freshness.confirm(clock.Now())
			established()
		}
	}, func(l rawList) error {
		err := d.accept(ctx, c, l.toList(false))
		if err == nil {
			established()
		}
		return err
	})
}

// currentStallTimeout returns how long the rest of a list may take.
func (d *Client) currentStallTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled {
		return d.silenceTimeout
	}
	return min(d.stallTimeout, d.silenceTimeout)
}

// rawList is a List as received: it may not say whether it is full.
type rawList struct {
	Version int64   `json:"version"`
	Full    *bool   `json:"full"`
	Servers []Entry `json:"servers"`
}

// toList returns the list as a List. If the list does not say whether it is full, expected decides.
func (l rawList) toList(expected bool) List {
	full := expected
	if l.Full != nil {
		full = *l.Full
	}
	return List{Version: l.Version, Full: full, Servers: l.Servers}
}

var (
	errStale   = errors.New("the list is older than one that another call has delivered since")
	errNotFull = errors.New("a change of the list in answer to a request for the full list")
)

// accept delivers a list if it passes the checks. A rejected list ends the watch: the next one starts from the last accepted list.
func (d *Client) accept(ctx context.Context, c *call, l List) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil { // another call has replaced it
		return context.Cause(ctx)
	}
	if by := d.lastDelivery.by; by != nil && by != c && c.started < d.lastDelivery.at && l.Version < d.checker.Version() {
		return errStale // the answer was late, which does not mean that discovery has restarted its versions
	}
	v := d.checker.Check(l.forCheck())
	if v.Reject {
		d.deliverDrains(c, l, v.Draining)
		return fmt.Errorf("a list that is not believed: %s", v.Reason)
	}
	if v.Reason != "" {
		d.log.Warn("an odd list", "reason", v.Reason)
	}
	for _, i := range v.Draining {
		l.Servers[i].State = terminating
	}
	kept, skip := l.Servers[:0], v.Skip
	for i, e := range l.Servers {
		if len(skip) > 0 && skip[0] == i {
			skip = skip[1:]
			continue
		}
		kept = append(kept, e)
	}
	l.Servers = kept
	d.lastEnd, d.stalled, d.drainsUnconfirmed = "", false, d.drainsUnconfirmed && !l.Full
	d.lastDelivery = delivery{c, clock.Now()}
	c.events.Deliver(l)
	d.freshness.confirm(clock.Now())
	return nil
}

// acceptDrains delivers the drains of a change received in place of the full list. For the rest, the full list is requested again.
func (d *Client) acceptDrains(ctx context.Context, c *call, l List) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	d.deliverDrains(c, l, d.checker.ApplyDrains(l.forCheck()))
	return errNotFull
}

// deliverDrains delivers the entries of a rejected list that make servers drain. Drains take effect at once; whether the rest is right
// is decided by the next full list.
func (d *Client) deliverDrains(c *call, l List, draining []int) {
	if len(draining) == 0 {
		return
	}
	drains := List{Version: d.checker.Version()}
	for _, i := range draining {
		e := l.Servers[i]
		e.State = terminating
		drains.Servers = append(drains.Servers, e)
	}
	d.drainsUnconfirmed = true
	c.events.Deliver(drains)
}

// activity is what was received on an answer.
type activity int

const (
	emptyLine    activity = iota // nothing has changed
	listStarted                  // the first bytes of a list were received
	listProgress                 // progressBytes of a list were received
	listComplete                 // a list was received completely
)

// read decodes the lists of one answer and passes them to take. It always returns an error.
func (d *Client) read(ctx context.Context, query string, answered func(), alive func(activity), take func(rawList) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	answered()
	// The decoder ignores empty lines, but they show that the watch is alive, and so does a complete list. The start of a list does not:
	// a list that arrives in drips may never be complete.
	var received, decoded, reported int64 // bytes received, bytes of complete lists, and bytes at the last report
	inList := false                       // in the middle of a list
	decoder := json.NewDecoder(readerFunc(func(p []byte) (int, error) {
		if received-decoded > maxListBytes {
			return 0, fmt.Errorf("a list of over %d bytes", maxListBytes)
		}
		n, err := resp.Body.Read(p)
		received += int64(n)
		empty := len(bytes.TrimSpace(p[:n])) == 0
		starts := !inList && !empty
		inList = inList || !empty
		switch {
		case starts:
			alive(listStarted)
		case !inList && bytes.IndexByte(p[:n], '\n') >= 0:
			reported = received
			alive(emptyLine)
		case received-reported >= progressBytes:
			reported = received
			alive(listProgress)
		}
		return n, err
	}))
	for {
		var l rawList
		if err := decoder.Decode(&l); err != nil {
			return cmp.Or(context.Cause(ctx), fmt.Errorf("reading the list, byte %d: %w", decoder.InputOffset(), err))
		}
		rest, err := io.ReadAll(decoder.Buffered())
		if err != nil {
			return err
		}
		decoded, inList, reported = decoder.InputOffset(), len(bytes.TrimSpace(rest)) > 0, received
		alive(listComplete)
		if err := take(l); err != nil {
			return err
		}
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

var _ io.Reader = readerFunc(nil)
