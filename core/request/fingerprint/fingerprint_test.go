package fingerprint_test

import (
	"bytes"
	"testing"

	"carobline.dev/core/id"
	"carobline.dev/core/request/fingerprint"
	"carobline.dev/core/request/prompt"
)

// Guards against two requests that count as one, and one request that counts as two.
func TestEachRequestHasANameOfItsOwn(t *testing.T) {
	fields := func(texts ...string) [][]byte {
		var list [][]byte
		for _, text := range texts {
			list = append(list, []byte(text))
		}
		return list
	}
	seen := map[id.PromptPart]int{}
	for number, request := range []struct {
		account id.ClientAccount
		fields  [][]byte
	}{
		{"a", fields("POST", "/x", "m", "body")},
		{"b", fields("POST", "/x", "m", "body")},
		{"", fields("POST", "/x", "m", "body")},
		{"a", fields("GET", "/x", "m", "body")},
		{"a", fields("POST", "/x?q", "m", "body")},
		{"a", fields("POST", "/x", "", "mbody")},
		{"a", fields("POST", "/xm", "", "body")},
		{"a", fields("POST", "/x", "m", "")},
		{"a", fields("POST", "/x", "m")},
		{"aP", fields("OST", "/x", "m", "body")},
	} {
		part := fingerprint.Of(request.account, request.fields...)
		if other, known := seen[part]; known {
			t.Errorf("requests %d and %d have the same name", other, number)
		}
		seen[part] = number
		if part != fingerprint.Of(request.account, request.fields...) || !fingerprint.Is(part) {
			t.Errorf("request %d: %q isn't its name alone", number, part)
		}
	}
}

// Guards against a caller that names a request as a part of its prompt, and so clears or blocks it.
func TestNoPartOfAPromptIsNamedLikeARequest(t *testing.T) {
	name := string(fingerprint.Of("a", []byte("x")))
	for _, list := range []string{name + ":1,own:1", name + ",own", " " + name + " :1,own"} {
		for _, part := range prompt.Shared([]string{list}) {
			if fingerprint.Is(part) {
				t.Errorf("%q names the request %s", list, part)
			}
		}
	}
}

func BenchmarkOf(b *testing.B) {
	body := bytes.Repeat([]byte("b"), 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		fingerprint.Of("account", []byte("POST"), []byte("/a/b"), []byte("model"), []byte("a:40,b:400"), body)
	}
}
