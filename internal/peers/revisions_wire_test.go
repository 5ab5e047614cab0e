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
func (n *net) sent() (bytes uint64) {
	for _, node := range n.nodes {
		bytes += node.Counts.SentBytes
	}
	return bytes
}

// Guards programs that do not watch: not one more byte is sent, and what they sent before is the same to the bit. The sums are
// those of the program before there were revisions.
func TestWithoutAWatchNothingIsTold(t *testing.T) {
	boxes := ids(6)
	n := newNet(3, boxes, 1)
	sum := fnv.New64a()
	letters := 0
	post := func(from int) func(int, []byte) {
		deliver := n.post(from)
		return func(to int, data []byte) {
			letters++
			fmt.Fprintf(sum, "%d %d %x\n", from, to, data)
			deliver(to, data)
		}
	}
	for step := range 400 {
		n.now += 10 * ms
		for len(n.way) > 0 {
			l := n.way[0]
			n.way = n.way[1:]
			if err := n.nodes[l.to].Receive(n.now, l.from, l.data); err != nil {
				t.Fatal(err)
			}
		}
		m := step % 3
		n.nodes[m].Out(n.now, boxes[step%5], Out{step % 7, step % 2}, step%11 == 0)
		n.nodes[m].Tick(n.now)
		if m == 1 {
			n.nodes[m].Revise(n.now, Revision{uint32(step), 5})
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
	n.watch = newWatch(Options{Self: 0, Members: 3, Incarnation: 1, Watch: rand.New(rand.NewPCG(1, 1))})
	n.watch.letters = []letterTo{{to: 1, kind: kindPing, about: 1}, {to: 2, kind: kindAsk, target: 0, about: 2},
		{to: 1, kind: kindAck, about: 1, all: true}, {to: 1, kind: kindTold, about: 0}}
	var got []string
	n.post(func(to int, data []byte) { got = append(got, fmt.Sprintf("%d %x", to, data)) })
	want := []string{"1 12000100010040000001007bc2d1", "2 14000100010000004000000100ec3d9e", "1 13000100020040000001008a32aa",
		"1 150001000300400000010040000001008d3505"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q\nwant %q", got, want)
	}
}

// letters of both new kinds, as members send them.
func newKinds(t testing.TB) (words, hashes []byte) {
	t.Helper()
	a := New(Options{Self: 0, Members: 40, Site: 7, Incarnation: 1, Watch: rand.New(rand.NewPCG(1, 1)), Revision: Revision{41, 0xa1}})
	a.present(0, 1, 1, 0, true)
	for m := range 30 {
		a.watch.views[m+2].claim = claim{uint16(m + 2), Alive, 3, 0}
		a.table.words[m+2] = inForce{run: 3, serial: 9, Revision: Revision{41, 0xa1}, known: true}
	}
	a.table.answers = []answerTo{{1, 0}}
	a.table.compares = []compareWith{{to: 1}}
	a.publish(func(_ int, data []byte) {
		if kind(data[0]&15) == kindWords && words == nil {
			words = bytes.Clone(data)
		} else if kind(data[0]&15) == kindHashes {
			hashes = bytes.Clone(data)
		}
	})
	if words == nil || hashes == nil {
		t.Fatal("a member does not send both kinds")
	}
	return words, hashes
}

// hearer is a member that hears of those.
func hearer() *Node {
	b := New(Options{Self: 1, Members: 40, Site: 7, Incarnation: 1, Watch: rand.New(rand.NewPCG(2, 1)), Revision: Revision{40, 0xa0}})
	for m := range 30 {
		b.watch.views[m+2].claim = claim{uint16(m + 2), Alive, 3, 0}
	}
	return b
}

// Guards against datagrams of the new kinds that are cut or garbled: they are refused and change nothing.
func TestCutRevisionsAreRefused(t *testing.T) {
	words, hashes := newKinds(t)
	if b := hearer(); b.Receive(time.Second, 0, words) != nil || b.inForce(2) == nil || b.inForce(31) == nil || b.Receive(time.Second, 0, hashes) != nil {
		t.Fatal("whole they are not taken in")
	}
	for name, whole := range map[string][]byte{"words": words, "hashes": hashes} {
		head, size := headSize+wordsHead, wordSize
		if name == "hashes" {
			head, size = headSize+hashesHead, hashSize
		}
		refuse := func(what string, data []byte, want error) {
			b := hearer()
			before := fmt.Sprintf("%+v %+v %+v", b.table, b.members, b.watch.views)
			if err := b.Receive(time.Second, 0, data); !errors.Is(err, want) {
				t.Errorf("%s, %s: %v, want %v", name, what, err, want)
			}
			if after := fmt.Sprintf("%+v %+v %+v", b.table, b.members, b.watch.views); after != before {
				t.Errorf("%s, %s has changed something", name, what)
			}
		}
		for cut := range whole {
			want := ErrCheck
			if cut < headSize+checkSize {
				want = ErrLength
			}
			refuse(fmt.Sprint("cut to ", cut), whole[:cut], want)
			if cut < headSize || cut > len(whole)-checkSize || cut > head && (cut-head)%size == 0 { // with whole entries it is one
				continue
			}
			refuse(fmt.Sprint("cut to ", cut, " and sealed"), newCodec(7).seal(bytes.Clone(whole[:cut])), ErrLength)
			bad := bytes.Clone(whole)
			bad[cut] ^= 4
			if hearer().Receive(time.Second, 0, bad) == nil {
				t.Errorf("%s with byte %d changed is taken", name, cut)
			}
		}
	}
	b := New(Options{Self: 1, Members: 40, Site: 7, Incarnation: 1, Hearers: 4, Least: 3}) // does not watch
	if err := errors.Join(b.Receive(time.Second, 0, words), b.Receive(time.Second, 0, hashes)); err != nil {
		t.Error(err)
	}
	b.Flush(time.Second, func(int, []byte) { t.Error("one that does not watch answers") })
	if b.table.words[2].known {
		t.Error("one that does not watch notes who has what in force")
	}
}

// Guards the reader of the new kinds against whatever comes: it neither panics nor takes another's word for its own.
func FuzzRevisions(f *testing.F) {
	words, hashes := newKinds(f)
	f.Add(byte(kindWords), words[headSize:len(words)-checkSize])
	f.Add(byte(kindHashes), hashes[headSize:len(hashes)-checkSize])
	f.Add(byte(kindHashes), []byte{0xff, 0xff, 1, 2, 3, 4})
	f.Add(byte(kindWords), []byte{0, 0, 0, 9, 0, 0, 0, 9, 0, 1, 0, 1, 0, 9, 0xff, 0xff, 0, 1, 0, 9})
	f.Fuzz(func(t *testing.T, k byte, body []byte) {
		b := hearer()
		data := append(b.codec.begin(make([]byte, 0, MaxDatagram), head{kindWords + kind(k&1), 1, 1}), body[:min(len(body), MaxDatagram-headSize-checkSize)]...)
		_ = b.Receive(time.Second, 0, b.codec.seal(data))
		b.Tick(time.Second)
		b.Flush(time.Second, func(_ int, data []byte) {
			if len(data) > MaxDatagram {
				t.Errorf("%d bytes", len(data))
			}
			if _, _, err := b.codec.open(data); err != nil {
				t.Error(err)
			}
		})
		_ = b.Status(time.Second)
		if me := b.table.words[1]; me.Revision != (Revision{40, 0xa0}) || me.serial != 0 {
			t.Errorf("its own word is %+v", me)
		}
	})
}
