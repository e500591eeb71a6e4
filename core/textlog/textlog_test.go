package textlog_test

import (
	"strings"
	"sync"
	"testing"

	"carobline.dev/core/textlog"
)

// Guards against lines that are lost or mixed where several goroutines write and one reads.
func TestLinesStayWhole(t *testing.T) {
	const writers, lines = 8, 200
	var log textlog.Log
	var writing sync.WaitGroup
	for range writers {
		writing.Go(func() {
			for range lines {
				if count, err := log.Write([]byte("one line\n")); count != len("one line\n") || err != nil {
					t.Errorf("%d bytes, %v", count, err)
				}
				_ = log.String()
			}
		})
	}
	writing.Wait()
	if want := strings.Repeat("one line\n", writers*lines); log.String() != want {
		t.Errorf("%d bytes, want %d of whole lines", len(log.String()), len(want))
	}
}
