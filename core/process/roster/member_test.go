package roster_test

import (
	"testing"
	"time"

	"carobline.dev/core/process/roster"
)

// Guards against an announcement that counts as sent when it was received, however late that was.
func TestAnnouncementWasSentAfterTheOneBeforeWasReceived(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		receipts []receipt
		// want is counted from the start, negative for none.
		want time.Duration
	}{
		"the first one":                          {[]receipt{{second, newAnnouncement(1, 1, false)}}, -1},
		"the second one":                         {[]receipt{{second, newAnnouncement(1, 1, false)}, {3 * second, newAnnouncement(1, 2, false)}}, second},
		"an older one arrives later":             {[]receipt{{second, newAnnouncement(1, 1, false)}, {2 * second, newAnnouncement(1, 3, false)}, {3 * second, newAnnouncement(1, 2, false)}}, second},
		"a repeated one":                         {[]receipt{{second, newAnnouncement(1, 1, false)}, {2 * second, newAnnouncement(1, 1, false)}}, -1},
		"a departure of an earlier sequence":     {[]receipt{{second, newAnnouncement(1, 1, false)}, {2 * second, newAnnouncement(1, 3, false)}, {3 * second, newAnnouncement(1, 2, true)}}, second},
		"the first one of the next incarnation":  {[]receipt{{second, newAnnouncement(1, 1, false)}, {2 * second, newAnnouncement(2, 1, false)}}, -1},
		"the second one of the next incarnation": {[]receipt{{second, newAnnouncement(1, 1, false)}, {2 * second, newAnnouncement(2, 1, false)}, {3 * second, newAnnouncement(2, 2, false)}}, 2 * second},
	} {
		t.Run(name, func(t *testing.T) {
			hosts := roster.New()
			for _, receipt := range test.receipts {
				now := start.Add(receipt.after)
				receipt.announcement.LeaseMS = lease.Milliseconds()
				hosts.Merge(now, receipt.announcement, now.Add(lease))
			}
			known, _ := hosts.Member("h")
			want := time.Time{}
			if test.want >= 0 {
				want = start.Add(test.want)
			}
			if got := known.SentAfter(); !got.Equal(want) {
				t.Errorf("sent after %v, want %v", got, want)
			}
		})
	}
}
