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
	mostBytes = 8 << 20 // of one list: some 50,000 entries
	// pace is how much of a list shows that it goes on: one that takes longer than a watch may be silent comes at some 57 KB/s.
	pace = 256 << 10
	// listStall is how long after a list has begun, or after pace of it, the rest may take. A service that breaks off without a word is asked
	// again in time for what a silent watch missed; the next call has all the time that a watch may be silent, as the service may be slow.
	listStall = time.Second
)

// Events are told while a watch lasts, by the goroutine that watches.
type Events struct {
	Answered    func()     // the call was taken
	Alive       func()     // something has come
	Established func()     // something has come on the watch, or it was opened behind a whole list; told once, not at all where nil
	Deliver     func(List) // a list that is believed

	Whole  bool          // the whole list is asked for first
	Within time.Duration // in which a call is to be answered, and the whole list to come; 0 for what a watch may be silent
}

// call is one call for the list, and the watch behind it.
type call struct {
	begun time.Duration
	on    Events
}

// watch is Watch; it always ends with an error.
func (d *Client) watch(ctx context.Context, on Events) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := d.silence
	if on.Within > 0 {
		limit = on.Within
	}
	silence := newSilenceTimer(limit, func(most time.Duration) { cancel(silenceError(most)) })
	defer silence.stop()
	c := &call{begun: clock.Now(), on: on}
	answered := func() { silence.reset(d.silence); on.Answered() }
	tellAlive := func(of sign) {
		if of != listBegun {
			on.Alive()
		}
	}
	alive := func(of sign) {
		if of == listBegun || of == partOfList {
			silence.reset(d.stallNow())
		} else {
			silence.reset(d.silence)
		}
		tellAlive(of)
	}
	wholeCame := false
	if _, needed := d.version(); needed || on.Whole {
		came, comes := answered, alive
		if on.Whole {
			came, comes = on.Answered, tellAlive // the whole list has as long as the call
		}
		if err := d.read(ctx, "", came, comes, func(l list) error {
			silence.reset(limit) // for the watch
			whole := l.whole(!wholeCame)
			if !whole.Full && !wholeCame {
				return d.takeDrains(ctx, c, whole)
			}
			wholeCame = true
			return d.take(ctx, c, whole)
		}); !errors.Is(err, io.EOF) {
			return err
		}
	}
	established := func() {}
	if on.Established != nil {
		established = sync.OnceFunc(on.Established)
	}
	version, _ := d.version()
	return d.read(ctx, fmt.Sprintf("?stream=1&index=%d", version), func() {
		answered()
		if wholeCame {
			established()
		}
	}, func(of sign) {
		alive(of)
		if of == emptyLine {
			established()
		}
	}, func(l list) error {
		err := d.take(ctx, c, l.whole(false))
		if err == nil {
			established()
		}
		return err
	})
}

// stallNow is how long the rest of a list may take.
func (d *Client) stallNow() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled {
		return d.silence
	}
	return min(d.stall, d.silence)
}

// list is a List as it comes: it may not say whether it is whole.
type list struct {
	Version int64   `json:"version"`
	Full    *bool   `json:"full"`
	Servers []Entry `json:"servers"`
}

// whole returns it as a List, which is whole as it says, or as is expected where it does not say.
func (l list) whole(expected bool) List {
	full := expected
	if l.Full != nil {
		full = *l.Full
	}
	return List{Version: l.Version, Full: full, Servers: l.Servers}
}

var (
	errStale       = errors.New("a list that is older than what another call has brought since")
	errNoWholeList = errors.New("a change of the list where the whole list was asked for")
)

// take delivers what is believed of a list. One that is not ends the watch: the next begins from the last good one.
func (d *Client) take(ctx context.Context, c *call, l List) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil { // another call has taken its place
		return context.Cause(ctx)
	}
	if by := d.latest.by; by != nil && by != c && c.begun < d.latest.at && l.Version < d.lists.Version() {
		return errStale // the answer was late: that is no sign that discovery counts anew
	}
	v := d.lists.Judge(l.judged())
	if v.Hold {
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
	d.said, d.stalled, d.doubt = "", false, d.doubt && !l.Full
	d.latest = delivery{c, clock.Now()}
	c.on.Deliver(l)
	return nil
}

// takeDrains takes a change that came in place of the whole list. Its drains count; for the rest the whole list is asked for again.
func (d *Client) takeDrains(ctx context.Context, c *call, l List) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	d.deliverDrains(c, l, d.lists.Drains(l.judged()))
	return errNoWholeList
}

// deliverDrains delivers the entries of a list that is not believed by which servers drain. They bind at once; whether the rest is right
// the whole list says.
func (d *Client) deliverDrains(c *call, l List, draining []int) {
	if len(draining) == 0 {
		return
	}
	drains := List{Version: d.lists.Version()}
	for _, i := range draining {
		e := l.Servers[i]
		e.State = terminating
		drains.Servers = append(drains.Servers, e)
	}
	d.doubt = true
	c.on.Deliver(drains)
}

// sign is a sign of life of an answer.
type sign int

const (
	emptyLine  sign = iota // nothing has changed
	listBegun              // the first bytes of a list have come
	partOfList             // a good deal of a list has come
	wholeList              // a list has come whole
)

// read takes the lists of one answer until it ends; it always ends with an error.
func (d *Client) read(ctx context.Context, query string, answered func(), alive func(sign), take func(list) error) error {
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
	// Empty lines mean nothing to the decoder; they show that the watch is alive, and so does a list that is whole. One that
	// has begun does not: what comes of it in drips may never be one.
	var got, done, shown int64 // bytes that came, those of whole lists, and those when something was last shown
	within := false            // a list
	lines := json.NewDecoder(readerFunc(func(p []byte) (int, error) {
		if got-done > mostBytes {
			return 0, fmt.Errorf("a list of over %d bytes", mostBytes)
		}
		n, err := resp.Body.Read(p)
		got += int64(n)
		empty := len(bytes.TrimSpace(p[:n])) == 0
		begins := !within && !empty
		within = within || !empty
		switch {
		case begins:
			alive(listBegun)
		case !within && bytes.IndexByte(p[:n], '\n') >= 0:
			shown = got
			alive(emptyLine)
		case got-shown >= pace:
			shown = got
			alive(partOfList)
		}
		return n, err
	}))
	for {
		var l list
		if err := lines.Decode(&l); err != nil {
			return cmp.Or(context.Cause(ctx), fmt.Errorf("reading the list, byte %d: %w", lines.InputOffset(), err))
		}
		rest, err := io.ReadAll(lines.Buffered())
		if err != nil {
			return err
		}
		done, within, shown = lines.InputOffset(), len(bytes.TrimSpace(rest)) > 0, got
		alive(wholeList)
		if err := take(l); err != nil {
			return err
		}
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

var _ io.Reader = readerFunc(nil)
