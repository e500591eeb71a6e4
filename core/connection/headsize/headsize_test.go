package headsize_test

import (
	"strings"
	"testing"

	"carobline.dev/core/connection/headsize"
)

// Guards against heads that take far more than is charged once they are parsed, and against bodies and usual heads that
// are charged as heads.
func TestCharged(t *testing.T) {
	usual := "HTTP/1.1 200 OK\r\n" + strings.Repeat("Some-Header: some value of it\r\n", 15) + "\r\n"
	for name, test := range map[string]struct {
		reads         []string
		atLeast, most int
	}{
		"usual":                 {[]string{usual}, 0, 0},
		"usual with its body":   {[]string{usual + strings.Repeat("x\n", 100_000), strings.Repeat("x\n", 100_000)}, 0, 0},
		"one long line":         {[]string{"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 60_000)}, 60_000, 120_000},
		"many short lines":      {[]string{"HTTP/1.1 200 OK\r\n", strings.Repeat("1a:\r\n", 3200)}, 16_000 * 17, 16_000 * 75},
		"short lines in 4 KiB":  {[]string{strings.Repeat("1a:\r\n", 800)}, 4000 * 17, 4000 * 75},
		"the end in two pieces": {[]string{usual[:len(usual)-2], usual[len(usual)-2:] + "body"}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var size headsize.Size
			for _, read := range test.reads {
				size.Add([]byte(read))
			}
			if got := int(size.Charged()); got < test.atLeast || got > test.most {
				t.Errorf("%d bytes are charged, want %d to %d", got, test.atLeast, test.most)
			}
		})
	}
}
