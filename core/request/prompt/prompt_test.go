package prompt_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/core/id"
	"carobline.dev/core/request/prompt"
)

// Guards against a part that counts under two names, a last part that counts as shared, and
// lists of any length that are kept whole.
func TestSharedPartsAreAllButTheLast(t *testing.T) {
	long := strings.Repeat("a", 4000)
	for name, test := range map[string]struct {
		lines []string
		want  []id.PromptPart
	}{
		"none":                 {nil, nil},
		"empty":                {[]string{""}, nil},
		"only the last":        {[]string{"5c1e07a2:800"}, nil},
		"two":                  {[]string{"5c1e07a2:800,91bd3f06:410"}, []id.PromptPart{"5c1e07a2"}},
		"case and spaces":      {[]string{" 5C1E07a2:800 , 91bd3f06:410, e4402b7d:250"}, []id.PromptPart{"5c1e07a2", "91bd3f06"}},
		"twice":                {[]string{"aa:1,AA:2,bb:3,cc:4"}, []id.PromptPart{"aa", "bb"}},
		"without tokens":       {[]string{"aa,bb:3,cc"}, []id.PromptPart{"aa", "bb"}},
		"empty entries":        {[]string{",,aa:1,:7,bb:2"}, []id.PromptPart{"aa"}},
		"two lines":            {[]string{"aa:1,bb:2", "cc:3"}, []id.PromptPart{"aa", "bb"}},
		"long name":            {[]string{long + ":1,bb:2"}, []id.PromptPart{"sha256-82396ec9191a22922e88923e"}},
		"long name, upper":     {[]string{strings.ToUpper(long) + ":1,bb:2"}, []id.PromptPart{"sha256-82396ec9191a22922e88923e"}},
		"a name of 32 is kept": {[]string{long[:32] + ":1,bb:2"}, []id.PromptPart{id.PromptPart(long[:32])}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, prompt.Shared(test.lines)); diff != "" {
				t.Error(diff)
			}
		})
	}
	var many []string
	for number := range 5000 {
		many = append(many, fmt.Sprintf("%x:1", number))
	}
	const bound = 4096
	if got := len(prompt.Shared([]string{strings.Join(many, ",")})); got != bound {
		t.Errorf("%d parts are kept of one prompt, want %d", got, bound)
	}
}

// Guards against messages that differ in white space alone and count as two parts, and against
// a last message, which is the request's own, that counts.
func TestMessagesButTheLastAreShared(t *testing.T) {
	system, question := `{"role":"system","content":"be brief"}`, `{"role":"user","content":"why?"}`
	one := prompt.Messages([]byte("[" + system + "," + question + "]"))
	other := prompt.Messages([]byte("[ {\"role\": \"system\",\n\"content\":\"be brief\"}, " + system + "," + question + ", " + question + "]"))
	if len(one) != 1 || len(other) != 2 || one[0] != other[0] {
		t.Errorf("shared parts are %v and %v; want one, and the same with one more", one, other)
	}
	for _, list := range []string{"", "[]", "[" + question + "]", "{}", `"text"`} {
		if got := prompt.Messages([]byte(list)); got != nil {
			t.Errorf("shared parts of %s are %v, want none", list, got)
		}
	}
}
