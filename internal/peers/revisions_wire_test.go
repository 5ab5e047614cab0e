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

// sent returns the number of bytes that all members have sent.
func (n *network) sent() (bytes uint64) {
	for _, node := range n.nodes {
		bytes += node.Counts.SentBytes
	}
	return bytes
}

// Guards members without failure detection: the exchange of revisions must not change the datagrams that they send. The expected count
// and hash are those of the version before revisions were introduced.
func TestTrafficWithoutFailureDetection(t *testing.T) {
	workers := ids(6)
	n := newNetwork(3, workers, 1)
	sum := fnv.New64a()
	datagrams := 0
	send := func(from int) func(int, []byte) {
		deliver := n.sendFrom(from)
		return func(to int, data []byte) {
			datagrams++
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
		n.nodes[m].Flush(n.now, send(m))
	}
	if datagrams != 796 || sum.Sum64() != 0x1922770f9ac77c26 {
		t.Errorf("%d datagrams with hash %#x, want 796 with hash 0x1922770f9ac77c26", datagrams, sum.Sum64())
	}
	s := n.nodes[1].Status(n.now)
	if s.Members[1].Digest == "" || s.Members[0].Digest != "" {
		t.Errorf("without failure detection: members %+v, want only the own configuration known", s.Members)
	}
}

// Verifies the bytes of the failure detector's datagrams, which members of other releases parse.
func TestFailureDetectorDatagramBytes(t *testing.T) {
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

// revisionDatagrams returns one datagram of kindEntries and one of kindDigests.
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
		t.Fatal("the member did not send datagrams of both kinds")
	}
	return entries, digests
}

// newReceiver returns a member that accepts the datagrams of revisionDatagrams.
func newReceiver() *Node {
	b := New(Options{Self: 1, Members: 40, Site: 7, Generation: 1, DetectorRand: rand.New(rand.NewPCG(2, 1)), Revision: Revision{40, 0xa0}})
	for m := range 30 {
		b.detector.views[m+2].claim = claim{uint16(m + 2), Alive, 3, 0}
	}
	return b
}

// checkRejected checks that a datagram is rejected with the error want and changes nothing.
func checkRejected(t *testing.T, name string, data []byte, want error) {
	t.Helper()
	b := newReceiver()
	before := fmt.Sprintf("%+v %+v %+v", b.revisionTable, b.members, b.detector.views)
	if err := b.Receive(time.Second, 0, data); !errors.Is(err, want) {
		t.Errorf("%s: %v, want %v", name, err, want)
	}
	if after := fmt.Sprintf("%+v %+v %+v", b.revisionTable, b.members, b.detector.views); after != before {
		t.Errorf("%s: the rejected datagram changed the state", name)
	}
}

// Guards against truncated or corrupt datagrams of the revision table: they must be rejected and change nothing.
func TestTruncatedRevisionsAreRejected(t *testing.T) {
	entries, digests := revisionDatagrams(t)
	if b := newReceiver(); b.Receive(time.Second, 0, entries) != nil || b.activeEntry(2) == nil || b.activeEntry(31) == nil || b.Receive(time.Second, 0, digests) != nil {
		t.Fatal("complete datagrams are rejected")
	}
	for name, datagram := range map[string][]byte{"entries": entries, "digests": digests} {
		header, size := headerSize+entriesHeaderSize, entrySize
		if name == "digests" {
			header, size = headerSize+digestsHeaderSize, digestSize
		}
		for cut := range datagram {
			want := ErrChecksum
			if cut < headerSize+checksumSize {
				want = ErrLength
			}
			checkRejected(t, fmt.Sprint(name, ", truncated to ", cut), datagram[:cut], want)
			// With only complete entries, a truncated datagram is valid once it has a checksum.
			if cut < headerSize || cut > len(datagram)-checksumSize || cut > header && (cut-header)%size == 0 {
				continue
			}
			checkRejected(t, fmt.Sprint(name, ", truncated to ", cut, " with a valid checksum"), newCodec(7).appendChecksum(bytes.Clone(datagram[:cut])), ErrLength)
			bad := bytes.Clone(datagram)
			bad[cut] ^= 4
			if newReceiver().Receive(time.Second, 0, bad) == nil {
				t.Errorf("%s: accepted with byte %d changed", name, cut)
			}
		}
	}
}

// Without failure detection, datagrams of the revision table must be accepted, change nothing and not be answered.
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

// FuzzRevisions feeds arbitrary datagrams to the revision table, which must neither panic nor change the entry of its own member.
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
				t.Errorf("sent a datagram of %d bytes", len(data))
			}
			if _, _, err := b.codec.decode(data); err != nil {
				t.Error(err)
			}
		})
		_ = b.Status(time.Second)
		if self := b.revisionTable.entries[1]; self.Revision != (Revision{40, 0xa0}) || self.serial != 0 {
			t.Errorf("the entry of the own member changed to %+v", self)
		}
	})
}

// Verifies the bytes of the datagrams with loads and revisions, which members of other releases parse.
func TestDatagramBytes(t *testing.T) {
	entries, digests := revisionDatagrams(t)
	if got, want := fmt.Sprintf("%x", entries), "160001000100000029000000a1000000010000000200030009000300030009000400030009000500030009000600030009000700030009000800030009000900030009000a00030009000b00030009000c00030009000d00030009000e00030009000f00030009001000030009001100030009001200030009001300030009001400030009001500030009001600030009001700030009001800030009001900030009001a00030009001b00030009001c00030009001d00030009001e00030009001f0003000930d1a2"; got != want {
		t.Errorf("entries:\n%q\nwant\n%q", got, want)
	}
	if got, want := fmt.Sprintf("%x", digests), "17000100020000fd10b58d0000000081f6fd"; got != want {
		t.Errorf("digests:\n%q\nwant\n%q", got, want)
	}
	n := New(Options{Self: 0, Members: 2, Site: 7, Generation: 0x0102, MinSubscribers: 2, MinSubset: 1})
	n.SetWorkers([]string{"box-1", "box-2"})
	n.SetLoad(time.Second, "box-1", Load{Slots: 5, Waiting: 3}, true)
	n.SetLoad(time.Second, "box-2", Load{Slots: 99, Waiting: 99}, true)
	var got []string
	n.Flush(time.Second, func(to int, datagram []byte) { got = append(got, fmt.Sprintf("%d %x", to, datagram)) })
	if got, want := fmt.Sprint(got), "[1 110102000186376f2b880281ff08f3ad]"; got != want {
		t.Errorf("loads:\n%q\nwant\n%q", got, want)
	}
}
