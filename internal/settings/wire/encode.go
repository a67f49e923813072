package wire

import (
	"encoding/json"
	"strconv"

	"ternbeam/choice"
)

// AppendAction appends the line for an action of an instance.
func AppendAction(out []byte, instance string, a choice.Action) []byte {
	switch a.Kind {
	case choice.Send:
		out = appendRequest(out, "Send", instance, a)
		out = appendString(out, `,"Backend":`, a.Server)
		if a.After > 0 {
			out = appendUint(out, `,"TryForNs":`, uint64(a.After))
		}
	case choice.Cancel:
		out = appendRequest(out, "Cancel", instance, a)
		out = appendUint(out, `,"RoundNo":`, uint64(a.Attempt))
	case choice.Refuse:
		out = appendRequest(out, "Shed", instance, a)
		if a.After > 0 {
			out = appendUint(out, `,"ComeBackNs":`, uint64(a.After))
		}
	case choice.Fail:
		out = appendRequest(out, "FinishError", instance, a)
	case choice.SetTimer:
		out = appendUint(appendHeader(out, "Schedule", instance), `,"Handle":`, a.Token)
		out = appendUint(out, `,"FromNowNs":`, uint64(max(a.After, 0)))
	case choice.Probe:
		out = appendString(appendHeader(out, "Poll", instance), `,"Backend":`, a.Server)
	}
	return append(out, "}\n"...)
}

// AppendListen appends the line with which an instance subscribes to the list of servers.
func AppendListen(out []byte, instance string) []byte {
	return append(appendHeader(out, "Listen", instance), `,"On":true}`+"\n"...)
}

// AppendYield appends the line that ends a reply.
func AppendYield(out []byte) []byte { return append(out, `{"type":"Yield"}`+"\n"...) }

func appendHeader(out []byte, kind, instance string) []byte {
	out = append(out, `{"type":"`...)
	out = append(out, kind...)
	return appendString(out, `","I":`, instance)
}

func appendRequest(out []byte, kind, instance string, a choice.Action) []byte {
	return appendString(appendHeader(out, kind, instance), `,"Tid":`, a.Request)
}

func appendUint(out []byte, key string, n uint64) []byte {
	return strconv.AppendUint(append(out, key...), n, 10)
}

// appendString appends a key and a string. Ids are printable ASCII and need no escaping; any other string is quoted by
// encoding/json.
func appendString(out []byte, key, s string) []byte {
	out = append(out, key...)
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // a string always marshals
			return append(out, quoted...)
		}
	}
	out = append(out, '"')
	out = append(out, s...)
	return append(out, '"')
}
