package translate

import (
	"encoding/json"
	"testing"
)

// BenchmarkRequest measures a translation from a form to JSON and from JSON to a form, and for comparison a round trip of the
// same JSON through encoding/json with a struct and with maps.
func BenchmarkRequest(b *testing.B) {
	set := sample(b)
	p, back := set.Plan("refund-record-1", "refund-record-2"), set.Plan("refund-record-2", "refund-record-1")
	old := oldRequest(oldBody)
	translated, err := p.Request(old, options)
	if err != nil {
		b.Fatal(err)
	}
	run := func(name string, once func() error) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := once(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	run("form-to-json", func() error { _, err := p.Request(old, options); return err })
	run("json-to-form", func() error { _, err := back.Request(translated, options); return err })
	run("encoding-json-struct", func() error {
		var into struct {
			Amount struct {
				Currency string `json:"currency"`
				Pence    int64  `json:"pence"`
			} `json:"amount"`
			Bought string `json:"bought"`
			Form   struct {
				ID string `json:"id"`
			} `json:"form"`
			Goods     string `json:"goods"`
			Memo      string `json:"memo"`
			Traveller string `json:"traveller"`
		}
		if err := json.Unmarshal(translated.Body, &into); err != nil {
			return err
		}
		_, err := json.Marshal(&into)
		return err
	})
	run("encoding-json-map", func() error {
		var into map[string]any
		if err := json.Unmarshal(translated.Body, &into); err != nil {
			return err
		}
		_, err := json.Marshal(into)
		return err
	})
}
