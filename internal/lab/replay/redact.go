package replay

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"

	"github.com/go-json-experiment/json/jsontext"

	"ternbeam/internal/thrift/thriftwire"
)

// Redactor replaces the values of fields with given names. Each value becomes a text of the same length, an HMAC of the value
// with a random key of this Redactor: equal values stay equal within a recording, but cannot be recovered.
type Redactor struct {
	names  []string
	plan   *thriftwire.Plan // for the names that are paths of Thrift field ids
	paths  int              // number of paths in plan
	secret [32]byte
}

// maxDepth limits the nesting of values in Thrift messages.
const maxDepth = 64

// NewRedactor returns a Redactor for the given names: names of headers, of query and form fields and of JSON members, "path"
// for the last segment of the path, and paths of Thrift field ids such as 1.4.
func NewRedactor(names []string) (*Redactor, error) {
	r := &Redactor{}
	var paths []string
	for _, name := range names {
		switch {
		case name == "":
			return nil, errors.New("redact: a name is empty")
		case strings.Trim(name, "0123456789.") == "":
			paths = append(paths, name)
		default:
			r.names = append(r.names, name)
		}
	}
	var err error
	if r.plan, err = thriftwire.NewPlan(maxDepth, paths...); err != nil {
		return nil, fmt.Errorf("redact: %w", err)
	}
	r.paths = len(paths)
	_, err = rand.Read(r.secret[:])
	return r, err
}

// Exchange redacts an exchange in place. It returns an error if the exchange cannot be parsed completely, as its content is
// then unknown; such an exchange must not be recorded.
func (r *Redactor) Exchange(e *Exchange) error {
	for _, m := range []*Message{&e.Request, &e.Answer} {
		if err := r.redactMessage(m); err != nil {
			return err
		}
	}
	return nil
}

func (r *Redactor) redactMessage(m *Message) (err error) {
	if m.Thrift != nil {
		m.Thrift, err = r.redactThrift(m.Thrift)
		return err
	}
	if path, query, has := strings.Cut(m.Target, "?"); m.Target != "" {
		if at := strings.LastIndexByte(path, '/'); r.redacts("path") && at >= 0 {
			last, err := url.PathUnescape(path[at+1:])
			if err != nil {
				return err
			}
			path = path[:at+1] + r.replacement(last)
		}
		if m.Target = path; has {
			if query, err = r.redactPairs(query); err != nil {
				return err
			}
			m.Target += "?" + query
		}
	}
	kind := ""
	for i, h := range m.Headers {
		if strings.EqualFold(h[0], "Content-Type") {
			kind, _, _ = strings.Cut(h[1], ";")
		}
		if r.redacts(h[0]) {
			m.Headers[i][1] = r.replacement(h[1])
		}
	}
	switch trimmed := bytes.TrimSpace(m.Body); {
	case len(trimmed) == 0:
	case strings.TrimSpace(kind) == "application/json" || trimmed[0] == '{' || trimmed[0] == '[':
		m.Body, err = r.redactJSON(m.Body)
	case strings.TrimSpace(kind) == "application/x-www-form-urlencoded":
		var text string
		text, err = r.redactPairs(string(m.Body))
		m.Body = []byte(text)
	case len(r.names) > 0:
		return fmt.Errorf("a body of type %q cannot be redacted", kind)
	}
	return err
}

func (r *Redactor) redacts(name string) bool {
	return slices.ContainsFunc(r.names, func(n string) bool { return strings.EqualFold(n, name) })
}

// replacement returns the replacement of a value, a text of the same length.
func (r *Redactor) replacement(text string) string {
	mac := hmac.New(sha256.New, r.secret[:])
	mac.Write([]byte(text))
	sum := hex.EncodeToString(mac.Sum(nil))
	return strings.Repeat(sum, len(text)/len(sum)+1)[:len(text)]
}

// redactPairs redacts a query or a form.
func (r *Redactor) redactPairs(text string) (string, error) {
	parts := strings.Split(text, "&")
	for i, part := range parts {
		raw, value, has := strings.Cut(part, "=")
		name, err := url.QueryUnescape(raw)
		if err != nil {
			return "", err
		}
		if !has || !r.redacts(name) {
			continue
		}
		if value, err = url.QueryUnescape(value); err != nil {
			return "", err
		}
		parts[i] = raw + "=" + r.replacement(value)
	}
	return strings.Join(parts, "&"), nil
}

// redactJSON redacts members at any depth: strings become strings, all other values null.
func (r *Redactor) redactJSON(body []byte) ([]byte, error) {
	var out bytes.Buffer
	in, to := jsontext.NewDecoder(bytes.NewReader(body)), jsontext.NewEncoder(&out, jsontext.Multiline(false))
	for {
		token, err := in.ReadToken()
		if errors.Is(err, io.EOF) {
			return bytes.TrimRight(out.Bytes(), "\n"), nil
		}
		if err != nil {
			return nil, err
		}
		name := ""
		if kind, n := in.StackIndex(in.StackDepth()); kind == '{' && n%2 == 1 && token.Kind() == '"' {
			name = token.String()
		}
		if err := to.WriteToken(token); err != nil {
			return nil, err
		}
		if name == "" || !r.redacts(name) {
			continue
		}
		hidden := jsontext.Null
		if in.PeekKind() == '"' {
			if token, err = in.ReadToken(); err != nil {
				return nil, err
			}
			hidden = jsontext.String(r.replacement(token.String()))
		} else if err := in.SkipValue(); err != nil {
			return nil, err
		}
		if err := to.WriteToken(hidden); err != nil {
			return nil, err
		}
	}
}

// redactThrift redacts strings in a message. Their lengths stay the same, so that the rest of the message does not change.
func (r *Redactor) redactThrift(m []byte) ([]byte, error) {
	h, err := thriftwire.ReadHead(m)
	if err != nil {
		return nil, err
	}
	found := make([]thriftwire.Field, r.paths)
	if err := r.plan.Scan(h, m, found); err != nil {
		return nil, err
	}
	m = bytes.Clone(m)
	for _, f := range found {
		if f.Type == thriftwire.String {
			copy(m[f.Start:f.End], r.replacement(string(f.Bytes(m))))
		}
	}
	return m, nil
}
