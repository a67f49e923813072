// Package stateconf reads the file that says where and how an agent persists what it has learned (see deploy/state.toml).
package stateconf

import (
	"path/filepath"
	"time"

	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/writepolicy"
	"ternbeam/internal/settings/conffile"
)

// Config is the content of such a file.
type Config struct {
	Folder            string
	LoadTimeout       time.Duration // the longest time that a start waits for the folder
	FinalWriteTimeout time.Duration // the longest time for the last write at shutdown
	MaxBytes          int64         // limit on the size of all files together
	WritePolicy       writepolicy.Settings
	Aging             aging.Settings
}

// Default returns the configuration with a folder and the defaults for all else.
func Default(folder string) Config {
	return Config{Folder: folder, LoadTimeout: 200 * time.Millisecond, FinalWriteTimeout: 300 * time.Millisecond, MaxBytes: 64 << 20,
		WritePolicy: writepolicy.Defaults, Aging: aging.Defaults}
}

// file is the layout of the file. A key that is absent has its default. Parse maps the keys to the fields of writepolicy.Settings and
// aging.Settings, which have other names.
type file struct {
	Folder  string   `toml:"folder"`
	LoadMS  *float64 `toml:"load_ms"`
	MostMiB *float64 `toml:"most_mib"`
	Write   struct {
		LookMS     *float64 `toml:"look_ms"`
		LeastS     *float64 `toml:"least_s"`
		MostS      *float64 `toml:"most_s"`
		Enough     *float64 `toml:"enough"`
		Busy       *float64 `toml:"busy"`
		KiBAMinute *float64 `toml:"kib_a_minute"`
		Change     *float64 `toml:"change"`
		StaleS     *float64 `toml:"stale_s"`
		EndMS      *float64 `toml:"end_ms"`
	} `toml:"write"`
	HalfLife struct {
		CapacityS *float64 `toml:"capacity_s"`
		FailingS  *float64 `toml:"failing_s"`
		EjectionS *float64 `toml:"ejection_s"`
		TimesS    *float64 `toml:"times_s"`
		TrafficS  *float64 `toml:"traffic_s"`
		ColdS     *float64 `toml:"cold_s"`
		AddressS  *float64 `toml:"address_s"`
	} `toml:"half_life"`
	Bounds struct {
		Bend    *float64 `toml:"bend"`
		ForgetH *float64 `toml:"forget_h"`
	} `toml:"bounds"`
}

// Parse parses such a file. The error joins all problems, each with its line and key.
func Parse(text []byte) (Config, error) {
	var f file
	src := conffile.Read(text, &f)
	c := Default(f.Folder)
	if !filepath.IsAbs(f.Folder) {
		src.Problem("folder", "must be the full path of a folder")
	}
	const year = 31_536_000
	src.Duration("load_ms", f.LoadMS, time.Millisecond, 0, 5000, &c.LoadTimeout)
	src.Number("most_mib", f.MostMiB, 1, 1024, func(x float64) { c.MaxBytes = int64(x * (1 << 20)) })
	policy, w := &c.WritePolicy, &f.Write
	src.Duration("write.look_ms", w.LookMS, time.Millisecond, 20, 60_000, &policy.CheckInterval)
	src.Duration("write.least_s", w.LeastS, time.Second, 0.02, 3600, &policy.MinInterval)
	src.Duration("write.most_s", w.MostS, time.Second, 0.02, 86_400, &policy.MaxInterval)
	if policy.MaxInterval < policy.MinInterval {
		src.Problem("write.most_s", "must not be below least_s")
	}
	src.Float("write.enough", w.Enough, 0, 1000, &policy.UpdateShare)
	src.Number("write.busy", w.Busy, 0.01, 1, func(x float64) { policy.BusyLoad = x })
	src.Number("write.kib_a_minute", w.KiBAMinute, 1, 1<<20, func(x float64) { policy.BytesPerMinute = x * (1 << 10) })
	src.Float("write.change", w.Change, 0, 1000, &policy.MinDistance)
	src.Duration("write.stale_s", w.StaleS, time.Second, 1, 86_400, &policy.StaleAfter)
	src.Duration("write.end_ms", w.EndMS, time.Millisecond, 0, 10_000, &c.FinalWriteTimeout)
	a, h := &c.Aging, &f.HalfLife
	src.Duration("half_life.capacity_s", h.CapacityS, time.Second, 1, year, &a.Capacity)
	src.Duration("half_life.failing_s", h.FailingS, time.Second, 1, year, &a.Failing)
	src.Duration("half_life.ejection_s", h.EjectionS, time.Second, 1, year, &a.Ejection)
	src.Duration("half_life.times_s", h.TimesS, time.Second, 1, year, &a.Latency)
	src.Duration("half_life.traffic_s", h.TrafficS, time.Second, 1, year, &a.Traffic)
	src.Duration("half_life.cold_s", h.ColdS, time.Second, 1, year, &a.ColdFailures)
	src.Duration("half_life.address_s", h.AddressS, time.Second, 1, year, &a.Address)
	src.Float("bounds.bend", f.Bounds.Bend, 1, 16, &a.ClampFactor)
	src.Duration("bounds.forget_h", f.Bounds.ForgetH, time.Hour, 0.001, 8760, &a.MaxAge)
	return c, src.Err()
}
