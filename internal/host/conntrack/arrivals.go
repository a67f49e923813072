package conntrack

import "time"

// arrivalLog records when the bytes of a connection arrived, as far as that is known: each entry holds the earliest time at which the bytes
// of one or more reads may have arrived. The kernel tells the time of the latest data only, which is too late for a request that has others
// behind it. It is not safe for concurrent use.
type arrivalLog struct {
	entries []arrival // by position
}

// arrival is an entry of an arrivalLog.
type arrival struct {
	end      int64     // the entry is about the bytes before this position that no earlier entry is about
	earliest time.Time // when they may have arrived; zero if unknown
}

// maxArrivals limits the entries of a connection. A client that sends more reads than that ahead is taken to have sent the oldest ones at
// the time of the earliest.
const maxArrivals = 64

// record records that the bytes up to the position end were read, which arrived at the given time or later.
func (l *arrivalLog) record(end int64, earliest time.Time) {
	if last := len(l.entries) - 1; last >= 0 && l.entries[last].earliest.Equal(earliest) {
		l.entries[last].end = end
		return
	}
	if len(l.entries) == maxArrivals {
		l.entries[1].earliest = l.entries[0].earliest
		l.entries = append(l.entries[:0], l.entries[1:]...)
	}
	l.entries = append(l.entries, arrival{end, earliest})
}

// earliest returns when the byte before a position may have arrived, or the zero time if that is unknown. It drops the entries about
// earlier bytes.
func (l *arrivalLog) earliest(position int64) time.Time {
	for i, a := range l.entries {
		if a.end >= position {
			l.entries = append(l.entries[:0], l.entries[i:]...)
			return a.earliest
		}
	}
	return time.Time{}
}
