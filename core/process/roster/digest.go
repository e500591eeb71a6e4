package roster

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"

	"carobline.dev/core/id"
)

const (
	// digestBuckets is the number of buckets that a Digest divides the hosts into.
	digestBuckets = 128
	// bucketBytes is the size of one bucket's sum.
	bucketBytes = 8
)

// Digest sums up the facts of all hosts that a roster relays, bucket by bucket. Two
// rosters with the same facts have equal digests, whatever their cursors.
type Digest []byte

func bucketOf(host id.Host) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(host))
	return int(hash.Sum32() % digestBuckets)
}

// hashFacts returns a hash of all of an announcement but the lease, the sequence, the
// load, the cached prefixes and the length of the cold time.
func hashFacts(announcement Announcement) uint64 {
	announcement.ColdRemainingMS = min(1, max(0, announcement.ColdRemainingMS))
	announcement.Sequence, announcement.LeaseMS, announcement.Load, announcement.Prefixes = 0, 0, Load{}, nil
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%+v", announcement)
	return hash.Sum64()
}

// Digest returns the digest of what a scope holds of the roster. Its time grows with the
// number of hosts.
func (roster *Roster) Digest(now time.Time, scope Scope) Digest {
	digest := make(Digest, digestBuckets*bucketBytes)
	for host, member := range roster.memberByHost {
		if scope.renews(member) && !member.relayable(now) {
			continue
		}
		sum := digest.bucket(bucketOf(host))
		binary.BigEndian.PutUint64(sum, binary.BigEndian.Uint64(sum)+member.hashIn(scope))
	}
	return digest
}

func (digest Digest) bucket(index int) []byte {
	return digest[index*bucketBytes : (index+1)*bucketBytes]
}

// Missing returns the announcements of the hosts within a scope in whose buckets a roster
// with this digest differs from this one, or of all hosts for a digest that isn't
// complete. Cold hosts are always among them, since a digest doesn't show for how long they
// are cold.
func (roster *Roster) Missing(now time.Time, other Digest, scope Scope) []RelayedAnnouncement {
	complete := len(other) == digestBuckets*bucketBytes
	own := Digest(nil)
	if complete {
		own = roster.Digest(now, scope)
	}
	return roster.relay(now, func(member *Member) bool {
		bucket := bucketOf(member.Announcement.Host)
		if member.cursorIn(scope) == 0 {
			return false
		}
		return !complete || member.Cold(now) || string(own.bucket(bucket)) != string(other.bucket(bucket))
	})
}
