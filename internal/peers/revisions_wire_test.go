package peers

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// sent returns the bytes that all have sent.
func (n *network) sent() (bytes uint64) {
	for _, node := range n.nodes {
		bytes += node.Counts.SentBytes
	}
	return bytes
}

// Guards programs that do not watch: not one more byte is sent, and what they sent before is the same to the bit. The sums are
// those of the program before there were revisions.
func TestWithoutAWatchNothingIsTold(t *testing.T) {
	workers := ids(6)
	n := newNetwork(3, workers, 1)
	sum := fnv.New64a()
	letters := 0
	post := func(from int) func(int, []byte) {
		deliver := n.sendFrom(from)
		return func(to int, data []byte) {
			letters++
			_, _ = sum.Write(fmt.Appendf(nil, "%d %d %x\n", from, to, data))
			deliver(to, data)
		}
	}
	for step := range 400 {
		n.now += 10 * ms
		for len(n.inFlight) > 0 {
			l := n.inFlight[0]
			n.inFlight = n.inFlight[1:]
			if err := n.nodes[l.to].Receive(n.now, l.from, l.data); err != nil {
				t.Fatal(err)
			}
		}
		m := step % 3
		n.nodes[m].SetLoad(n.now, workers[step%5], Load{step % 7, step % 2}, step%11 == 0)
		n.nodes[m].Tick(n.now)
		if m == 1 {
			n.nodes[m].SetRevision(n.now, Revision{uint32(step), 5})
		}
		n.nodes[m].Flush(n.now, post(m))
	}
	if letters != 796 || sum.Sum64() != 0x1922770f9ac77c26 {
		t.Errorf("%d datagrams of sum %#x", letters, sum.Sum64())
	}
	s := n.nodes[1].Status(n.now)
	if s.Members[1].Digest == "" || s.Members[0].Digest != "" {
		t.Errorf("without a watch one knows its own configuration and no other's, not %+v", s.Members)
	}
}

// Guards the kinds of datagrams that there were before: of the same bytes as ever.
func TestTheOldKindsAreAsTheyWere(t *testing.T) {
	n := New(options(0, 3))
	n.detector = newFailureDetector(Options{Self: 0, Members: 3, Generation: 1, DetectorRand: rand.New(rand.NewPCG(1, 1))})
	n.detector.messages = []message{{to: 1, kind: kindPing, subject: 1}, {to: 2, kind: kindPingRequest, target: 0, subject: 2},
		{to: 1, kind: kindAck, subject: 1, fullState: true}, {to: 1, kind: kindIndirectAck, subject: 0}}
	var got []string
	n.sendDetectorMessages(func(to int, data []byte) { got = append(got, fmt.Sprintf("%d %x", to, data)) })
	want := []string{"1 12000100010040000001007bc2d1", "2 14000100010000004000000100ec3d9e", "1 13000100020040000001008a32aa",
		"1 150001000300400000010040000001008d3505"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q\nwant %q", got, want)
	}
}

// revisionDatagrams returns a datagram of each kind of the revision table.
func revisionDatagrams(t testing.TB) (entries, digests []byte) {
	t.Helper()
	a := New(Options{Self: 0, Members: 40, Site: 7, Generation: 1, DetectorRand: rand.New(rand.NewPCG(1, 1)), Revision: Revision{41, 0xa1}})
	a.observeAlive(0, 1, 1, 0, true)
	for m := range 30 {
		a.detector.views[m+2].claim = claim{uint16(m + 2), Alive, 3, 0}
		a.revisionTable.entries[m+2] = revisionEntry{generation: 3, serial: 9, Revision: Revision{41, 0xa1}, known: true}
	}
	a.revisionTable.bucketReplies = []bucketReply{{1, 0}}
	a.revisionTable.digestMessages = []digestMessage{{to: 1}}
	a.sendRevisionMessages(func(_ int, data []byte) {
		if kind(data[0]&15) == kindEntries && entries == nil {
			entries = bytes.Clone(data)
		} else if kind(data[0]&15) == kindDigests {
			digests = bytes.Clone(data)
		}
	})
	if entries == nil || digests == nil {
		t.Fatal("a member does not send both kinds")
	}
	return entries, digests
}

// newReceiver returns a member that accepts those.
func newReceiver() *Node {
	b := New(Options{Self: 1, Members: 40, Site: 7, Generation: 1, DetectorRand: rand.New(rand.NewPCG(2, 1)), Revision: Revision{40, 0xa0}})
	for m := range 30 {
		b.detector.views[m+2].claim = claim{uint16(m + 2), Alive, 3, 0}
	}
	return b
}

// checkRejected checks that a datagram is rejected with an error and changes nothing.
func checkRejected(t *testing.T, what string, data []byte, want error) {
	t.Helper()
	b := newReceiver()
	before := fmt.Sprintf("%+v %+v %+v", b.revisionTable, b.members, b.detector.views)
	if err := b.Receive(time.Second, 0, data); !errors.Is(err, want) {
		t.Errorf("%s: %v, want %v", what, err, want)
	}
	if after := fmt.Sprintf("%+v %+v %+v", b.revisionTable, b.members, b.detector.views); after != before {
		t.Errorf("%s has changed something", what)
	}
}

