package replay

import (
	"errors"
	"net/url"
	"strings"

	"ternbeam/internal/lab/standin"
)

// OldRefund is a refund in the old shape, with the texts that a client sends.
type OldRefund struct {
	Name         string  `json:"name"`
	Key          []byte  `json:"key64"` // the idempotency key
	Form         string  `json:"form"`
	Amount       string  `json:"amount"`
	Bought       string  `json:"bought"`
	Goods        string  `json:"goods"`
	First        string  `json:"first"`
	Last         string  `json:"last"`
	Memo         *string `json:"memo,omitempty"`
	Body         string  `json:"body,omitempty"` // HTTP body to use instead of a form built from the fields above
	Expected     string  `json:"fate"`           // expected outcome: served, or unfit, which is refused because the new shape cannot represent it
	OnlyProtocol string  `json:"only,omitempty"` // the only protocol that can carry it; empty for all
}

// HTTP encodes the refund as an HTTP request with the given correlation id.
func (o OldRefund) HTTP(id string) Exchange {
	body := o.Body
	if body == "" {
		pairs := []string{"amount=" + url.QueryEscape(o.Amount), "bought=" + url.QueryEscape(o.Bought), "goods=" + url.QueryEscape(o.Goods),
			"first=" + url.QueryEscape(o.First), "last=" + url.QueryEscape(o.Last)}
		if o.Memo != nil {
			pairs = append(pairs, "memo="+url.QueryEscape(*o.Memo))
		}
		body = strings.Join(pairs, "&")
	}
	return Exchange{Protocol: "http", Request: Message{Method: "POST", Target: "/refund-record/" + url.PathEscape(o.Form),
		Headers: [][2]string{{"X-Correlation-Id", id}, {"X-Service-Class", "refund-record"}, {"X-Account", standin.Tenants[0]},
			{"X-Time-Left", "5.000"}, {"Idempotency-Key", string(o.Key)}, {"X-Repeat", "1"},
			{"Content-Type", "application/x-www-form-urlencoded"}}, Body: []byte(body)}}
}

// Thrift encodes the refund as a Thrift call with the given correlation id, with the Apache library.
func (o OldRefund) Thrift(id string, compact bool) Exchange {
	args := map[int16]any{1: map[int16]any{1: id, 2: standin.Tenants[0], 3: o.Form, 4: string(o.Key), 5: int64(5000), 6: true},
		2: o.Amount, 3: o.Bought, 4: o.Goods, 5: o.First, 6: o.Last}
	if o.Memo != nil {
		args[7] = *o.Memo
	}
	return Exchange{Protocol: "thrift", Request: Message{Thrift: standin.EncodeThrift("refund", 7, args, compact)}}
}

// envelope returns the correlation id and idempotency key of a request. It reads Thrift with the Apache library.
func (e Exchange) envelope() (id, key string, err error) {
	if e.Protocol == "http" {
		for _, h := range e.Request.Headers {
			switch {
			case strings.EqualFold(h[0], "X-Correlation-Id"):
				id = h[1]
			case strings.EqualFold(h[0], "Idempotency-Key"):
				key = h[1]
			}
		}
	} else {
		var args map[int16]any
		if args, err = standin.DecodeThrift(e.Request.Thrift); err == nil {
			h, _ := args[1].(map[int16]any)
			id, _ = h[1].(string)
			key, _ = h[4].(string)
		}
	}
	if err == nil && id == "" {
		err = errors.New("the request has no correlation id")
	}
	return id, key, err
}