// Guards against datagrams of the revision table that are truncated or corrupt: they are rejected and change nothing.
func TestTruncatedRevisionsAreRejected(t *testing.T) {
	entries, digests := revisionDatagrams(t)
	if b := newReceiver(); b.Receive(time.Second, 0, entries) != nil || b.activeEntry(2) == nil || b.activeEntry(31) == nil || b.Receive(time.Second, 0, digests) != nil {
		t.Fatal("complete datagrams are rejected")
	}
	for name, whole := range map[string][]byte{"entries": entries, "digests": digests} {
		header, size := headerSize+entriesHeaderSize, entrySize
		if name == "digests" {
			header, size = headerSize+digestsHeaderSize, digestSize
		}
		for cut := range whole {
			want := ErrChecksum
			if cut < headerSize+checksumSize {
				want = ErrLength
			}
			checkRejected(t, fmt.Sprint(name, ", truncated to ", cut), whole[:cut], want)
			if cut < headerSize || cut > len(whole)-checksumSize || cut > header && (cut-header)%size == 0 { // it has complete entries, so it is valid
				continue
			}
			checkRejected(t, fmt.Sprint(name, ", truncated to ", cut, " and sealed"), newCodec(7).appendChecksum(bytes.Clone(whole[:cut])), ErrLength)
			bad := bytes.Clone(whole)
			bad[cut] ^= 4
			if newReceiver().Receive(time.Second, 0, bad) == nil {
				t.Errorf("%s with byte %d changed is accepted", name, cut)
			}
		}
	}
}

// Guards a node without failure detection: datagrams of the revision table are accepted, change nothing and are not answered.
func TestRevisionsWithoutFailureDetection(t *testing.T) {
	entries, digests := revisionDatagrams(t)
	b := New(Options{Self: 1, Members: 40, Site: 7, Generation: 1, MinSubscribers: 4, MinSubset: 3})
	if err := errors.Join(b.Receive(time.Second, 0, entries), b.Receive(time.Second, 0, digests)); err != nil {
		t.Error(err)
	}
	b.Flush(time.Second, func(int, []byte) { t.Error("a node without failure detection answers") })
	if b.revisionTable.entries[2].known {
		t.Error("a node without failure detection stores entries")
	}
}

// Guards the parser of the revision table's datagrams against arbitrary ones: it neither panics nor changes its own entry.
func FuzzRevisions(f *testing.F) {
	entries, digests := revisionDatagrams(f)
	f.Add(byte(kindEntries), entries[headerSize:len(entries)-checksumSize])
	f.Add(byte(kindDigests), digests[headerSize:len(digests)-checksumSize])
	f.Add(byte(kindDigests), []byte{0xff, 0xff, 1, 2, 3, 4})
	f.Add(byte(kindEntries), []byte{0, 0, 0, 9, 0, 0, 0, 9, 0, 1, 0, 1, 0, 9, 0xff, 0xff, 0, 1, 0, 9})
	f.Fuzz(func(t *testing.T, k byte, body []byte) {
		b := newReceiver()
		data := append(b.codec.encodeHeader(make([]byte, 0, MaxDatagram), header{kindEntries + kind(k&1), 1, 1}), body[:min(len(body), MaxDatagram-headerSize-checksumSize)]...)
		_ = b.Receive(time.Second, 0, b.codec.appendChecksum(data))
		b.Tick(time.Second)
		b.Flush(time.Second, func(_ int, data []byte) {
			if len(data) > MaxDatagram {
				t.Errorf("%d bytes", len(data))
			}
			if _, _, err := b.codec.decode(data); err != nil {
				t.Error(err)
			}
		})
		_ = b.Status(time.Second)
		if me := b.revisionTable.entries[1]; me.Revision != (Revision{40, 0xa0}) || me.serial != 0 {
			t.Errorf("its own entry is %+v", me)
		}
	})
}

// The bytes of the kinds of datagrams that carry loads and revisions: members of two releases exchange them.
func TestDatagramBytes(t *testing.T) {
	entries, digests := revisionDatagrams(t)
	if got, want := fmt.Sprintf("%x", entries), "160001000100000029000000a1000000010000000200030009000300030009000400030009000500030009000600030009000700030009000800030009000900030009000a00030009000b00030009000c00030009000d00030009000e00030009000f00030009001000030009001100030009001200030009001300030009001400030009001500030009001600030009001700030009001800030009001900030009001a00030009001b00030009001c00030009001d00030009001e00030009001f0003000930d1a2"; got != want {
		t.Errorf("entries are got\n%q\nwant\n%q", got, want)
	}
	if got, want := fmt.Sprintf("%x", digests), "17000100020000fd10b58d0000000081f6fd"; got != want {
		t.Errorf("digests are got\n%q\nwant\n%q", got, want)
	}
	n := New(Options{Self: 0, Members: 2, Site: 7, Generation: 0x0102, MinSubscribers: 2, MinSubset: 1})
	n.SetWorkers([]string{"box-1", "box-2"})
	n.SetLoad(time.Second, "box-1", Load{Slots: 5, Waiting: 3}, true)
	n.SetLoad(time.Second, "box-2", Load{Slots: 99, Waiting: 99}, true)
	var got []string
	n.Flush(time.Second, func(to int, datagram []byte) { got = append(got, fmt.Sprintf("%d %x", to, datagram)) })
	if got, want := fmt.Sprint(got), "[1 110102000186376f2b880281ff08f3ad]"; got != want {
		t.Errorf("loads are got\n%q\nwant\n%q", got, want)
	}
}
